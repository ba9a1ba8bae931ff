package controller

import (
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// leaderWithArray is a leader beside a state store with usual limits, with machines that have sent
// a heartbeat and an array.
func leaderWithArray(t *testing.T, now *time.Time, machines, tasks int, need fleet.Resources) (*limitedStore, *Controller, *job) {
	t.Helper()
	services := newLimitedStore(t, config.StateLimits{Rps: 250, WriteRps: 100, ValueKb: 8, TxnOps: 24})
	c := services.newLeader(5, now)
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
	services.addJob(c, spec)
	c.applyMachineList(listedHosts(machines, "a"), *now)
	reportAll(t, c, 1, nil)
	return services, c, c.jobs.get(spec.UID)
}

// taskOutcome says how a machine reports an attempt.
type taskOutcome func(a *fleet.Attempt) (wire.TaskStatus, wire.Cause)

// sameOutcome reports every attempt in the same way.
func sameOutcome(status wire.TaskStatus, cause wire.Cause) taskOutcome {
	return func(*fleet.Attempt) (wire.TaskStatus, wire.Cause) { return status, cause }
}

// reportAll lets every machine report, in a heartbeat, the attempts that it has been sent.
func reportAll(t *testing.T, c *Controller, sequence uint64, outcome taskOutcome) {
	t.Helper()
	c.JobCache.Apply(wire.WatchResponse{}, 0, c.now()) // the jobs are read all the time
	c.fleet.Each(func(m *fleet.Machine) {
		r := wire.Heartbeat{
			Host:         m.ID,
			MachineType:  "g8",
			Zone:         m.Zone,
			Incarnation:  1,
			Sequence:     sequence,
			FencingToken: c.term,
		}
		m.Each(func(a *fleet.Attempt) {
			if a.State > fleet.Committed && a.State != fleet.EndRecorded {
				status, cause := outcome(a)
				r.Tasks = append(r.Tasks, wire.TaskReport{Task: a.TaskName(), Attempt: a.Number, Status: status, Cause: cause})
			}
		})
		if body := len(records.Encode(r)); body > wire.MaxBody {
			t.Errorf("%s reports %d tasks in %d bytes", m.ID, len(r.Tasks), body)
		}
		c.Heartbeat(t.Context(), &r, HeartbeatOptions{})
	})
}

// An array with more placements than a commit may have compares is done once its tasks are, their
// ends are acknowledged to the workers, and its records are dropped. All its placements once
// counted against the one commit that only writes its status: it stayed unfinished for ever.
func TestHugeArrayIsArchived(t *testing.T) {
	const tasks = 25_000
	now := time.Unix(10_000, 0)
	services, c, j := leaderWithArray(t, &now, 7, tasks, fleet.Resources{Cores: 0.25, RAM: 1})
	sequence := uint64(1)
	for rounds := 0; j.done < tasks && rounds < 1000; rounds++ {
		now = now.Add(3 * time.Second)
		c.runCycle(time.Second)
		commitAll(t, c)
		reportAll(t, c, sequence+1, sameOutcome(wire.TaskRunning, ""))
		reportAll(t, c, sequence+2, sameOutcome(wire.TaskEnded, wire.CauseDone))
		sequence += 2
	}
	if j.done != tasks {
		t.Fatalf("%d tasks are done", j.done)
	}
	now = now.Add(3 * time.Second)
	commitAll(t, c)
	if c.jobs.get(j.uid) != nil {
		t.Errorf("the job is still known as %s", j.record.Status)
	}
	if left := len(services.items); left != 1 || services.items[records.FinalKey(j.uid)].ModRevision == 0 {
		t.Errorf("%d records are left", left)
	}
	c.fleet.Each(func(m *fleet.Machine) {
		m.Each(func(a *fleet.Attempt) {
			if a.State != fleet.EndRecorded {
				t.Fatalf("%s is %s", a.TaskName(), a.State)
			}
		})
	})
}

// A machine gets as many tasks as its heartbeat has room for and no more. Tasks whose end is not
// acknowledged count. An array of which more would have fitted a machine once started no task at
// all.
func TestHeartbeatsOfTinyTasksFitABody(t *testing.T) {
	now := time.Unix(10_000, 0)
	_, c, j := leaderWithArray(t, &now, 1, 3000, fleet.Resources{Cores: 0.02, RAM: 0.1})
	c.runCycle(time.Second)
	commitAll(t, c)
	if j.live != maxTasksPerMachine {
		t.Fatalf("%d tasks are started, want %d", j.live, maxTasksPerMachine)
	}
	reportAll(t, c, 2, sameOutcome(wire.TaskEnded, wire.CauseDone))
	c.runCycle(time.Second) // nothing is reaped yet: the ends are written later
	commitAll(t, c)
	reportAll(t, c, 3, sameOutcome(wire.TaskEnded, wire.CauseDone))
	if j.live != 0 {
		t.Errorf("%d tasks are started beside %d that are not reaped", j.live, maxTasksPerMachine)
	}
}
