package workerlease

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// fakeJobs is a CancelledJobs with a fixed set of cancelled jobs and a settable time.
type fakeJobs struct {
	cancelled map[string]bool
	freshAsOf time.Time
}

func (f *fakeJobs) FreshAsOf() time.Time { return f.freshAsOf }

func (f *fakeJobs) Cancelled(uids []string) (map[string]bool, time.Time) {
	found := map[string]bool{}
	for _, uid := range uids {
		if f.cancelled[uid] {
			found[uid] = true
		}
	}
	return found, f.freshAsOf
}

// A lease is renewed while the knowledge of cancelled jobs is at most maxAge old, and not when it is older.
func TestLeaseIsRenewedUpToTheAgeOfKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jobs := &fakeJobs{}
		renewer := NewRenewer(jobs, 29*time.Second)
		if err := renewer.Renew(&wire.Heartbeat{}, &wire.Commands{}); !errors.Is(err, ErrStale) {
			t.Errorf("before the first read of cancelled jobs Renew returned %v, want %v", err, ErrStale)
		}
		jobs.freshAsOf = time.Now()
		time.Sleep(29 * time.Second)
		if err := errors.Join(renewer.CheckFresh(), renewer.Renew(&wire.Heartbeat{}, &wire.Commands{})); err != nil {
			t.Errorf("with knowledge 29 s old CheckFresh and Renew returned %v, want nil", err)
		}
		time.Sleep(time.Nanosecond)
		if err := renewer.CheckFresh(); !errors.Is(err, ErrStale) {
			t.Errorf("with knowledge over 29 s old CheckFresh returned %v, want %v", err, ErrStale)
		}
		answer := wire.Commands{Commands: []wire.Command{{Verb: wire.Launch, Task: "run-000001/0", Attempt: 1}}}
		if err := renewer.Renew(&wire.Heartbeat{}, &answer); !errors.Is(err, ErrStale) {
			t.Errorf("with knowledge over 29 s old Renew returned %v, want %v", err, ErrStale)
		}
	})
}

// The answer stops each task of a cancelled job once, also if it had a stop command for the task before, and launches
// none. It leaves tasks of other jobs and tasks that have ended as they were.
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
			jobs := &fakeJobs{cancelled: map[string]bool{"run-000001": true}, freshAsOf: time.Now()}
			answer := wire.Commands{Commands: tc.given}
			if err := NewRenewer(jobs, time.Minute).Renew(&wire.Heartbeat{Tasks: tc.tasks}, &answer); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(answer.Commands, tc.want) {
				t.Errorf("got commands %+v, want %+v", answer.Commands, tc.want)
			}
		})
	}
}
