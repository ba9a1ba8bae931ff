// Package clusterversion decides which formats of records and requests are in use
// while releases of different age serve together.
//
// Every node says in its pings which version it understands; one that says nothing is
// at First. A node that the leader cannot reach is known by a record on a lease. The version in force is a record in the state service. The leader raises
// it, and never lowers it, once every member has said that it understands the newer
// one. Until then nothing is stored or sent that a node of the older release would
// misread, lose or refuse.
package clusterversion

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// Version numbers the formats that nodes understand.
type Version int

// The versions there are.
const (
	First   Version = 1 // releases that say no version
	JobDAGs Version = 2 // jobs that wait for others, densely listed placements
	Latest          = JobDAGs
)

// Normalize is the version that a node understands which has said v: 0 is nothing.
func Normalize(v int) Version { return max(First, Version(v)) }

// Store is what raising the version needs of the state service.
type Store interface {
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
}

// Tracker knows the version in force, as far as this node has learned. It is safe for
// concurrent use.
type Tracker struct {
	mu          sync.Mutex
	force       Version
	modRevision uint64 // of the record
}

// NewTracker makes a tracker that has learned nothing yet.
func NewTracker() *Tracker { return &Tracker{force: First} }

// InForce is the version in force.
func (t *Tracker) InForce() Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.force
}

// Apply learns from a change of a record; others than that of the version are passed over.
func (t *Tracker) Apply(event wire.WatchEvent) {
	if event.Set != records.VersionKey {
		return
	}
	var record records.ClusterVersion
	if err := wire.Decode(event.Value, &record); err != nil {
		slog.Error("cluster version cannot be read", "err", err)
		return
	}
	t.advance(Version(record.Version), event.ModRevision)
}

// advance is the one function that changes the version in force. It never falls.
func (t *Tracker) advance(version Version, modRevision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.modRevision = max(t.modRevision, modRevision)
	if version <= t.force {
		return
	}
	slog.Info("cluster version", "from", int(t.force), "to", int(version))
	t.force = version
}

// Raise brings the version that all members understand into force, in a commit that
// only the leader of the term can make, while what was read of members still holds.
func (t *Tracker) Raise(ctx context.Context, store Store, term uint64, understood []Version, read ...wire.Compare) error {
	to := Latest
	for _, version := range understood {
		to = min(to, version)
	}
	t.mu.Lock()
	force, modRevision := t.force, t.modRevision
	t.mu.Unlock()
	if to <= force {
		return nil
	}
	revision, err := store.Commit(ctx, wire.Transaction{
		Compares: append([]wire.Compare{{Key: records.LeaderKey, ModRevision: term}, {Key: records.VersionKey, ModRevision: modRevision}}, read...),
		Changes:  []wire.Change{{Set: records.VersionKey, Value: records.Encode(records.ClusterVersion{Version: int(to)})}},
	})
	if err != nil {
		return fmt.Errorf("raise the cluster version: %w", err)
	}
	t.advance(to, revision)
	return nil
}
