package controller

import (
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// leaderWithArray returns a leader that has an array and machines that have sent a heartbeat, and its
// state store, which has usual limits.
func leaderWithArray(t *testing.T, now *time.Time, machines, tasks int, need fleet.Resources) (*limitedStore, *Controller, *job) {
	t.Helper()
	store := newLimitedStore(t, config.StateLimits{Rps: 250, WriteRps: 100, ValueKb: 8, TxnOps: 24})
	c := store.newLeader(5, now)
	spec := wire.JobSpec{
		UID:       "run-000001",
		JobClass:  "huge",
		Team:      "crew",
		Kind:      wire.JobArray,
		Priority:  wire.Standard,
		TaskCount: tasks,
		Cores:     need.Cores,
		RAMGb:     need.RAM,
		Image:     "img",
	}
	store.addJob(c, spec)
	c.applyMachineList(listedHosts(machines, "a"), *now)
	reportAll(t, c, 1, nil)
	return store, c, c.jobs.get(spec.UID)
}

// taskOutcome returns the status and the cause that a machine reports for an attempt.
type taskOutcome func(a *fleet.Attempt) (wire.TaskStatus, wire.Cause)

// sameOutcome returns a taskOutcome that reports every attempt in the same way.
func sameOutcome(status wire.TaskStatus, cause wire.Cause) taskOutcome {
	return func(*fleet.Attempt) (wire.TaskStatus, wire.Cause) { return status, cause }
}

// reportAll lets every machine send a heartbeat that reports the attempts that the machine was told to launch.
func reportAll(t *testing.T, c *Controller, sequence uint64, outcome taskOutcome) {
	t.Helper()
	c.JobCache.Apply(wire.WatchResponse{}, 0, c.now()) // the job cache is up to date
	c.fleet.Each(func(m *fleet.Machine) {
		heartbeat := wire.Heartbeat{
			Host:         m.ID,
			MachineType:  "g8",
			Zone:         m.Zone,
			Incarnation:  1,
			Sequence:     sequence,
			FencingToken: c.term,
		}
		m.EachAttempt(func(a *fleet.Attempt) {
			if a.State > fleet.Committed && a.State != fleet.EndRecorded {
				status, cause := outcome(a)
				heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskReport{Task: a.TaskName(), Attempt: a.Number, Status: status, Cause: cause})
			}
		})
		if body := len(records.Encode(heartbeat)); body > wire.MaxBody {
			t.Errorf("%s reports %d tasks in %d bytes, want at most %d", m.ID, len(heartbeat.Tasks), body, wire.MaxBody)
		}
		c.Heartbeat(t.Context(), &heartbeat, HeartbeatOptions{})
	})
}

// An array with more placements than a commit may have compares is done once all its tasks are: the
// ends are acknowledged to the workers and the records are dropped. When all placements counted
// against the limit of the commit that only writes the status, such an array never became final.
func TestHugeArrayIsArchived(t *testing.T) {
	const tasks = 25_000
	now := time.Unix(10_000, 0)
	store, c, j := leaderWithArray(t, &now, 7, tasks, fleet.Resources{Cores: 0.25, RAM: 1})
	sequence := uint64(1)
	for cycles := 0; j.doneTasks < tasks && cycles < 1000; cycles++ {
		now = now.Add(3 * time.Second)
		c.runCycle(time.Second)
		commitAll(t, c)
		reportAll(t, c, sequence+1, sameOutcome(wire.TaskRunning, ""))
		reportAll(t, c, sequence+2, sameOutcome(wire.TaskEnded, wire.CauseDone))
		sequence += 2
	}
	if j.doneTasks != tasks {
		t.Fatalf("%d tasks are done, want %d", j.doneTasks, tasks)
	}
	now = now.Add(3 * time.Second)
	commitAll(t, c)
	if c.jobs.get(j.uid) != nil {
		t.Errorf("the leader still has the job with status %s, want it archived", j.record.Status)
	}
	if left := len(store.items); left != 1 || store.items[records.FinalKey(j.uid)].ModRevision == 0 {
		t.Errorf("%d records are left, want only the final status", left)
	}
	c.fleet.Each(func(m *fleet.Machine) {
		m.EachAttempt(func(a *fleet.Attempt) {
			if a.State != fleet.EndRecorded {
				t.Fatalf("%s is %s, want %s", a.TaskName(), a.State, fleet.EndRecorded)
			}
		})
	})
}

// A machine gets as many tasks as its heartbeat can report and no more. Ended tasks count until their
// end is acknowledged. Without this rule, an array started no task at all on a machine that had
// capacity for more of its tasks than it could report.
func TestHeartbeatsOfTinyTasksFitABody(t *testing.T) {
	now := time.Unix(10_000, 0)
	_, c, j := leaderWithArray(t, &now, 1, 3000, fleet.Resources{Cores: 0.02, RAM: 0.1})
	c.runCycle(time.Second)
	commitAll(t, c)
	if j.liveAttempts != maxTasksPerMachine {
		t.Fatalf("%d tasks are live, want %d", j.liveAttempts, maxTasksPerMachine)
	}
	reportAll(t, c, 2, sameOutcome(wire.TaskEnded, wire.CauseDone))
	c.runCycle(time.Second) // no end is acknowledged yet: ends are written later
	commitAll(t, c)
	reportAll(t, c, 3, sameOutcome(wire.TaskEnded, wire.CauseDone))
	if j.liveAttempts != 0 {
		t.Errorf("%d tasks are started, want 0 while the ends of %d are not acknowledged", j.liveAttempts, maxTasksPerMachine)
	}
}
