// Package clusterversion decides which formats of records and requests are in use while nodes of two
// releases run in the same cluster.
//
// Every node announces in its pings the latest version that it understands; a node that announces none
// understands First. A node that the leader cannot reach announces its version in a record that is
// attached to a lease. The version that the cluster uses is called the version in force, and is a
// record in the state store. The leader raises it once every member has announced that it understands
// the newer version, and never lowers it. Until then nothing is stored or sent that a node of the older
// release would misread, lose or refuse.
package clusterversion

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// Version is a cluster version: it stands for a set of formats of records and requests.
type Version int

// The versions. A node that understands a version also understands the earlier ones.
const (
	First   Version = 1 // releases that announce no version
	JobDAGs Version = 2 // jobs with dependencies, placement records in the dense form
	Latest          = JobDAGs
)

// Normalize converts the number that a node has announced to the version that it understands. The number
// is 0 if the node has announced none.
func Normalize(announced int) Version { return max(First, Version(announced)) }

// Store is the part of the state store that raising the version needs.
type Store interface {
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
}

// Tracker holds the latest version in force that this node knows of. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	inForce     Version
	modRevision uint64 // modification revision of the version's record; 0 if none is known
}

// NewTracker makes a tracker that starts with First in force.
func NewTracker() *Tracker { return &Tracker{inForce: First} }

// InForce returns the version in force.
func (t *Tracker) InForce() Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForce
}

// Apply updates the version in force from a change of the record at VersionKey. It ignores changes of
// other records.
func (t *Tracker) Apply(event wire.WatchEvent) {
	if event.Set != records.VersionKey {
		return
	}
	var record records.ClusterVersion
	if err := wire.Decode(event.Value, &record); err != nil {
		slog.Error("cluster version record cannot be decoded", "err", err)
		return
	}
	t.advance(Version(record.Version), event.ModRevision)
}

// advance raises the version in force and never lowers it. No other function changes it.
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

// Raise raises the version in force to the latest version that all members understand, in a commit that
// succeeds only for the leader of the term. memberVersions are the versions that the other members
// understand. The commit also includes compares, which check that what was read about the members still
// holds. If that version is in force already, Raise sends nothing and returns nil. Its error wraps that
// of the commit.
func (t *Tracker) Raise(ctx context.Context, store Store, term uint64, memberVersions []Version, compares ...wire.Compare) error {
	target := Latest
	for _, version := range memberVersions {
		target = min(target, version)
	}
	t.mu.Lock()
	inForce, modRevision := t.inForce, t.modRevision
	t.mu.Unlock()
	if target <= inForce {
		return nil
	}
	allCompares := append([]wire.Compare{
		{Key: records.LeaderKey, ModRevision: term},
		{Key: records.VersionKey, ModRevision: modRevision},
	}, compares...)
	record := records.Encode(records.ClusterVersion{Version: int(target)})
	revision, err := store.Commit(ctx, wire.Transaction{
		Compares: allCompares,
		Changes:  []wire.Change{{Set: records.VersionKey, Value: record}},
	})
	if err != nil {
		return fmt.Errorf("raise the cluster version: %w", err)
	}
	t.advance(target, revision)
	return nil
}
