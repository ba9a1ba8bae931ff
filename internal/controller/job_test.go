package controller

import (
	"flag"
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

// waitingTasksModel is a job beside a plain set of its tasks that wait.
type waitingTasksModel struct {
	t       *rapid.T
	job     *job
	waiting map[int]bool
}

func newWaitingTasksModel(t *rapid.T, tasks int) *waitingTasksModel {
	record := &records.Job{Spec: wire.JobSpec{TaskCount: tasks}, Status: wire.JobQueued, TasksPerPlacement: 7}
	j := newJob("run-000001", watchcache.Entry{Job: record, ModRevision: 1}, time.Now())
	waiting := map[int]bool{}
	for task := range tasks {
		waiting[task] = true
	}
	return &waitingTasksModel{t: t, job: j, waiting: waiting}
}

// toggle adds an attempt of a task that waits, as from a record, or ends the one that it has.
func (m *waitingTasksModel) toggle(task int) {
	p := m.job.placement(task)
	if a := p.live[task]; a != nil {
		m.job.removeAttempt(p, a)
		m.waiting[task] = true
	} else if m.waiting[task] {
		m.job.addAttempt(p, &fleet.Attempt{TaskIndex: task})
		delete(m.waiting, task)
	}
}

// finish lets a task that waits be done, as by a record.
func (m *waitingTasksModel) finish(task int) {
	if p := m.job.placement(task); p.live[task] == nil && m.waiting[task] {
		m.job.markDone(p, task)
		delete(m.waiting, task)
	}
}

// place asks for n tasks that wait, and places them.
func (m *waitingTasksModel) place(n int) {
	got := m.job.nextWaitingTasks(n)
	if want := min(n, len(m.waiting)); len(got) != want {
		m.t.Fatalf("%v of %d waiting tasks are returned, want %d", got, len(m.waiting), want)
	}
	for _, task := range got {
		if !m.waiting[task] {
			m.t.Fatalf("%v are returned; %d does not wait, or is among them twice", got, task)
		}
		m.job.addAttempt(m.job.placement(task), &fleet.Attempt{TaskIndex: task})
		delete(m.waiting, task)
	}
}

// Tasks that wait are returned once each, and all of them. A new leader once placed tasks twice
// that an earlier term had placed and that were off again: they were in freedTasks and also not
// before nextUnplaced. The second attempt hid the first, which occupied its room for ever.
func TestNextWaitingTasksReturnsEachTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks := rapid.IntRange(1, 40).Draw(t, "tasks")
		model := newWaitingTasksModel(t, tasks)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			task := rapid.IntRange(0, tasks-1).Draw(t, "task")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				model.toggle(task)
			case 1:
				model.finish(task)
			case 2:
				model.place(rapid.IntRange(0, tasks).Draw(t, "n"))
			}
		}
	})
}
