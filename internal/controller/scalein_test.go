package controller

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// scriptedStore is a state service that answers commits as it is told and keeps them.
type scriptedStore struct {
	Store
	answers []error
	commits []wire.Transaction
}

func (s *scriptedStore) Commit(_ context.Context, tx wire.Transaction) (uint64, error) {
	s.commits = append(s.commits, tx)
	err := s.answers[0]
	s.answers = s.answers[1:]
	return uint64(len(s.commits)), err
}

// recordingCloud is a cloud that takes machines recordingCloud.
type recordingCloud struct {
	Cloud
	hosts []string
}

func (b *recordingCloud) Return(_ context.Context, hosts []string) error {
	b.hosts = append(b.hosts, hosts...)
	return nil
}

// newLeaderReleasing is a leader that has given up n machines.
func newLeaderReleasing(n int, answers ...error) (*Controller, *scriptedStore, *recordingCloud) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	st, cl := &scriptedStore{answers: answers}, &recordingCloud{}
	c.Store, c.Cloud, c.Config.Cluster.State.ValueKb = st, cl, 1
	for i := range n {
		c.heartbeatFrom(i, 1, now)
	}
	c.fleet.Each(func(m *fleet.Machine) { c.startRelease(m, now, "test") })
	return c, st, cl
}

// A record whose outcome is unknown is not written again under its key, and
// nothing is returned before its record is known to stand.
func TestReturnsAreRecordedFirst(t *testing.T) {
	c, st, cl := newLeaderReleasing(150, store.ErrUnknown, nil, nil)
	if c.recordReleases(t.Context()) || c.sendReleases(t.Context()) {
		t.Fatal("goes on although nothing is known to be recorded")
	}
	for c.recordReleases(t.Context()) {
	}
	for c.sendReleases(t.Context()) {
	}
	if len(cl.hosts) != 150 {
		t.Errorf("%d machines are returned, expected 150", len(cl.hosts))
	}
	keys := map[string]bool{}
	for _, tx := range st.commits {
		key := tx.Changes[0].Set
		if keys[key] || len(tx.Changes) != 1 || tx.Compares[0] != (wire.Compare{Key: records.LeaderKey, ModRevision: 5}) || tx.Compares[1] != (wire.Compare{Key: key}) {
			t.Errorf("commit %+v", tx)
		}
		keys[key] = true
	}
	if len(keys) != 3 { // the unknown one, and two parts that fit a value
		t.Errorf("%d records", len(keys))
	}
}

// A leader that learns from the record of a return that it is deposed ends its
// term and still answers. It once waited for its own lock, and its node for ever
// for the term to end.
func TestDeposedWhileReturning(t *testing.T) {
	c, _, cl := newLeaderReleasing(3, &store.ConflictError{Failed: []string{records.LeaderKey}})
	ended := errors.New("deposed")
	ctx, cancel := context.WithCancelCause(t.Context())
	c.cancel = func() { cancel(ended) }
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.recordReleases(ctx)
		c.Counts("run-000001")
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("stuck")
	}
	if !errors.Is(context.Cause(ctx), ended) || len(cl.hosts) > 0 {
		t.Errorf("the term goes on, or %v were returned", cl.hosts)
	}
}

// A piece is written for the first time only while its job has a record. A commit
// without launches had no guard of the job: carried out late, after the job and
// all its pieces were dropped, it brought one back for ever.
func TestFirstWriteOfAPlacementIsGuardedByItsJob(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.Config.Cluster.State.TxnOps, c.Config.Cluster.State.WriteRps = 24, 100
	c.heartbeatFrom(0, 1, now)
	j := newJob("run-000001", watchcache.Entry{Job: &records.Job{Spec: wire.JobSpec{TaskCount: 3}, Status: wire.JobQueued, Per: 2}, ModRevision: 7}, now)
	c.jobs.add(j)
	p := j.placement(0)
	a := &fleet.Attempt{JobUID: j.uid, Number: 1}
	j.addAttempt(p, a)
	p.nextAttempt = 2
	p.markChanged(now)
	c.fleet.AddAttempt(c.fleet.Get("m-000"), a, now)
	c.fleet.StopAttempt(a, 0, now, "its machine has a new session") // before it was recorded
	now = now.Add(c.endRecordDelay())
	b := c.nextBatch()
	if b == nil || len(b.placements) != 1 || len(b.placements[0].planned) != 0 {
		t.Fatalf("the batch is %+v", b)
	}
	if !slices.Contains(b.tx.Compares, wire.Compare{Key: records.JobKey(j.uid), ModRevision: 7}) {
		t.Errorf("guards are %v", b.tx.Compares)
	}
}
