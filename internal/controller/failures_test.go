package controller

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// faultyFleet is a leader beside machines of which one may be faulty, with a faulty array and
// other jobs.
type faultyFleet struct {
	t              *testing.T
	c              *Controller
	now            time.Time
	sequence       uint64
	faultyMachine  string          // fails all tasks
	faultyJobs     map[string]bool // fail everywhere
	failedAttempts map[string]int  // failed attempts by job
}

func newFaultyFleet(t *testing.T, machines, tasks int) (*faultyFleet, *limitedStore, *job) {
	t.Helper()
	b := &faultyFleet{t: t, now: time.Unix(10_000, 0), sequence: 1, faultyJobs: map[string]bool{}, failedAttempts: map[string]int{}}
	services, c, j := leaderWithArray(t, &b.now, machines, tasks, fleet.Resources{Cores: 16, RAM: 1})
	b.c = c
	b.c.now = func() time.Time { return b.now }
	b.c.detector.Start(b.now.Add(time.Hour)) // idle machines stay
	b.faultyJobs[j.uid] = true
	return b, services, j
}

// outcome: whoever is at fault fails tasks as they start; others run to their end in two steps.
func (b *faultyFleet) outcome(a *fleet.Attempt) (wire.TaskStatus, wire.Cause) {
	switch {
	case a.State >= fleet.Ended:
		return wire.TaskEnded, a.Cause
	case b.faultyJobs[a.JobUID] || a.Machine.ID == b.faultyMachine:
		b.failedAttempts[a.JobUID]++
		return wire.TaskEnded, wire.CauseError
	case a.State == fleet.Running:
		return wire.TaskEnded, wire.CauseDone
	}
	return wire.TaskRunning, ""
}

// step is a second: a scheduling cycle, its commits, and a heartbeat of each machine.
func (b *faultyFleet) step() {
	b.now = b.now.Add(time.Second)
	b.sequence++
	b.c.runCycle(time.Second)
	commitAll(b.t, b.c)
	reportAll(b.t, b.c, b.sequence, b.outcome)
}

// addHealthyJob adds a job of some tasks that can be done.
func (b *faultyFleet) addHealthyJob(uid string, tasks int) *job {
	return b.c.addTestJob(wire.JobSpec{
		UID:       uid,
		JobClass:  "good",
		Team:      "crew",
		Kind:      wire.JobArray,
		Priority:  wire.Standard,
		TaskCount: tasks,
		Cores:     16,
		RAMGb:     1,
		Image:     "img",
	}, 8)
}

// An array that fails everywhere is retried less and less often, and with one task at a time: 25
// tasks once failed at the same time in each retry, in room that other jobs could have used. No
// machine is quarantined for it for longer than the first suspicion lasts, and the array is never
// abandoned.
func TestFaultyArrayIsRetriedWithOneTask(t *testing.T) {
	const tasks, minutes = 25, 5
	b, _, j := newFaultyFleet(t, 10, tasks)
	for range 20 {
		b.step()
	}
	first := b.failedAttempts[j.uid]
	if first < tasks/2 {
		t.Fatalf("%d tasks have failed", first)
	}
	for i := range minutes * 60 {
		b.step()
		if j.live > 1 {
			t.Fatalf("%d tasks are tried at once", j.live)
		}
		b.c.fleet.Each(func(m *fleet.Machine) {
			if i > 5 && !m.AcceptsAttempts(b.now) {
				t.Fatalf("%s is quarantined, faulty with probability %.2f", m.ID, b.c.faultEvidence.MachineFaultProbability(m.ID))
			}
		})
	}
	again := b.failedAttempts[j.uid] - first
	if least := minutes * 60 / 31; again < least || again > 2*least+8 {
		t.Errorf("%d tasks are tried in %d minutes", again, minutes)
	}
	// Once its tasks no longer fail, the whole array runs.
	b.faultyJobs[j.uid] = false
	for range 60 {
		b.step()
	}
	if b.c.jobs.get(j.uid) != nil && j.done != tasks {
		t.Errorf("%d of %d tasks are done", j.done, tasks)
	}
}

// A faulty machine is found while jobs fail by faults of their own, and its quarantine ends once
// its tasks work again.
func TestFaultyMachineIsQuarantinedBesideFaultyJobs(t *testing.T) {
	b, _, _ := newFaultyFleet(t, 6, 12)
	b.faultyMachine = "m-000002"
	good := map[string]*job{}
	quarantined := 0
	watch := func() {
		b.step()
		if m := b.c.fleet.Get(b.faultyMachine); !m.AcceptsAttempts(b.now) {
			quarantined++
		}
		b.c.fleet.Each(func(m *fleet.Machine) {
			if m.ID != b.faultyMachine && b.c.faultEvidence.IsMachineFaulty(m.ID) {
				t.Errorf("%s is taken for faulty", m.ID)
			}
		})
	}
	for i := range 40 {
		uid := fmt.Sprintf("run-0010%02d", i)
		good[uid] = b.addHealthyJob(uid, 8)
		watch()
		watch()
	}
	if quarantined < 60 {
		t.Errorf("the faulty machine is quarantined for %d of 80 s", quarantined)
	}
	for range 30 {
		watch()
	}
	for uid, j := range good {
		if b.c.jobs.get(uid) != nil && j.done < 8 {
			t.Errorf("%s has done %d of 8 tasks", uid, j.done)
		}
	}
	b.faultyMachine = ""
	for range 70 {
		b.step()
	}
	late := b.addHealthyJob("run-009999", 48)
	for range 20 {
		b.step()
	}
	m := b.c.fleet.Get("m-000002")
	isDone := b.c.jobs.get(late.uid) == nil || late.done == 48
	if !m.AcceptsAttempts(b.now) || b.c.faultEvidence.IsMachineFaulty(m.ID) || !isDone {
		t.Errorf("a machine that has recovered takes work: %v, %d tasks are done", m.AcceptsAttempts(b.now), late.done)
	}
}

// The next leader, which has only the records, does not start all tasks of a faulty array again.
func TestNextLeaderSuspectsArraysThatNeverSucceeded(t *testing.T) {
	b, services, j := newFaultyFleet(t, 10, 25)
	for range 30 {
		b.step()
	}
	for _, tc := range []struct {
		name    string
		done    bool
		suspect bool
	}{{"nothing was ever done", false, true}, {"a task was done", true, false}} {
		if tc.done {
			key := records.PlacementKey(j.uid, 0)
			placement, err := records.DecodePlacement(services.items[key].Value)
			if err != nil {
				t.Fatal(err)
			}
			placement.MarkDone(0)
			services.items[key] = wire.KeyValue{Key: key, Value: records.Encode(placement), ModRevision: services.revision}
		}
		next := services.newLeader(6, &b.now)
		if got := next.jobs.get(j.uid); got == nil || got.suspect != tc.suspect {
			t.Errorf("%s: %+v", tc.name, got)
		}
	}
}
