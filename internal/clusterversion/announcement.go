package clusterversion

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// LeaseStore is the part of the state store that announcing a version needs.
type LeaseStore interface {
	Store
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, leaseID uint64) error
	RevokeLease(ctx context.Context, leaseID uint64) error
}

// Reader reads single records.
type Reader interface {
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
}

// renewalsPerTTL is how many times an announcement's lease is renewed within its time to live.
const renewalsPerTTL = 4

// Announce announces in the state store that a node understands the latest version, until that version is
// in force or ctx ends. A leader that cannot reach the node reads the announcement there. The record is
// attached to a lease of ttl, so that it disappears when the process ends: the next process on the node
// may be of an older release. After an error, Announce logs it and announces again.
func (t *Tracker) Announce(ctx context.Context, leases LeaseStore, node string, ttl time.Duration) {
	ctx = store.WithUrgentLane(ctx)
	// Wait first: the leader usually learns the version from pings, and then no record is needed.
	for t.notInForceAfter(ctx, ttl) {
		leaseID, err := leases.GrantLease(ctx, ttl)
		if err == nil {
			err = t.announceOnLease(ctx, leases, node, leaseID, ttl)
		}
		if err != nil {
			slog.Debug("failed to announce the cluster version", "node", node, "err", err)
		}
	}
}

// announceOnLease writes an announcement that is attached to a lease, and renews the lease until the version
// is in force, ctx ends or a renewal fails. Unless a request fails before ctx has ended, it revokes the lease at the
// end: within a quarter of ttl, so that a node that stops does not wait for an unreachable state store.
func (t *Tracker) announceOnLease(ctx context.Context, leases LeaseStore, node string, leaseID uint64, ttl time.Duration) error {
	record := records.Encode(records.ClusterVersion{Version: int(Latest)})
	_, err := leases.Commit(ctx, wire.Transaction{
		Changes: []wire.Change{{Set: records.ReleaseKey(node), Value: record, LeaseID: leaseID}},
	})
	for err == nil && t.notInForceAfter(ctx, ttl/renewalsPerTTL) {
		err = leases.RenewLease(ctx, leaseID)
	}
	if err != nil && ctx.Err() == nil {
		return err
	}
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ttl/renewalsPerTTL)
	defer cancel()
	return leases.RevokeLease(revokeCtx, leaseID)
}

// notInForceAfter waits for d, and then reports whether the latest version is still not in force. It
// returns false at once if ctx ends.
func (t *Tracker) notInForceAfter(ctx context.Context, d time.Duration) bool {
	return timeralign.Sleep(ctx, d) && t.InForce() < Latest
}

// ReadAnnounced reads which version a node announces in the state store, and returns a compare that holds
// as long as that announcement does not change. A node without an announcement understands First.
func ReadAnnounced(ctx context.Context, reader Reader, node string) (Version, wire.Compare, error) {
	compare := wire.Compare{Key: records.ReleaseKey(node)}
	item, found, err := reader.Get(ctx, compare.Key)
	if err != nil {
		return First, compare, fmt.Errorf("read the version that %s announces: %w", node, err)
	}
	if !found {
		return First, compare, nil
	}
	compare.ModRevision = item.ModRevision
	var record records.ClusterVersion
	if err := wire.Decode(item.Value, &record); err != nil {
		return First, compare, fmt.Errorf("read the version that %s announces: %w", node, err)
	}
	return Normalize(record.Version), compare, nil
}
