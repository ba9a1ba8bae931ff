package controller

import (
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// addStage adds an array of one task that depends on the given jobs. It has a deadline if dueS is
// more than 0.
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

// A stage that inherits a higher priority from a later stage does not preempt other jobs with that
// priority while there is time to provision a machine. Without this rule, batch jobs lost a third of
// their starts to stages that could have waited.
func TestInheritedPriorityCountsWhenTimeIsShort(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.catalog = &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g8", Cores: 64, Gpus: 8, RAMGb: 512, BootS: 45, Zones: []string{"a"}}}}
	c.addStage("run-000001", wire.BestEffort, 0, now, 1)
	c.addStage("run-000002", wire.High, 200, now, 2, "run-000001")
	c.updateUrgency()
	first, last := c.jobs.get("run-000001"), c.jobs.get("run-000002")
	urgency := c.urgency()
	for _, tc := range []struct {
		after time.Duration
		want  wire.Priority
	}{{0, wire.BestEffort}, {100 * time.Second, wire.BestEffort}, {150 * time.Second, wire.High}} {
		if got := urgency.effectiveLevel(first, now.Add(tc.after)); got != tc.want.Level() {
			t.Errorf("after %v the first stage has level %d, want %d", tc.after, got, tc.want.Level())
		}
	}
	if got := urgency.effectiveLevel(last, now); got != wire.High.Level() {
		t.Errorf("the last stage has level %d, want %d", got, wire.High.Level())
	}
	// Once the last stage is cancelled, the first inherits no priority from it.
	rec := *last.record
	rec.Status = wire.JobAborted
	c.applyJobEventLocked(last.uid, watchcache.Entry{Job: &rec, ModRevision: 3})
	c.updateUrgency()
	if got := urgency.effectiveLevel(first, now.Add(150*time.Second)); got != wire.BestEffort.Level() {
		t.Errorf("after the last stage is cancelled, the first has level %d, want %d", got, wire.BestEffort.Level())
	}
}

// A job waits until the ends of all jobs that it depends on are committed. A record that no longer
// exists is no evidence of that, because the job may have been cancelled.
func TestReleaseNeedsCommittedEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.addStage("run-000001", wire.BestEffort, 0, now, 1)
	c.addStage("run-000002", wire.High, 0, now, 2, "run-000001", "run-000009") // run-000009 was archived long ago
	j := c.jobs.get("run-000002")
	if j.waitingCount() != 0 {
		t.Fatalf("%d tasks wait to be placed before any dependency has ended, want 0", j.waitingCount())
	}
	c.applyJobEventLocked("run-000001", watchcache.Entry{ModRevision: 5}) // archived with an unknown final status
	c.markFinished("run-000009", wire.JobDone, now)
	if j.waitingCount() != 0 {
		t.Errorf("%d tasks wait to be placed while the final status of a dependency is unknown, want 0", j.waitingCount())
	}
	if got := c.jobs.graph.Unresolved(); len(got) != 1 || got[0] != "run-000001" {
		t.Errorf("the final statuses of %v are to be read, want only that of run-000001", got)
	}
	later := now.Add(time.Minute)
	c.markFinished("run-000001", wire.JobDone, later)
	if j.waitingCount() != 1 || j.readySinceMs != later.UnixMilli() {
		t.Errorf("%d tasks wait since %d, want 1 since %d", j.waitingCount(), j.readySinceMs, later.UnixMilli())
	}
	c.addStage("run-000003", wire.High, 0, now, 6, "run-000008")
	c.markFinished("run-000008", wire.JobAborted, now)
	if other := c.jobs.get("run-000003"); other.waitingCount() != 0 || !other.isOver() || other.finalStatus() != wire.JobAborted {
		t.Errorf("a job whose dependency is cancelled has status %q, is over: %v, %d tasks wait, want %q, true, 0",
			other.finalStatus(), other.isOver(), other.waitingCount(), wire.JobAborted)
	}
}
