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

// Every run draws the same inputs; another -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

// waitingTasksModel compares a job with a plain set of the tasks that should wait.
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

// toggle removes the attempt of a task or, if the task waits, adds one as from a placement record.
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

// finish marks a waiting task as done, as a placement record would.
func (m *waitingTasksModel) finish(task int) {
	if p := m.job.placement(task); p.live[task] == nil && m.waiting[task] {
		m.job.markDone(p, task)
		delete(m.waiting, task)
	}
}

// place takes n waiting tasks from the job, checks them and places them.
func (m *waitingTasksModel) place(n int) {
	got := m.job.nextWaitingTasks(n)
	if want := min(n, len(m.waiting)); len(got) != want {
		m.t.Fatalf("nextWaitingTasks(%d) with %d waiting tasks returned %v, want %d tasks", n, len(m.waiting), got, want)
	}
	for _, task := range got {
		if !m.waiting[task] {
			m.t.Fatalf("nextWaitingTasks(%d) returned %v: task %d does not wait, or is returned twice", n, got, task)
		}
		m.job.addAttempt(m.job.placement(task), &fleet.Attempt{TaskIndex: task})
		delete(m.waiting, task)
	}
}

// Every waiting task is returned exactly once. A task that an earlier term had placed and whose
// attempt was removed is both in freedTasks and at or after nextUnplaced. When a new leader placed
// such tasks twice, the second attempt hid the first, whose resources were never freed.
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

// A new leader knows from the placement records that a job was started before, even if none of its attempts is live.
func TestStartedJobIsKnownFromItsRecords(t *testing.T) {
	for nextAttempt, want := range map[uint64]bool{1: false, 3: true} {
		j := newJob("run-000001", watchcache.Entry{Job: &records.Job{
			Spec:              wire.JobSpec{Kind: wire.Service, TaskCount: 2},
			TasksPerPlacement: 2,
		}}, time.Unix(0, 0))
		j.loadPlacement(0, wire.KeyValue{Value: records.Encode(records.Placement{NextAttempt: nextAttempt})})
		if got := j.hasStarted(); got != want {
			t.Errorf("with next attempt %d hasStarted() = %v, want %v", nextAttempt, got, want)
		}
	}
}
