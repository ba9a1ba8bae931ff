package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/standby"
	"lotusstile.dev/lotusstile/wire"
)

// listOnlyStore is a state store that answers only lists and watches.
type listOnlyStore struct {
	Store
	rows      map[string][]wire.KeyValue
	listCount int
}

func (l *listOnlyStore) List(_ context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	l.listCount++
	return l.rows[prefix], 4, nil
}

func (*listOnlyStore) Watch(context.Context, string, uint64, time.Duration) (wire.WatchResponse, error) {
	return wire.WatchResponse{Revision: 4}, nil
}

// recordsOfTwoTasks returns the records of a job with two tasks on machines, and of a machine that is being released.
func recordsOfTwoTasks() map[string][]wire.KeyValue {
	spec := wire.JobSpec{
		UID:       "run-000001",
		JobClass:  "serve",
		Kind:      wire.Service,
		Priority:  wire.High,
		TaskCount: 2,
		Cores:     1,
		Image:     "img",
	}
	job := records.Job{Spec: spec, Status: wire.JobQueued, TasksPerPlacement: 8}
	placement := records.Placement{NextAttempt: 3, Live: []records.PlacedAttempt{
		{Task: 0, Attempt: 1, Host: "m-1", Incarnation: 1},
		{Task: 1, Attempt: 2, Host: "m-2", Incarnation: 1},
	}}
	release := records.MachineReleases{Hosts: []string{"m-3"}}
	return map[string][]wire.KeyValue{
		records.JobPrefix:            {{Key: records.JobKey("run-000001"), Value: records.Encode(job), ModRevision: 2}},
		records.PlacementPrefix:      {{Key: records.PlacementKey("run-000001", 0), Value: records.Encode(placement), ModRevision: 3}},
		records.MachineReleasePrefix: {{Key: records.MachineReleasePrefix + "3-1", Value: records.Encode(release), ModRevision: 4}},
	}
}

// misleadingProof returns a proof with wrong views. They say that machine m-1 is in a later incarnation, that m-3, which
// is being released, accepts attempts, and that m-4, which no record names, exists. Of the running tasks that they list,
// one has another attempt number than its record, and one does not exist.
func misleadingProof(t *testing.T, rows map[string][]wire.KeyValue) *standby.ProvenCopy {
	t.Helper()
	job := standby.JobView{UID: "run-000001", HasRun: true}
	running := []standby.RunningTask{
		{Task: 0, Attempt: 1, StartedS: 900},
		{Task: 1, Attempt: 9, StartedS: 900},
		{Task: 7, Attempt: 1, StartedS: 900},
	}
	if err := job.SetRunning(running); err != nil {
		t.Fatal(err)
	}
	return &standby.ProvenCopy{
		Placements:      rows[records.PlacementPrefix],
		MachineReleases: rows[records.MachineReleasePrefix],
		Jobs:            []standby.JobView{job},
		Machines: []standby.MachineView{
			{Host: "m-1", Type: "g8", Zone: "a", Incarnation: 9, FencingToken: 4, Images: []string{"img"}},
			{Host: "m-3", Type: "g8", Zone: "a", Incarnation: 1, FencingToken: 4},
			{Host: "m-4", Type: "g8", Zone: "b", Incarnation: 1, FencingToken: 4},
		},
	}
}

