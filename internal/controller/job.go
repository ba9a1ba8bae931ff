package controller

import (
	"log/slog"
	"math"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// job is the leader's state of a job.
type job struct {
	uid           string
	record        *records.Job
	modRevision   uint64          // of the record
	taskResources fleet.Resources // of one task

	// Its state in the dependency graph.
	level        int     // priority level: its own, or the highest of the jobs that depend on it
	dueMs        float64 // due time by its own deadline or one of a job that depends on it; +Inf if there is none
	ready        bool    // all jobs that it depends on are done
	cancelled    bool    // a job that it depends on is cancelled
	readySinceMs int64   // when it was accepted or, if later, became ready

	// Its tasks.
	placements      map[int]*placement // by index
	dirtyPlacements int                // placements that are to be written
	doneTasks       int                // tasks that are done
	liveAttempts    int                // attempts that may be on their machines
	freedTasks      []int              // tasks that may wait again because an attempt was removed
	nextUnplaced    int                // nextWaitingTasks has not yet looked at tasks from this index on
	hasRun          bool               // one of its tasks has run, as far as this leader knows
	waitingSince    time.Time          // start of its current wait: when it was added, became ready or lost its last live attempt
	countsRevision  uint64             // jobTable.revision at the last change of its task counts

	// Its failures: failures.go.
	failedOn       map[string]time.Time // when it last failed on a machine, by machine
	failedAttempts int                  // attempts that were removed without their task being done
	suspect        bool                 // it may be faulty
	backoffs       int                  // consecutive backoffs
	backoffUntil   time.Time            // none of its tasks is placed before this time

	// Its writes: placementwriter.go.
	outcomeUnknown      bool      // the outcome of the commit that archives it is unknown
	writesDeferredUntil time.Time // the state store rejected one of its records; none is written before this time
}

func newJob(uid string, e watchcache.Entry, now time.Time) *job {
	return &job{
		uid:           uid,
		record:        e.Job,
		modRevision:   e.ModRevision,
		taskResources: fleet.TaskResources(&e.Job.Spec),
		level:         e.Job.Spec.Priority.Level(),
		dueMs:         math.Inf(1),
		readySinceMs:  e.Job.AcceptedAtMs,
		placements:    map[int]*placement{},
		waitingSince:  now,
		failedOn:      map[string]time.Time{},
	}
}

// loadPlacement adds a stored placement record to the job. It returns the live attempts that the
// record lists.
func (j *job) loadPlacement(index int, row wire.KeyValue) []records.PlacedAttempt {
	record, err := records.DecodePlacement(row.Value)
	if err != nil {
		slog.Error("placement record cannot be decoded", "key", row.Key, "err", err)
		return nil
	}
	p := newPlacement(j, index)
	p.modRevision, p.nextAttempt, p.done.DoneBits = row.ModRevision, record.NextAttempt, record.DoneBits
	for i := range j.record.TasksPerPlacement {
		if index*j.record.TasksPerPlacement+i < j.record.Spec.TaskCount && record.IsDone(i) {
			j.doneTasks++
		}
	}
	return record.Live
}

// finalStatus returns the final status of a job that is over.
func (j *job) finalStatus() wire.JobStatus {
	switch {
	case j.record.Status.Final():
		return j.record.Status
	case j.cancelled:
		return wire.JobAborted
	}
	return wire.JobDone
}

// isOver reports whether a job can be archived: none of its attempts may be on a machine, and its
// status is final, a job that it depends on is cancelled, or all its tasks are done.
func (j *job) isOver() bool {
	if j.record.Status.Final() || j.cancelled {
		return j.liveAttempts == 0
	}
	return j.doneTasks >= j.record.Spec.TaskCount && j.liveAttempts == 0
}

// placement returns the placement that a task belongs to, and adds it if the job has none yet.
func (j *job) placement(task int) *placement {
	index := task / j.record.TasksPerPlacement
	p := j.placements[index]
	if p == nil {
		p = newPlacement(j, index)
	}
	return p
}

func (j *job) isDone(task int) bool {
	p := j.placements[task/j.record.TasksPerPlacement]
	return p != nil && p.done.IsDone(task%j.record.TasksPerPlacement)
}

// attempt returns the live attempt of a task, or nil if there is none.
func (j *job) attempt(task int) *fleet.Attempt {
	if p := j.placements[task/j.record.TasksPerPlacement]; p != nil {
		return p.live[task]
	}
	return nil
}

// addAttempt adds an attempt, which may be on its machine from now on.
func (j *job) addAttempt(p *placement, a *fleet.Attempt) {
	p.live[a.TaskIndex] = a
	j.liveAttempts++
}

// removeAttempt removes an attempt that is no longer on its machine. The attempt's task waits again
// unless it is done.
func (j *job) removeAttempt(p *placement, a *fleet.Attempt) {
	delete(p.live, a.TaskIndex)
	j.liveAttempts--
	j.freedTasks = append(j.freedTasks, a.TaskIndex)
	if a.EndCause != wire.CauseDone {
		j.failedAttempts++
	}
}

// markDone counts a task as done, once.
func (j *job) markDone(p *placement, task int) {
	bit := task % j.record.TasksPerPlacement
	if !p.done.IsDone(bit) {
		p.done.MarkDone(bit)
		j.doneTasks++
	}
}

// waitingCount returns how many tasks wait to be placed. Those of them that may be placed now (placeableTasks) are the
// job's pending tasks in a scheduling cycle (sched.Job.PendingTasks).
func (j *job) waitingCount() int {
	if j.record.Status.Final() || !j.ready {
		return 0
	}
	return max(0, j.record.Spec.TaskCount-j.doneTasks-j.liveAttempts)
}

// nextWaitingTasks takes up to n tasks from those that wait and returns them. It returns a task only
// once even if the task is in freedTasks and its index is also nextUnplaced or higher.
func (j *job) nextWaitingTasks(n int) []int {
	tasks := make([]int, 0, min(n, j.waitingCount()))
	picked := map[int]bool{}
	pick := func(task int) {
		if !picked[task] && !j.isDone(task) && j.attempt(task) == nil {
			picked[task] = true
			tasks = append(tasks, task)
		}
	}
	for len(tasks) < n && len(j.freedTasks) > 0 {
		task := j.freedTasks[len(j.freedTasks)-1]
		j.freedTasks = j.freedTasks[:len(j.freedTasks)-1]
		pick(task)
	}
	for ; len(tasks) < n && j.nextUnplaced < j.record.Spec.TaskCount; j.nextUnplaced++ {
		pick(j.nextUnplaced)
	}
	return tasks
}

// hasStarted reports whether a task of the job has been launched before, by this leader or an earlier one.
func (j *job) hasStarted() bool {
	for _, p := range j.placements {
		if p.nextAttempt > 1 {
			return true
		}
	}
	return false
}

// gangAttempt returns the attempt number that all tasks of a gang share in one start: the number of
// the tasks that are already placed or, if there are none, a number that no task has used.
func (j *job) gangAttempt() uint64 {
	next := uint64(1)
	for _, p := range j.placements {
		for _, a := range p.live {
			return a.Number
		}
		next = max(next, p.nextAttempt)
	}
	return next
}

// eachAttempt calls f for every attempt of the job that may be on its machine.
func (j *job) eachAttempt(f func(a *fleet.Attempt)) {
	for _, p := range j.placements {
		for _, a := range p.live {
			f(a)
		}
	}
}

// runningCount returns how many attempts are known to be running or saving their last checkpoint.
func (j *job) runningCount() int {
	n := 0
	j.eachAttempt(func(a *fleet.Attempt) {
		if a.Activity() == fleet.Active {
			n++
		}
	})
	return n
}

// stoppingCount returns how many attempts are being stopped and may still be on their machines.
func (j *job) stoppingCount() int {
	n := 0
	j.eachAttempt(func(a *fleet.Attempt) {
		if a.Stopping || a.State == fleet.Saving {
			n++
		}
	})
	return n
}
