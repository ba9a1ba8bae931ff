package fleet

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// In fleets of 4,096 and of 6,000 machines, each machine gets the launches of its own tasks, reports them
// and is marked as changed. A new incarnation of one machine ends the tasks of that machine only.
func TestLargeFleetKeepsItsTasks(t *testing.T) {
	const tasks = 8
	for _, machines := range []int{4096, 6000} {
		now := time.Unix(1000, 0)
		f := New(5, 10*time.Second, noObserver{})
		sendHeartbeat := func(i int, incarnation, sequence uint64, running bool) *Machine {
			h := &wire.Heartbeat{
				Host:         fmt.Sprintf("m-%06d", i),
				MachineType:  "g8",
				Zone:         "a",
				Incarnation:  incarnation,
				Sequence:     sequence,
				FencingToken: 5,
			}
			for task := range tasks {
				if running {
					name := wire.TaskName(fmt.Sprint("run-", i), task)
					h.Tasks = append(h.Tasks, wire.TaskReport{Task: name, Attempt: 1, Status: wire.TaskRunning})
				}
			}
			m, _ := f.ApplyHeartbeat(h, now)
			return m
		}
		for i := range machines {
			m := sendHeartbeat(i, 1, 1, false)
			for task := range tasks {
				a := &Attempt{JobUID: fmt.Sprint("run-", i), TaskIndex: task, Number: 1, Resources: Resources{Cores: 1}}
				f.AddAttempt(m, a, now)
				f.MarkCommitted(a, now)
			}
			if commands := f.Commands(m, now, true); len(commands) != tasks {
				t.Fatalf("%s gets %d commands, want %d", m.ID, len(commands), tasks)
			}
			sendHeartbeat(i, 1, 2, true)
		}
		changed := 0
		f.DrainChanged(func(string, *Machine) { changed++ })
		if f.Len() != machines || changed != machines {
			t.Fatalf("the fleet has %d machines, of which %d have changed, want %d for both", f.Len(), changed, machines)
		}
		sendHeartbeat(machines/2, 2, 1, false)
		f.MarkSuspected(now)
		f.Each(func(m *Machine) {
			want := tasks
			if m.ID == fmt.Sprintf("m-%06d", machines/2) {
				want = 0
			}
			if m.State != Ready || m.LiveCount() != want {
				t.Fatalf("%s is %s with %d tasks, want %s with %d", m.ID, m.State, m.LiveCount(), Ready, want)
			}
		})
		f.DrainChanged(func(string, *Machine) { changed-- })
		if changed != machines-1 {
			t.Errorf("one heartbeat changed %d machines, want 1", machines-changed)
		}
	}
}
