package fleet

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Each of 4,096 and of 6,000 machines has tasks of its own: it gets their launches, reports them, is
// marked as changed, and only its own new incarnation takes its tasks off.
func TestLargeFleetKeepsItsTasks(t *testing.T) {
	const tasks = 8
	for _, machines := range []int{4096, 6000} {
		now := time.Unix(1000, 0)
		f := New(5, 10*time.Second, noObserver{})
		beat := func(i int, incarnation, sequence uint64, running bool) *Machine {
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
			m := beat(i, 1, 1, false)
			for task := range tasks {
				a := &Attempt{JobUID: fmt.Sprint("run-", i), TaskIndex: task, Number: 1, Resources: Resources{Cores: 1}}
				f.AddAttempt(m, a, now)
				f.MarkCommitted(a, now)
			}
			if commands := f.Commands(m, now, true); len(commands) != tasks {
				t.Fatalf("%s gets %d commands", m.ID, len(commands))
			}
			beat(i, 1, 2, true)
		}
		changed := 0
		f.DrainChanged(func(string, *Machine) { changed++ })
		if f.Len() != machines || changed != machines {
			t.Fatalf("%d of %d machines are kept, %d have changed", f.Len(), machines, changed)
		}
		beat(machines/2, 2, 1, false)
		f.MarkSuspected(now)
		f.Each(func(m *Machine) {
			want := tasks
			if m.ID == fmt.Sprintf("m-%06d", machines/2) {
				want = 0
			}
			if m.State != Ready || m.LiveCount() != want {
				t.Fatalf("%s is %s with %d tasks, not %d", m.ID, m.State, m.LiveCount(), want)
			}
		})
		f.DrainChanged(func(string, *Machine) { changed-- })
		if changed != machines-1 {
			t.Errorf("%d machines have changed by one heartbeat", machines-changed)
		}
	}
}
