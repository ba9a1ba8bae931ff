package fleet

import (
	"flag"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// The same inputs every run; -rapid.seed draws others. 2,000 draws, since 100 do not find that old
// copies of heartbeats are accepted: the first draw that does is the 560th.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}

type noObserver struct{}

func (noObserver) MachineChanged(*Machine, MachineState, string) {}
func (noObserver) AttemptChanged(*Attempt, AttemptState, string) {}

const lease = 10 * time.Second

// heartbeat is one of the machine m-1.
func heartbeat(incarnation, sequence, token uint64, tasks ...wire.TaskReport) *wire.Heartbeat {
	return &wire.Heartbeat{
		Host:         "m-1",
		Address:      "x",
		MachineType:  "g8",
		Zone:         "a",
		Incarnation:  incarnation,
		Sequence:     sequence,
		FencingToken: token,
		Tasks:        tasks,
	}
}

func running(task string, attempt uint64) wire.TaskReport {
	return wire.TaskReport{Task: task, Attempt: attempt, Status: wire.TaskRunning}
}

// An attempt of an earlier term is off its machine only once a heartbeat with
// this term's token lacks it: an answer of the earlier leader may still carry its launch.
func TestInheritedAttemptIsOffOnlyByThisTermsToken(t *testing.T) {
	now := time.Now()
	f := New(5, lease, noObserver{})
	m := f.GetOrAdd("m-1", now)
	a := &Attempt{JobUID: "run-000001", Number: 1, Incarnation: 1, Inherited: true}
	f.AddAttempt(m, a, now)
	f.MarkSuspected(now.Add(time.Hour))
	if m.State != Suspected || a.State != Committed {
		t.Fatalf("after silence: %v, %v", m.State, a.State)
	}
	f.ApplyHeartbeat(heartbeat(1, 1, 4), now)
	if a.State != Committed {
		t.Fatalf("after a heartbeat with an old token: %v", a.State)
	}
	f.ApplyHeartbeat(heartbeat(1, 2, 5), now)
	if a.State != Off {
		t.Fatalf("after a heartbeat with the term's token: %v", a.State)
	}
}

// A copy of an old heartbeat changes nothing and gets no commands.
func TestOldCopyOfHeartbeatChangesNothing(t *testing.T) {
	now := time.Now()
	f := New(5, lease, noObserver{})
	f.ApplyHeartbeat(heartbeat(1, 7, 5), now)
	m := f.Get("m-1")
	a := &Attempt{JobUID: "run-000001", Number: 1}
	f.AddAttempt(m, a, now)
	if n := len(f.Commands(m, now, true)); n != 0 {
		t.Fatalf("%d commands before the record is committed", n)
	}
	f.MarkCommitted(a, now)
	f.ApplyHeartbeat(heartbeat(1, 8, 5), now)
	commands := f.Commands(m, now, true)
	if len(commands) != 1 || commands[0].Verb != wire.Launch || a.State != LaunchSent {
		t.Fatalf("commands %v, attempt %v", commands, a.State)
	}
	f.ApplyHeartbeat(heartbeat(1, 9, 5, running(a.TaskName(), 1)), now)
	if _, fresh := f.ApplyHeartbeat(heartbeat(1, 8, 5), now); fresh || a.State != Running {
		t.Fatalf("an old copy was applied: fresh %v, attempt %v", fresh, a.State)
	}
	// In a new incarnation everything of the old one is gone.
	f.ApplyHeartbeat(heartbeat(2, 10, 5), now)
	if a.State != Off {
		t.Fatalf("in a new incarnation: %v", a.State)
	}
	if _, fresh := f.ApplyHeartbeat(heartbeat(1, 11, 5, running(a.TaskName(), 1)), now); fresh {
		t.Fatal("a heartbeat of an earlier incarnation was applied")
	}
}

// A machine whose release was attempted is never used again.
func TestReturningMachineIsNeverUsedAgain(t *testing.T) {
	now := time.Now()
	f := New(5, lease, noObserver{})
	f.ApplyHeartbeat(heartbeat(1, 1, 5), now)
	m := f.Get("m-1")
	m.Capacity = Resources{8, 8, 8}
	if !m.AcceptsAttempts(now) {
		t.Fatal("a ready machine accepts no attempts")
	}
	f.MarkReturning(m, now, "test")
	f.ApplyHeartbeat(heartbeat(1, 2, 5), now)
	f.ApplyHeartbeat(heartbeat(2, 3, 5), now)
	if m.State != Returning || m.AcceptsAttempts(now) {
		t.Fatalf("%v", m.State)
	}
	f.MarkGone(m, now, "test")
	f.ApplyHeartbeat(heartbeat(3, 4, 5), now)
	if m.State != Gone {
		t.Fatalf("%v", m.State)
	}
}

// A machine that never acts on its launches gets none for a while: its heartbeats
// arrive, but the answers do not reach it.
func TestMachineThatMissesLaunchesIsAvoided(t *testing.T) {
	now := time.Now()
	f := New(5, lease, noObserver{})
	f.ApplyHeartbeat(heartbeat(1, 1, 5), now)
	m := f.Get("m-1")
	m.Capacity = Resources{8, 8, 8}
	a := &Attempt{JobUID: "run-000001", Number: 1}
	f.AddAttempt(m, a, now)
	f.MarkCommitted(a, now)
	for sequence := uint64(2); sequence < 8 && a.State != Off; sequence++ {
		f.ApplyHeartbeat(heartbeat(1, sequence, 5), now)
		f.Commands(m, now, true)
	}
	if a.State != Off || m.AcceptsAttempts(now) {
		t.Fatalf("attempt %v, accepts attempts: %v", a.State, m.AcceptsAttempts(now))
	}
}

// A machine whose lease ends although it sends heartbeats does not get the answers, and is
// avoided. If its heartbeats were not answered, in an outage, that proves nothing about it: 600 jobs
// once waited for two leases after an outage while 700 machines had room. Nor does a copy of a
// heartbeat of an earlier incarnation: when a new leader received one, the machine was avoided for
// two leases.
func TestNewIncarnationAvoidsMachineOnlyIfAnswersWereLost(t *testing.T) {
	for _, tc := range []struct {
		name  string
		token uint64        // of the heartbeat of the earlier incarnation
		after time.Duration // when the machine sends heartbeats again
		want  bool          // it accepts attempts
	}{
		{"a copy from before this term", 4, lease / 5, true},
		{"a heartbeat of this term", 5, lease / 5, false},
		{"a long outage", 5, 3 * lease, true},
	} {
		now := time.Now()
		f := New(5, lease, noObserver{})
		f.ApplyHeartbeat(heartbeat(1, 7, tc.token), now)
		m := f.Get("m-1")
		m.Capacity = Resources{8, 8, 8}
		now = now.Add(tc.after)
		m.LastHeartbeat, m.LastHeartbeatHere = now, now // as failuredetector.Detector.Reset does
		f.ApplyHeartbeat(heartbeat(2, 30, 5), now)
		if got := m.AcceptsAttempts(now); got != tc.want {
			t.Errorf("%s: accepts attempts: %v, want %v", tc.name, got, tc.want)
		}
	}
}
