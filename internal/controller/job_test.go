package controller

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// The same inputs every run; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

// Tasks that wait are picked once each, and all of them. A new leader once
// picked tasks twice that an earlier term had placed and that were off again:
// they were on the list of freed tasks and also ahead of the cursor. The
// second attempt hid the first, which held its room for ever.
func TestNextWaitingTasksReturnsEachTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks := rapid.IntRange(1, 40).Draw(t, "legs")
		j := newJob("run-000001", watchcache.Entry{Job: &records.Job{Spec: wire.JobSpec{TaskCount: tasks}, Status: wire.JobQueued, Per: 7}, ModRevision: 1}, time.Now())
		waiting := map[int]bool{}
		for task := range tasks {
			waiting[task] = true
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			task := rapid.IntRange(0, tasks-1).Draw(t, "leg")
			p := j.placement(task)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0: // an attempt from a record, or one that ended
				if p.live[task] == nil && waiting[task] {
					p.live[task] = &fleet.Attempt{}
					j.live++
					delete(waiting, task)
				} else if p.live[task] != nil {
					delete(p.live, task)
					j.live--
					j.freedTasks = append(j.freedTasks, task)
					waiting[task] = true
				}
			case 1:
				if p.live[task] == nil && waiting[task] {
					p.done.SetDone(task % 7)
					j.done++
					delete(waiting, task)
				}
			case 2:
				n := rapid.IntRange(0, tasks).Draw(t, "n")
				got := j.nextWaitingTasks(n)
				if want := min(n, len(waiting)); len(got) != want {
					t.Fatalf("picked %v of %d waiting, want %d", got, len(waiting), want)
				}
				slices.Sort(got)
				for i, g := range got {
					if !waiting[g] || i > 0 && got[i-1] == g {
						t.Fatalf("picked %v; %d", got, g)
					}
					j.placement(g).live[g] = &fleet.Attempt{}
					j.live++
					delete(waiting, g)
				}
			}
		}
	})
}
