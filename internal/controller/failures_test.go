package controller

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// faultyFleet is a leader with a faulty array, other jobs, and a fleet in which one machine may be
// faulty.
type faultyFleet struct {
	t              *testing.T
	c              *Controller
	now            time.Time
	sequence       uint64
	faultyMachine  string          // ID of the machine that fails all tasks; "" if there is none
	faultyJobs     map[string]bool // UIDs of the jobs that fail on all machines
	failedAttempts map[string]int  // by job UID
}

func newFaultyFleet(t *testing.T, machines, tasks int) (*faultyFleet, *limitedStore, *job) {
	t.Helper()
	f := &faultyFleet{t: t, now: time.Unix(10_000, 0), sequence: 1, faultyJobs: map[string]bool{}, failedAttempts: map[string]int{}}
	store, c, j := leaderWithArray(t, &f.now, machines, tasks, fleet.Resources{Cores: 16, RAM: 1})
	f.c = c
	f.c.now = func() time.Time { return f.now }
	f.c.detector.Start(f.now.Add(time.Hour)) // prevents the release of idle machines
	f.faultyJobs[j.uid] = true
	return f, store, j
}

// outcome reports how an attempt went: attempts of faulty jobs and on the faulty machine fail as they
// start, all others are running after one step and done after two.
func (f *faultyFleet) outcome(a *fleet.Attempt) (wire.TaskStatus, wire.Cause) {
	switch {
	case a.State >= fleet.Ended:
		return wire.TaskEnded, a.EndCause
	case f.faultyJobs[a.JobUID] || a.Machine.ID == f.faultyMachine:
		f.failedAttempts[a.JobUID]++
		return wire.TaskEnded, wire.CauseError
	case a.State == fleet.Running:
		return wire.TaskEnded, wire.CauseDone
	}
	return wire.TaskRunning, ""
}

// step advances the clock by a second and runs a scheduling cycle, its commits and a heartbeat of each
// machine.
func (f *faultyFleet) step() {
	f.now = f.now.Add(time.Second)
	f.sequence++
	f.c.runCycle(time.Second)
	commitAll(f.t, f.c)
	reportAll(f.t, f.c, f.sequence, f.outcome)
}

// addHealthyJob adds a job whose tasks do not fail by themselves.
func (f *faultyFleet) addHealthyJob(uid string, tasks int) *job {
	return f.c.addTestJob(wire.JobSpec{
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

// An array that fails on all machines is retried with one task at a time, at growing intervals, and
// is never abandoned. Without this rule, each retry started all 25 tasks, which failed on machines
// that other jobs could have used. The array's failures quarantine machines only at the beginning,
// until the job is known to be faulty.
func TestFaultyArrayIsRetriedWithOneTask(t *testing.T) {
	const tasks, minutes = 25, 5
	f, _, j := newFaultyFleet(t, 10, tasks)
	for range 20 {
		f.step()
	}
	failedAtFirst := f.failedAttempts[j.uid]
	if failedAtFirst < tasks/2 {
		t.Fatalf("%d tasks failed in the first 20 s, want at least %d", failedAtFirst, tasks/2)
	}
	for i := range minutes * 60 {
		f.step()
		if j.liveAttempts > 1 {
			t.Fatalf("%d tasks are retried at once, want at most 1", j.liveAttempts)
		}
		f.c.fleet.Each(func(m *fleet.Machine) {
			if i > 5 && !m.AcceptsAttempts(f.now) {
				t.Fatalf("%s is quarantined, want not: faulty with probability %.2f", m.ID, f.c.faultEvidence.MachineFaultProbability(m.ID))
			}
		})
	}
	retried := f.failedAttempts[j.uid] - failedAtFirst
	if minRetries := minutes * 60 / 31; retried < minRetries || retried > 2*minRetries+8 {
		t.Errorf("%d tasks are retried in %d minutes, want %d to %d", retried, minutes, minRetries, 2*minRetries+8)
	}
	// Once its tasks no longer fail, the whole array runs.
	f.faultyJobs[j.uid] = false
	for range 60 {
		f.step()
	}
	if f.c.jobs.get(j.uid) != nil && j.doneTasks != tasks {
		t.Errorf("%d tasks are done, want %d", j.doneTasks, tasks)
	}
}

// A faulty machine is found even while a faulty job fails on all machines, and it takes tasks again
// once they no longer fail there.
func TestFaultyMachineIsQuarantinedBesideFaultyJobs(t *testing.T) {
	f, _, _ := newFaultyFleet(t, 6, 12)
	f.faultyMachine = "m-000002"
	healthyJobs := map[string]*job{}
	quarantinedS := 0
	stepAndCheck := func() {
		f.step()
		if m := f.c.fleet.Get(f.faultyMachine); !m.AcceptsAttempts(f.now) {
			quarantinedS++
		}
		f.c.fleet.Each(func(m *fleet.Machine) {
			if m.ID != f.faultyMachine && f.c.faultEvidence.IsMachineFaulty(m.ID) {
				t.Errorf("%s is estimated to be faulty, want only %s", m.ID, f.faultyMachine)
			}
		})
	}
	for i := range 40 {
		uid := fmt.Sprintf("run-0010%02d", i)
		healthyJobs[uid] = f.addHealthyJob(uid, 8)
		stepAndCheck()
		stepAndCheck()
	}
	if quarantinedS < 60 {
		t.Errorf("the faulty machine is quarantined for %d of 80 s, want at least 60 s", quarantinedS)
	}
	for range 30 {
		stepAndCheck()
	}
	for uid, j := range healthyJobs {
		if f.c.jobs.get(uid) != nil && j.doneTasks < 8 {
			t.Errorf("%s: %d tasks are done, want 8", uid, j.doneTasks)
		}
	}
	f.faultyMachine = ""
	for range 70 {
		f.step()
	}
	lateJob := f.addHealthyJob("run-009999", 48)
	for range 20 {
		f.step()
	}
	m := f.c.fleet.Get("m-000002")
	isDone := f.c.jobs.get(lateJob.uid) == nil || lateJob.doneTasks == 48
	if !m.AcceptsAttempts(f.now) || f.c.faultEvidence.IsMachineFaulty(m.ID) || !isDone {
		t.Errorf("the recovered machine accepts attempts: %v, want true; %d tasks are done, want 48", m.AcceptsAttempts(f.now), lateJob.doneTasks)
	}
}

// A new leader, which has only the records, does not start all tasks of a faulty array again.
func TestNextLeaderSuspectsArraysThatNeverSucceeded(t *testing.T) {
	f, store, j := newFaultyFleet(t, 10, 25)
	for range 30 {
		f.step()
	}
	for _, tc := range []struct {
		name    string
		done    bool
		suspect bool
	}{{"nothing was ever done", false, true}, {"a task was done", true, false}} {
		if tc.done {
			key := records.PlacementKey(j.uid, 0)
			placement, err := records.DecodePlacement(store.items[key].Value)
			if err != nil {
				t.Fatal(err)
			}
			placement.MarkDone(0)
			store.items[key] = wire.KeyValue{Key: key, Value: records.Encode(placement), ModRevision: store.revision}
		}
		newLeader := store.newLeader(6, &f.now)
		if got := newLeader.jobs.get(j.uid); got == nil || got.suspect != tc.suspect {
			t.Errorf("%s: the new leader has the job %+v, want suspect %v", tc.name, got, tc.suspect)
		}
	}
}
