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

// listOnlyStore is a state store that only lists.
type listOnlyStore struct {
	Store
	rows      map[string][]wire.KeyValue
	listCount int
}

func (l *listOnlyStore) List(_ context.Context, under string) ([]wire.KeyValue, uint64, error) {
	l.listCount++
	return l.rows[under], 4, nil
}

func (*listOnlyStore) Watch(context.Context, string, uint64, time.Duration) (wire.WatchResponse, error) {
	return wire.WatchResponse{Revision: 4}, nil
}

// recordsOfTwoTasks are a job with two tasks on machines, and a machine that is being released.
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
	returned := records.ScaleIns{Hosts: []string{"m-3"}}
	return map[string][]wire.KeyValue{
		records.JobPrefix:       {{Key: records.JobKey("run-000001"), Value: records.Encode(job), ModRevision: 2}},
		records.PlacementPrefix: {{Key: records.PlacementKey("run-000001", 0), Value: records.Encode(placement), ModRevision: 3}},
		records.ScaleInPrefix:   {{Key: records.ScaleInPrefix + "3-1", Value: records.Encode(returned), ModRevision: 4}},
	}
}

// misleadingProof is a proof whose views are wrong: that a machine is in a later incarnation, that
// another one which is being released accepts attempts, and that no task of the job runs.
func misleadingProof(t *testing.T, rows map[string][]wire.KeyValue) *standby.Proven {
	t.Helper()
	job := standby.JobView{UID: "run-000001", HasRun: true}
	running := []standby.RunningTask{
		{Task: 0, Attempt: 1, SinceS: 900},
		{Task: 1, Attempt: 9, SinceS: 900},
		{Task: 7, Attempt: 1, SinceS: 900},
	}
	if err := job.SetRunning(running); err != nil {
		t.Fatal(err)
	}
	return &standby.Proven{
		Placements: rows[records.PlacementPrefix],
		Returns:    rows[records.ScaleInPrefix],
		Jobs:       []standby.JobView{job},
		Machines: []standby.MachineView{
			{Host: "m-1", Type: "g8", Zone: "a", Incarnation: 9, FencingToken: 4, Images: []string{"img"}},
			{Host: "m-3", Type: "g8", Zone: "a", Incarnation: 1, FencingToken: 4},
			{Host: "m-4", Type: "g8", Zone: "b", Incarnation: 1, FencingToken: 4},
		},
	}
}

// A warm standby's views do not prove that a task is off, nor that a machine accepts attempts: with
// any views, the state has the attempts and releases of the records, no machine is ready before it
// sends a heartbeat, and heartbeats have the same effect as without views.
func TestViewsProveNothing(t *testing.T) {
	rows := recordsOfTwoTasks()
	for _, proof := range []struct {
		name   string
		err    error
		listed int
	}{{"warm", nil, 0}, {"cold", standby.ErrDigest, 4}} {
		now := time.Unix(1000, 0)
		c := newTestLeader(&now)
		c.loaded = false
		store := &listOnlyStore{rows: rows}
		c.Store = store
		c.JobCache.Reset(rows[records.JobPrefix], 4, time.Now().Add(-time.Second))
		c.JobCache.SetListener(c.applyJobEvent)
		c.Prove = func(context.Context, uint64) (*standby.Proven, error) { return misleadingProof(t, rows), proof.err }
		if err := c.loadState(context.Background()); err != nil {
			t.Fatal(err)
		}
		if store.listCount != proof.listed || c.failover.record.Warm != (proof.err == nil) {
			t.Errorf("%s: %d listings, the takeover is %+v", proof.name, store.listCount, c.failover.record)
		}
		j := c.jobs.get("run-000001")
		if j.live != 2 || c.fleet.Get("m-3").State != fleet.Returning {
			t.Errorf("%s: %d attempts, the returned machine is %s", proof.name, j.live, c.fleet.Get("m-3").State)
		}
		j.eachAttempt(func(a *fleet.Attempt) {
			if a.State != fleet.Committed || !a.Inherited || a.Machine.State != fleet.Booting {
				t.Errorf("%s: %s is %s on a machine that is %s", proof.name, a.TaskName(), a.State, a.Machine.State)
			}
		})
		// The machine is in the incarnation that its task was decided for, whatever the view says.
		c.fleet.ApplyHeartbeat(&wire.Heartbeat{Host: "m-1", Zone: "a", Incarnation: 1, Sequence: 7, FencingToken: 5,
			Tasks: []wire.TaskReport{{Task: "run-000001/0", Attempt: 1, Status: wire.TaskRunning}}}, now)
		if a := j.attempt(0); a == nil || a.State != fleet.Running {
			t.Errorf("%s: a running task is not taken over", proof.name)
		}
	}
}

// While the state store does not answer, the proof is retried; after that all records are listed.
func TestUnansweredProofIsRetriedBeforeListing(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.loaded = false
	store := &listOnlyStore{rows: recordsOfTwoTasks()}
	c.Store = store
	attempts := 0
	c.Prove = func(context.Context, uint64) (*standby.Proven, error) { attempts++; return nil, errors.New("503") }
	for range maxProofAttempts {
		if err := c.loadState(context.Background()); err == nil || store.listCount > 0 {
			t.Fatalf("after %d tries: loaded with %v, %d listings", attempts, err, store.listCount)
		}
	}
	if err := c.loadState(context.Background()); err != nil || attempts != maxProofAttempts || !c.loaded {
		t.Errorf("after %d tries: %v", attempts, err)
	}
}

// A standby gets views of what has changed, and of everything if it has not asked for long.
func TestDrainChangedViewsReturnsWhatChanged(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	for i := range 600 {
		c.heartbeatFrom(i, 1, now)
	}
	take := func() (keys []string) {
		for more := true; more; {
			var entries []*standby.Entry
			entries, more = c.DrainChangedViews(256)
			if len(entries) > 257 {
				t.Fatalf("%d views at once", len(entries))
			}
			for _, e := range entries {
				keys = append(keys, e.Key)
			}
		}
		slices.Sort(keys)
		return keys
	}
	if keys := take(); len(keys) != 601 {
		t.Errorf("%d views at first", len(keys))
	}
	m := c.fleet.Get("m-007")
	c.fleet.AddAttempt(m, &fleet.Attempt{JobUID: "run-000001", Number: 1, Incarnation: 1, Inherited: true}, now)
	c.fleet.ApplyHeartbeat(&wire.Heartbeat{Host: "m-007", Zone: "b", Incarnation: 1, Sequence: 2, FencingToken: 5,
		Tasks: []wire.TaskReport{{Task: "run-000001/0", Attempt: 1, Status: wire.TaskRunning}}}, now)
	if keys := fmt.Sprint(take()); keys != "[view/job/run-000001 view/leader view/machine/m-007]" {
		t.Errorf("changed views are %s", keys)
	}
	now = now.Add(time.Minute)
	c.stopIdleViewTracking(now)
	if c.views.enabled {
		t.Error("changes are noted although nobody asks")
	}
	if keys := take(); len(keys) != 601 {
		t.Errorf("%d views after a while", len(keys))
	}
}
