package controller

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// leaderWithArray is a leader beside services with usual limits, with machines that have reported
// and an array.
func leaderWithArray(t *testing.T, now *time.Time, machines, tasks int, need fleet.Resources) (*limitedStore, *Controller, *job) {
	services := &limitedStore{t: t, limits: config.StateLimits{Rps: 250, WriteRps: 100, ValueKb: 8, TxnOps: 24}, items: map[string]wire.KeyValue{}}
	c := services.newLeader(5, now)
	spec := wire.JobSpec{UID: "run-000001", JobClass: "huge", Team: "crew", Kind: wire.JobArray, Priority: wire.Standard, TaskCount: tasks, Cores: need.Cores, RAMGb: need.RAM, Image: "img"}
	rec := records.Job{Spec: spec, Status: wire.JobQueued, Per: records.TasksPerPlacement(8192, 8192)}
	services.items[records.JobKey(spec.UID)] = wire.KeyValue{Key: records.JobKey(spec.UID), Value: records.Encode(rec), ModRevision: 1}
	c.applyJobEventLocked(spec.UID, watchcache.Entry{Job: &rec, ModRevision: 1})
	var hosts []wire.ListedHost
	for i := range machines {
		hosts = append(hosts, wire.ListedHost{UID: fmt.Sprintf("m-%06d", i), MachineType: "g8", Zone: "a", Status: "running"})
	}
	c.applyMachineList(hosts, *now)
	reportAll(t, c, 1, nil)
	return services, c, c.jobs.get(spec.UID)
}

// taskOutcome says how a machine reports an attempt.
type taskOutcome func(a *fleet.Attempt) (wire.TaskStatus, wire.Cause)

// always reports every attempt in the same way.
func always(status wire.TaskStatus, cause wire.Cause) taskOutcome {
	return func(*fleet.Attempt) (wire.TaskStatus, wire.Cause) { return status, cause }
}

// reportAll lets every machine report the attempts that it has been sent.
func reportAll(t *testing.T, c *Controller, sequence uint64, how taskOutcome) {
	c.JobCache.Apply(wire.WatchResponse{}, 0, c.now()) // the jobs are read all the time
	c.fleet.Each(func(m *fleet.Machine) {
		r := wire.Heartbeat{Host: m.ID, MachineType: "g8", Zone: m.Zone, Incarnation: 1, Sequence: sequence, FencingToken: c.term}
		m.Each(func(a *fleet.Attempt) {
			if a.State > fleet.Committed && a.State != fleet.EndRecorded {
				status, cause := how(a)
				r.Tasks = append(r.Tasks, wire.TaskReport{Task: a.TaskName(), Attempt: a.Number, Status: status, Cause: cause})
			}
		})
		if body := len(records.Encode(r)); body > wire.MaxBody {
			t.Errorf("%s reports %d tasks in %d bytes", m.ID, len(r.Tasks), body)
		}
		c.Heartbeat(t.Context(), &r, HeartbeatOptions{})
	})
}

// commitAll commits all that is due.
func commitAll(t *testing.T, c *Controller) {
	for b := c.nextBatch(); b != nil; b = c.nextBatch() {
		c.writer.commit(t.Context(), b)
	}
}

// An array with more pieces than a commit may have conditions is called done once its tasks
// are, its workers are told to reap, and its records go. All its pieces were once counted
// against the one commit that only writes its status: it stayed unfinished for ever.
func TestHugeArrayIsArchived(t *testing.T) {
	const tasks = 25_000
	now := time.Unix(10_000, 0)
	services, c, j := leaderWithArray(t, &now, 7, tasks, fleet.Resources{Cores: 0.25, RAM: 1})
	sequence := uint64(1)
	for rounds := 0; j.done < tasks && rounds < 1000; rounds++ {
		now = now.Add(3 * time.Second)
		c.runCycle(time.Second)
		commitAll(t, c)
		reportAll(t, c, sequence+1, always(wire.TaskRunning, ""))
		reportAll(t, c, sequence+2, always(wire.TaskEnded, wire.CauseDone))
		sequence += 2
	}
	if j.done != tasks {
		t.Fatalf("%d tasks are done", j.done)
	}
	now = now.Add(3 * time.Second)
	commitAll(t, c)
	if c.jobs.get(j.uid) != nil {
		t.Errorf("the job is still in the picture as %s", j.record.Status)
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

// A machine gets no more tasks than its report has room for, those that have ended and wait to
// be reaped included, but as many as that: an array of which more would fit a machine once
// started nothing at all.
func TestHeartbeatsOfTinyTasksFitABody(t *testing.T) {
	now := time.Unix(10_000, 0)
	_, c, j := leaderWithArray(t, &now, 1, 3000, fleet.Resources{Cores: 0.02, RAM: 0.1})
	c.runCycle(time.Second)
	commitAll(t, c)
	if j.live != maxTasksPerMachine {
		t.Fatalf("%d tasks are started, want %d", j.live, maxTasksPerMachine)
	}
	reportAll(t, c, 2, always(wire.TaskEnded, wire.CauseDone))
	c.runCycle(time.Second) // nothing is reaped yet: the ends are written later
	commitAll(t, c)
	reportAll(t, c, 3, always(wire.TaskEnded, wire.CauseDone))
	if j.live != 0 {
		t.Errorf("%d tasks are started beside %d that are not reaped", j.live, maxTasksPerMachine)
	}
}
