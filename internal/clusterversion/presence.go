package clusterversion

import (
	"context"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// LeaseStore is what announcing a version needs of the state service.
type LeaseStore interface {
	Store
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, leaseID uint64) error
	RevokeLease(ctx context.Context, leaseID uint64) error
}

// renewalsPerTTL of the time to live of an announcement is how often it is renewed.
const renewalsPerTTL = 4

// Announce says in the state service that a node understands the latest version, until
// that is in force. A leader that cannot reach the node learns it from there. The record
// hangs on a lease: it goes with the process, which may come back as an older release.
func (t *Tracker) Announce(ctx context.Context, leases LeaseStore, label string, ttl time.Duration) {
	ctx = store.WithUrgentLane(ctx)
	// As a rule the leader learns it from pings before anything has to be written.
	for t.waitWhileInactive(ctx, ttl) {
		leaseID, err := leases.GrantLease(ctx, ttl)
		if err == nil {
			err = t.announceOnLease(ctx, leases, label, leaseID, ttl)
		}
		if err != nil {
			slog.Debug("version not announced", "err", err)
		}
	}
}

// announceOnLease holds up the announcement on a lease until the version is in force or
// the lease is lost.
func (t *Tracker) announceOnLease(ctx context.Context, leases LeaseStore, label string, leaseID uint64, ttl time.Duration) error {
	_, err := leases.Commit(ctx, wire.Transaction{Changes: []wire.Change{{
		Set: records.ReleaseKey(label), Value: records.Encode(records.ClusterVersion{Version: int(Latest)}), LeaseID: leaseID,
	}}})
	for err == nil && t.waitWhileInactive(ctx, ttl/renewalsPerTTL) {
		err = leases.RenewLease(ctx, leaseID)
	}
	if err != nil {
		return err
	}
	return leases.RevokeLease(ctx, leaseID)
}

// waitWhileInactive waits for a while. It reports whether the latest version is still not in
// force then.
func (t *Tracker) waitWhileInactive(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return t.InForce() < Latest
	}
}

// ReadAnnounced reads which version a node announces, and the guard that it still does. A
// node without an announcement is at First.
func ReadAnnounced(ctx context.Context, reader Reader, label string) (Version, wire.Compare, error) {
	guard := wire.Compare{Key: records.ReleaseKey(label)}
	item, found, err := reader.Get(ctx, guard.Key)
	if err != nil || !found {
		return First, guard, err
	}
	guard.ModRevision = item.ModRevision
	var record records.ClusterVersion
	if err := wire.Decode(item.Value, &record); err != nil {
		return First, guard, err
	}
	return Normalize(record.Version), guard, nil
}

// Reader reads single records.
type Reader interface {
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
}
