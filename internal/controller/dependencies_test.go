package controller

import (
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// addStage adds an array of one task, with a deadline if dueS is more than 0.
func (c *Controller) addStage(uid string, priority wire.Priority, dueS float64, at time.Time, modRevision uint64, dependencies ...string) {
	spec := wire.JobSpec{
		UID:          uid,
		Team:         "crew",
		Kind:         wire.JobArray,
		TaskCount:    1,
		Cores:        1,
		RAMGb:        1,
		Image:        "i",
		Priority:     priority,
		ExpectedRunS: 10,
		Dependencies: dependencies,
	}
	if dueS > 0 {
		spec.DeadlineS = &dueS
	}
	record := &records.Job{Spec: spec, Status: wire.JobQueued, AcceptedAtMs: at.UnixMilli(), TasksPerPlacement: 8}
	c.applyJobEventLocked(uid, watchcache.Entry{Job: record, ModRevision: modRevision})
}

// A stage does not preempt other work by the priority that it inherits from the last stage while
// there is time to provision a machine: batch jobs lost a third of their starts to stages that
// could have waited.
func TestInheritedPriorityCountsWhenTimeIsShort(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.catalog = &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g8", Cores: 64, Gpus: 8, RAMGb: 512, BootS: 45, Zones: []string{"a"}}}}
	c.addStage("run-000001", wire.BestEffort, 0, now, 1)
	c.addStage("run-000002", wire.High, 200, now, 2, "run-000001")
	first, last := c.jobs.get("run-000001"), c.jobs.get("run-000002")
	urgency := c.urgency()
	for _, tc := range []struct {
		after time.Duration
		want  wire.Priority
	}{{0, wire.BestEffort}, {100 * time.Second, wire.BestEffort}, {150 * time.Second, wire.High}} {
		if got := urgency.effectiveLevel(first, now.Add(tc.after)); got != tc.want.Level() {
			t.Errorf("after %v its level is %d, want %d", tc.after, got, tc.want.Level())
		}
	}
	if got := urgency.effectiveLevel(last, now); got != wire.High.Level() {
		t.Errorf("the last stage has level %d", got)
	}
	// Once the last stage is cancelled, nothing is inherited from it.
	rec := *last.record
	rec.Status = wire.JobAborted
	c.applyJobEventLocked(last.uid, watchcache.Entry{Job: &rec, ModRevision: 3})
	if got := urgency.effectiveLevel(first, now.Add(150*time.Second)); got != wire.BestEffort.Level() {
		t.Errorf("after its cancellation the first has level %d", got)
	}
}

// A job waits until the ends of all jobs that it depends on are committed. That the record of one
// is gone is no evidence of that: the job may have been cancelled.
func TestReleaseNeedsCommittedEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.addStage("run-000001", wire.BestEffort, 0, now, 1)
	c.addStage("run-000002", wire.High, 0, now, 2, "run-000001", "run-000009") // the second was archived long ago
	j := c.jobs.get("run-000002")
	if j.waitingCount() != 0 {
		t.Fatal("it can be placed at once")
	}
	c.applyJobEventLocked("run-000001", watchcache.Entry{ModRevision: 5}) // archived, by whom is not known
	c.markFinished("run-000009", wire.JobDone, now)
	if j.waitingCount() != 0 {
		t.Error("it can be placed although the end of a job that it needs is not known")
	}
	if got := c.jobs.graph.Unresolved(); len(got) != 1 || got[0] != "run-000001" {
		t.Errorf("the final statuses of %v are to be read", got)
	}
	later := now.Add(time.Minute)
	c.markFinished("run-000001", wire.JobDone, later)
	if j.waitingCount() != 1 || j.eligibleSinceMs != later.UnixMilli() {
		t.Errorf("%d tasks can be placed, counted from %d", j.waitingCount(), j.eligibleSinceMs)
	}
	c.addStage("run-000003", wire.High, 0, now, 6, "run-000008")
	c.markFinished("run-000008", wire.JobAborted, now)
	if other := c.jobs.get("run-000003"); other.waitingCount() != 0 || !other.isOver() || other.finalStatus() != wire.JobAborted {
		t.Error("a job that needs a cancelled one is not over")
	}
}