// A warm standby's views prove neither that a task has ended nor that a machine accepts attempts. Whatever the views
// say, the state has the attempts and releases of the records, no machine is ready before it sends a heartbeat, and
// heartbeats have the same effect as without views.
func TestViewsProveNothing(t *testing.T) {
	rows := recordsOfTwoTasks()
	for _, tc := range []struct {
		name      string
		err       error
		wantLists int
	}{{"warm", nil, 0}, {"cold", standby.ErrDigest, 4}} {
		now := time.Unix(1000, 0)
		c := newTestLeader(&now)
		c.loaded = false
		store := &listOnlyStore{rows: rows}
		c.Store = store
		c.JobCache.Reset(rows[records.JobPrefix], 4, time.Now().Add(-time.Second))
		c.JobCache.SetListener(c.applyJobEvent)
		c.ProveStandbyCopy = func(context.Context, uint64) (*standby.ProvenCopy, error) { return misleadingProof(t, rows), tc.err }
		if err := c.loadState(context.Background()); err != nil {
			t.Fatal(err)
		}
		if store.listCount != tc.wantLists || c.failover.record.Warm != (tc.err == nil) {
			t.Errorf("%s: %d lists, want %d; record %+v, want Warm %t", tc.name, store.listCount, tc.wantLists, c.failover.record, tc.err == nil)
		}
		j := c.jobs.get("run-000001")
		if j.liveAttempts != 2 || c.fleet.Get("m-3").State != fleet.Releasing {
			t.Errorf("%s: got %d attempts and machine m-3 %s, want 2 attempts and m-3 returning", tc.name, j.liveAttempts, c.fleet.Get("m-3").State)
		}
		j.eachAttempt(func(a *fleet.Attempt) {
			if a.State != fleet.Committed || !a.Inherited || a.Machine.State != fleet.Booting {
				t.Errorf("%s: %+v is on a %s machine, want an inherited committed attempt on a booting one", tc.name, a, a.Machine.State)
			}
		})
		// Machine m-1 is still in the incarnation that its task was placed in, whatever the view says.
		c.fleet.ApplyHeartbeat(&wire.Heartbeat{Host: "m-1", Zone: "a", Incarnation: 1, Sequence: 7, FencingToken: 5,
			Tasks: []wire.TaskReport{{Task: "run-000001/0", Attempt: 1, Status: wire.TaskRunning}}}, now)
		if a := j.attempt(0); a == nil || a.State != fleet.Running {
			t.Errorf("%s: attempt of task 0 is %+v after a heartbeat that reports it as running, want it running", tc.name, a)
		}
	}
}

// While the state store does not answer, the proof is retried up to maxProofAttempts times. Then all records are listed.
func TestUnansweredProofIsRetriedBeforeListing(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.loaded = false
	store := &listOnlyStore{rows: recordsOfTwoTasks()}
	c.Store = store
	attempts := 0
	c.ProveStandbyCopy = func(context.Context, uint64) (*standby.ProvenCopy, error) { attempts++; return nil, errors.New("503") }
	for range maxProofAttempts {
		if err := c.loadState(context.Background()); err == nil || store.listCount > 0 {
			t.Fatalf("after %d proof attempts: loadState returned %v after %d lists, want an error and no list", attempts, err, store.listCount)
		}
	}
	if err := c.loadState(context.Background()); err != nil || attempts != maxProofAttempts || !c.loaded {
		t.Errorf("after %d proof attempts (want %d): err = %v, loaded = %t, want nil, true", attempts, maxProofAttempts, err, c.loaded)
	}
}

// A warm standby gets the views that have changed, and all views if it has not asked for a long time.
func TestDrainChangedViewsReturnsWhatChanged(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	for i := range 600 {
		c.heartbeatFrom(i, 1, now)
	}
	drainAll := func() (keys []string) {
		for more := true; more; {
			var entries []*standby.Entry
			entries, more = c.DrainChangedViews(256)
			if len(entries) > 257 {
				t.Fatalf("one call returned %d views, want at most 257", len(entries))
			}
			for _, e := range entries {
				keys = append(keys, e.Key)
			}
		}
		slices.Sort(keys)
		return keys
	}
	if keys := drainAll(); len(keys) != 601 {
		t.Errorf("first drain returned %d views, want 601", len(keys))
	}
	m := c.fleet.Get("m-007")
	c.fleet.AddAttempt(m, &fleet.Attempt{JobUID: "run-000001", Number: 1, Incarnation: 1, Inherited: true}, now)
	c.fleet.ApplyHeartbeat(&wire.Heartbeat{Host: "m-007", Zone: "b", Incarnation: 1, Sequence: 2, FencingToken: 5,
		Tasks: []wire.TaskReport{{Task: "run-000001/0", Attempt: 1, Status: wire.TaskRunning}}}, now)
	if keys := fmt.Sprint(drainAll()); keys != "[view/job/run-000001 view/leader view/machine/m-007]" {
		t.Errorf("changed views are %s, want those of the job, the leader and machine m-007", keys)
	}
	now = now.Add(time.Minute)
	c.stopIdleViewTracking(now)
	if c.views.enabled {
		t.Error("changes are still tracked a minute after the last request, want no tracking")
	}
	if keys := drainAll(); len(keys) != 601 {
		t.Errorf("drain after a minute without requests returned %d views, want 601", len(keys))
	}
}
