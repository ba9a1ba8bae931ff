// Package clusterversion decides which formats of records and requests are in use while two releases
// serve side by side.
//
// Every node announces in its pings which version it understands; one that announces none is at
// First. A node that the leader cannot reach announces its version by a record on a lease. The
// version in force is a record in the state store. The leader raises it, and never lowers it, once
// every member has announced that it understands the newer one. Until then nothing is stored or
// sent that a node of the older release would misread, lose or refuse.
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

// The versions.
const (
	First   Version = 1 // releases that announce no version
	JobDAGs Version = 2 // jobs with dependencies, placement records in the dense form
	Latest          = JobDAGs
)

// Normalize returns the version that a node understands from the number that it has announced; 0
// means that it has announced none.
func Normalize(announced int) Version { return max(First, Version(announced)) }

// Store is what raising the version needs of the state store.
type Store interface {
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
}

// Tracker knows the version in force, as far as this node has learned. It is safe for
// concurrent use.
type Tracker struct {
	mu          sync.Mutex
	inForce     Version
	modRevision uint64 // of the version's record; 0 if there is none
}

// NewTracker makes a tracker for which First is in force.
func NewTracker() *Tracker { return &Tracker{inForce: First} }

// InForce returns the version in force.
func (t *Tracker) InForce() Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForce
}

// Apply updates the version in force from a change of a record, and ignores every record but
// VersionKey's.
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
	if version <= t.inForce {
		return
	}
	slog.Info("cluster version raised", "from", int(t.inForce), "to", int(version))
	t.inForce = version
}

// Raise brings the latest version that all members understand into force, in a commit that only the
// leader of the term can make. understood are the versions of the other members. The commit also
// checks compares, which show that what was read about members still holds. If there is nothing to
// raise it sends nothing and returns nil. Its error wraps that of the commit.
func (t *Tracker) Raise(ctx context.Context, store Store, term uint64, understood []Version, compares ...wire.Compare) error {
	to := Latest
	for _, version := range understood {
		to = min(to, version)
	}
	t.mu.Lock()
	inForce, modRevision := t.inForce, t.modRevision
	t.mu.Unlock()
	if to <= inForce {
		return nil
	}
	guarded := append([]wire.Compare{
		{Key: records.LeaderKey, ModRevision: term},
		{Key: records.VersionKey, ModRevision: modRevision},
	}, compares...)
	record := records.Encode(records.ClusterVersion{Version: int(to)})
	revision, err := store.Commit(ctx, wire.Transaction{
		Compares: guarded,
		Changes:  []wire.Change{{Set: records.VersionKey, Value: record}},
	})
	if err != nil {
		return fmt.Errorf("raise the cluster version: %w", err)
	}
	t.advance(to, revision)
	return nil
}
