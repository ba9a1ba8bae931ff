package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// newLeaderReleasing returns a leader that releases the given number of machines. Its state store
// answers commits with the given errors in turn.
func newLeaderReleasing(machines int, answers ...error) (*Controller, *scriptedStore, *recordingCloud) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	state, cloud := &scriptedStore{answers: answers}, &recordingCloud{}
	c.Store, c.Cloud, c.Config.Cluster.State.ValueKb = state, cloud, 1
	for i := range machines {
		c.heartbeatFrom(i, 1, now)
	}
	c.fleet.Each(func(m *fleet.Machine) { c.startRelease(m, now, "test") })
	return c, state, cloud
}

// A release record whose commit has an unknown outcome is not written again under the same key, and
// no machine is released before its record is known to be stored.
func TestReleasesAreRecordedFirst(t *testing.T) {
	const machines = 150
	c, state, cloud := newLeaderReleasing(machines, store.ErrOutcomeUnknown, nil, nil)
	if c.recordReleases(t.Context()) || c.sendReleases(t.Context()) {
		t.Fatal("the release goes on, want it to stop while no record is known to be stored")
	}
	for c.recordReleases(t.Context()) {
	}
	for c.sendReleases(t.Context()) {
	}
	if len(cloud.hosts) != machines {
		t.Errorf("%d machines are released, want %d", len(cloud.hosts), machines)
	}
	keys := map[string]bool{}
	for _, tx := range state.commits {
		key := tx.Changes[0].Set
		isGuarded := tx.Compares[0] == wire.Compare{Key: records.LeaderKey, ModRevision: 5} && tx.Compares[1] == wire.Compare{Key: key}
		if keys[key] || len(tx.Changes) != 1 || !isGuarded {
			t.Errorf("commit %+v, want one change under a new key, guarded by the leader's key and its own", tx)
		}
		keys[key] = true
	}
	if len(keys) != 3 { // one with the unknown outcome, and two because all machines do not fit one value
		t.Errorf("%d records, want 3", len(keys))
	}
}

// A leader that learns from the commit of a release record that it is deposed ends its term and still
// answers queries. When it stepped down while it held its own lock, it deadlocked, and its node waited
// for the end of the term forever.
func TestLeaderDeposedWhileReleasingStepsDown(t *testing.T) {
	c, _, cloud := newLeaderReleasing(3, &store.ConflictError{Failed: []string{records.LeaderKey}})
	errEnded := errors.New("deposed")
	ctx, cancel := context.WithCancelCause(t.Context())
	c.cancel = func() { cancel(errEnded) }
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.recordReleases(ctx)
		c.Counts("run-000001")
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the leader does not answer within 10 s, want an answer after it is deposed")
	}
	if !errors.Is(context.Cause(ctx), errEnded) || len(cloud.hosts) > 0 {
		t.Errorf("the term ended with %v, want %v; released %v, want no machine", context.Cause(ctx), errEnded, cloud.hosts)
	}
}
