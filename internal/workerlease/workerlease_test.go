package workerlease

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// fakeJobs knows some cancelled jobs as of a time.
type fakeJobs struct {
	cancelled map[string]bool
	fresh     time.Time
}

func (f *fakeJobs) FreshAsOf() time.Time { return f.fresh }

func (f *fakeJobs) Cancelled(uids []string) (map[string]bool, time.Time) {
	found := map[string]bool{}
	for _, uid := range uids {
		if f.cancelled[uid] {
			found[uid] = true
		}
	}
	return found, f.fresh
}

// A lease is renewed on knowledge that is maxAge old, and not on anything older.
func TestLeaseIsRenewedUpToTheAgeOfKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jobs := &fakeJobs{}
		r := NewRenewer(jobs, 29*time.Second)
		if err := r.Renew(&wire.Heartbeat{}, &wire.Commands{}); !errors.Is(err, ErrStale) {
			t.Errorf("renewed before the jobs are known: %v", err)
		}
		jobs.fresh = time.Now()
		time.Sleep(29 * time.Second)
		if err := errors.Join(r.CheckFresh(), r.Renew(&wire.Heartbeat{}, &wire.Commands{})); err != nil {
			t.Errorf("not renewed on knowledge of 29 s: %v", err)
		}
		time.Sleep(time.Nanosecond)
		if err := r.CheckFresh(); !errors.Is(err, ErrStale) {
			t.Errorf("knowledge of over 29 s passes for fresh: %v", err)
		}
		answer := wire.Commands{Commands: []wire.Command{{Verb: wire.Launch, Task: "run-000001/0", Attempt: 1}}}
		if err := r.Renew(&wire.Heartbeat{}, &answer); !errors.Is(err, ErrStale) {
			t.Errorf("renewed on knowledge of over 29 s: %v", err)
		}
	})
}

// Cancelled work is stopped once, whatever the answer says of it already, and not launched;
// other work and what has ended are left alone.
func TestCancelledWorkIsStoppedAndNotLaunched(t *testing.T) {
	launch := func(task string) wire.Command { return wire.Command{Verb: wire.Launch, Task: task, Attempt: 1} }
	stop := func(task string, graceS float64) wire.Command {
		return wire.Command{Verb: wire.Stop, Task: task, Attempt: 1, GracePeriodS: graceS}
	}
	running := func(task string) wire.TaskReport {
		return wire.TaskReport{Task: task, Attempt: 1, Status: wire.TaskRunning}
	}
	ended := wire.TaskReport{Task: "run-000001/0", Attempt: 1, Status: wire.TaskEnded}
	for _, tc := range []struct {
		name  string
		tasks []wire.TaskReport
		given []wire.Command
		want  []wire.Command
	}{
		{"running", []wire.TaskReport{running("run-000001/0")}, nil, []wire.Command{stop("run-000001/0", 0)}},
		{"stopped with a grace period", []wire.TaskReport{running("run-000001/0")}, []wire.Command{stop("run-000001/0", 9)},
			[]wire.Command{stop("run-000001/0", 0)}},
		{"to be launched", nil, []wire.Command{launch("run-000001/0"), launch("run-000002/0")}, []wire.Command{launch("run-000002/0")}},
		{"ended", []wire.TaskReport{ended}, []wire.Command{{Verb: wire.Acknowledge, Task: "run-000001/0", Attempt: 1}},
			[]wire.Command{{Verb: wire.Acknowledge, Task: "run-000001/0", Attempt: 1}}},
		{"other work", []wire.TaskReport{running("run-000002/0")}, []wire.Command{stop("run-000002/0", 9)},
			[]wire.Command{stop("run-000002/0", 9)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			jobs := &fakeJobs{cancelled: map[string]bool{"run-000001": true}, fresh: time.Now()}
			answer := wire.Commands{Commands: tc.given}
			if err := NewRenewer(jobs, time.Minute).Renew(&wire.Heartbeat{Tasks: tc.tasks}, &answer); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(answer.Commands, tc.want) {
				t.Errorf("commands are %+v, want %+v", answer.Commands, tc.want)
			}
		})
	}
}
