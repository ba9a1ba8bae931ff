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

// LeaseStore is what announcing a version needs of the state store.
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

// renewalsPerTTL is how often an announcement's lease is renewed in its time to live.
const renewalsPerTTL = 4

// Announce announces in the state store that a node understands the latest version, until that
// version is in force or ctx ends. A leader that cannot reach the node learns it from there. The
// record is attached to a lease of ttl, so that it ends with the process, which may come back as an
// older release. Errors are logged, and it is announced again.
func (t *Tracker) Announce(ctx context.Context, leases LeaseStore, node string, ttl time.Duration) {
	ctx = store.WithUrgentLane(ctx)
	// As a rule the leader learns the version from pings before anything has to be written.
	for t.waitWhileNotInForce(ctx, ttl) {
		leaseID, err := leases.GrantLease(ctx, ttl)
		if err == nil {
			err = t.announceOnLease(ctx, leases, node, leaseID, ttl)
		}
		if err != nil {
			slog.Debug("cluster version was not announced", "node", node, "err", err)
		}
	}
}

// announceOnLease writes an announcement on a lease and renews it until the version is in force, ctx
// ends or a renewal fails.
func (t *Tracker) announceOnLease(ctx context.Context, leases LeaseStore, node string, leaseID uint64, ttl time.Duration) error {
	record := records.Encode(records.ClusterVersion{Version: int(Latest)})
	_, err := leases.Commit(ctx, wire.Transaction{
		Changes: []wire.Change{{Set: records.ReleaseKey(node), Value: record, LeaseID: leaseID}},
	})
	for err == nil && t.waitWhileNotInForce(ctx, ttl/renewalsPerTTL) {
		err = leases.RenewLease(ctx, leaseID)
	}
	if err != nil {
		return err
	}
	return leases.RevokeLease(ctx, leaseID)
}

// waitWhileNotInForce waits for d and reports whether the latest version is still not in force then.
// It returns false at once if ctx ends.
func (t *Tracker) waitWhileNotInForce(ctx context.Context, d time.Duration) bool {
	return timeralign.Sleep(ctx, d) && t.InForce() < Latest
}

// ReadAnnounced reads which version a node announces, and returns a compare that holds while it still
// does. A node without an announcement is at First.
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
