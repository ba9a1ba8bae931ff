package controller

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// While the cloud has no spot machine for a job, the job does not wait for one; once the refusals
// have expired, spot machines are requested again.
func TestIsSpotExhaustedUntilRefusalsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.catalog = g8Catalog()
	c.catalog.MachineTypes = append(c.catalog.MachineTypes,
		wire.MachineType{Name: "g1", Cores: 8, Gpus: 1, RAMGb: 32, Zones: []string{"a"}})
	spec := &wire.JobSpec{Cores: 16, Gpus: 2, RAMGb: 64, AllowSpot: true}
	check := func(want bool, when string) {
		t.Helper()
		if got := c.isSpotExhausted(spec, now); got != want {
			t.Errorf("%s: isSpotExhausted is %v, want %v", when, got, want)
		}
	}
	check(false, "before any request")
	c.refusals.Add(autoscaler.MachineGroup{Type: "g8", Zone: "a", Spot: true}, now)
	check(false, "one of two zones refused")
	c.refusals.Add(autoscaler.MachineGroup{Type: "g8", Zone: "b", Spot: true}, now)
	check(true, "both zones refused, and the small type has no room for a task")
	spec.MachineTypes = []string{"g1"}
	spec.Cores, spec.Gpus, spec.RAMGb = 8, 1, 32
	check(false, "a type that was not refused")
	spec.MachineTypes = []string{"g8"}
	now = now.Add(4 * c.Config.WorkerLease())
	check(false, "after the refusals have expired")
}

// addArray adds an array with the given number of tasks that was submitted the given time ago.
func (c *Controller) addArray(uid string, tasks int, ago time.Duration) *job {
	submitted := c.now().Add(-ago)
	spec := wire.JobSpec{
		UID:       uid,
		JobClass:  "batch",
		Team:      "crew",
		Kind:      wire.JobArray,
		Priority:  wire.Standard,
		TaskCount: tasks,
		Cores:     1,
		Gpus:      1,
		RAMGb:     1,
	}
	record := &records.Job{Spec: spec, Status: wire.JobQueued, TasksPerPlacement: 16, AcceptedAtMs: submitted.UnixMilli()}
	c.applyJobEventLocked(uid, watchcache.Entry{Job: record, ModRevision: 1})
	j := c.jobs.get(uid)
	j.waitingSince = submitted
	return j
}

// queuedJob is an entry of a cycle's queue: a job and how many of its tasks wait.
type queuedJob struct {
	uid   string
	tasks int
}

// queue returns the jobs in the order in which a cycle considers them.
func (c *Controller) queue(now time.Time) []queuedJob {
	s := c.newSnapshot(now, time.Second)
	sched.SortQueue(s.in.Jobs, 40)
	queue := make([]queuedJob, 0, len(s.in.Jobs))
	for _, j := range s.in.Jobs {
		queue = append(queue, queuedJob{j.Spec.UID, j.PendingTasks})
	}
	return queue
}

// Once an array that is large for its class has waited for a long time, its first task, and only that one,
// goes before other jobs of the same priority. Without this rule, only one in nine of the largest arrays
// had begun after four minutes when jobs queued for minutes at their team's limit.
func TestFirstTaskOfOverdueLargeArrayGoesFirst(t *testing.T) {
	now := time.Now()
	c := newTestLeader(&now)
	c.Config.Cluster.Teams = []config.Team{{Name: "crew"}}
	c.catalog = &wire.Catalog{MachineTypes: []wire.MachineType{
		{Name: "g", Cores: 8, Gpus: 8, RAMGb: 8, BootS: 30, Zones: []string{"a"}},
	}}
	for i := range 12 {
		c.addArray(fmt.Sprintf("run-%06d", i), 2, 4*time.Minute)
	}
	large := c.addArray("run-000100", 9, 3*time.Minute)
	young := c.addArray("run-000101", 9, time.Minute)
	queue := c.queue(now)
	if len(queue) != 15 || queue[0] != (queuedJob{large.uid, 1}) || queue[13] != (queuedJob{large.uid, 8}) ||
		queue[14] != (queuedJob{young.uid, 9}) {
		t.Errorf("the queue is %v, want %s with 1 task, the 12 small arrays, %s with 8 tasks, %s with 9 tasks",
			queue, large.uid, large.uid, young.uid)
	}
	// Once a task of the large array has run, the array has no precedence, even after that task has ended.
	a := &fleet.Attempt{JobUID: large.uid, TaskIndex: 0, Number: 1, Resources: large.taskResources}
	large.addAttempt(large.placement(0), a)
	heartbeat := func(sequence uint64, tasks ...wire.TaskReport) {
		c.fleet.ApplyHeartbeat(&wire.Heartbeat{
			Host:         "m",
			MachineType:  "g",
			Zone:         "a",
			Incarnation:  1,
			Sequence:     sequence,
			FencingToken: 5,
			Tasks:        tasks,
		}, now)
	}
	heartbeat(1)
	c.fleet.AddAttempt(c.fleet.Get("m"), a, now)
	c.fleet.MarkCommitted(a, now)
	heartbeat(2, wire.TaskReport{Task: a.TaskName(), Attempt: 1, Status: wire.TaskRunning, Cause: wire.CauseStopped})
	heartbeat(3, wire.TaskReport{Task: a.TaskName(), Attempt: 1, Status: wire.TaskEnded, Cause: wire.CauseStopped})
	if queue := c.queue(now); len(queue) != 14 || queue[0].uid == large.uid || large.liveAttempts != 0 {
		t.Errorf(
			"after its task has ended, %s has %d live attempts, want 0; the queue is %v, want 14 jobs and another one first",
			large.uid, large.liveAttempts, queue,
		)
	}
}
