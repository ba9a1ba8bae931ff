package controller

import (
	"slices"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// A placement is written for the first time only while its job has a record. A commit without launches had no compare
// of the job: when the state store applied it late, after the job and all its placements were dropped, it brought back
// a placement record that was never dropped again.
func TestFirstWriteOfAPlacementIsGuardedByItsJob(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.Config.Cluster.State.TxnOps, c.Config.Cluster.State.WriteRps = 24, 100
	c.heartbeatFrom(0, 1, now)
	record := &records.Job{Spec: wire.JobSpec{TaskCount: 3}, Status: wire.JobQueued, TasksPerPlacement: 2}
	j := newJob("run-000001", watchcache.Entry{Job: record, ModRevision: 7}, now)
	c.jobs.add(j)
	p := j.placement(0)
	a := &fleet.Attempt{JobUID: j.uid, Number: 1}
	j.addAttempt(p, a)
	p.nextAttempt = 2
	p.markChanged(now)
	c.fleet.AddAttempt(c.fleet.Get(hostName(0)), a, now)
	c.fleet.StopAttempt(a, 0, now, "its machine has a new incarnation") // before the attempt was recorded
	now = now.Add(c.endRecordDelay())
	b := c.nextBatch()
	if b == nil || len(b.placements) != 1 || len(b.placements[0].planned) != 0 {
		t.Fatalf("next batch is %+v, want one placement without planned attempts", b)
	}
	if !slices.Contains(b.tx.Compares, wire.Compare{Key: records.JobKey(j.uid), ModRevision: 7}) {
		t.Errorf("compares are %v, want one of the job's record at revision 7", b.tx.Compares)
	}
}
