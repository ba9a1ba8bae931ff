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
	uid         string
	record      *records.Job
	modRevision uint64 // of the record
	need        fleet.Resources

	// Its place in the graph of dependencies.
	level           int     // its own, or the highest of the jobs that depend on it
	dueMs           float64 // by its own deadline or theirs; +Inf if there is none
	released        bool    // all that it depends on is done
	cancelled       bool    // a job that it depends on is cancelled
	eligibleSinceMs int64   // when it was accepted or, if later, released

	// Its tasks.
	placements      map[int]*placement // by index
	dirtyPlacements int                // placements that are to be written
	done            int                // tasks that are done
	live            int                // attempts that may be on their machines
	freedTasks      []int              // tasks that may wait again after an attempt
	nextUnplaced    int                // tasks from here on were not placed in this term
	hasRun          bool               // a task of it has run, as far as this leader knows
	waitingSince    time.Time          // since when no attempt of it may be on a machine
	countsRevision  uint64             // of the last change of its counts of tasks

	// Its failures: failures.go.
	failedOn       map[string]time.Time // machines that it failed on, and when
	failedAttempts int                  // attempts that are over without their task being done
	suspect        bool                 // it may be faulty
	backoffs       int                  // how often in a row it was backed off
	backoffUntil   time.Time            // no task of it is placed before

	// Its writes: placementwriter.go.
	outcomeUnknown      bool      // the outcome of its archiving is unknown
	writesDeferredUntil time.Time // no record of it is written before: the state store rejected one
}

func newJob(uid string, e watchcache.Entry, now time.Time) *job {
	return &job{
		uid:             uid,
		record:          e.Job,
		modRevision:     e.ModRevision,
		need:            fleet.TaskResources(&e.Job.Spec),
		level:           e.Job.Spec.Priority.Level(),
		dueMs:           math.Inf(1),
		eligibleSinceMs: e.Job.AcceptedAtMs,
		placements:      map[int]*placement{},
		waitingSince:    now,
		failedOn:        map[string]time.Time{},
	}
}

// loadPlacement adds a stored placement record to the job. It returns the attempts that the
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
			j.done++
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

// isOver reports whether a job can be archived: no attempt of it may be on a machine, and it is
// final, cancelled with one that it depends on, or done with all its tasks.
func (j *job) isOver() bool {
	if j.record.Status.Final() || j.cancelled {
		return j.live == 0
	}
	return j.done >= j.record.Spec.TaskCount && j.live == 0
}

// placement finds or makes the placement that a task belongs to.
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

// attempt returns the attempt of a task that may be on its machine, or nil.
func (j *job) attempt(task int) *fleet.Attempt {
	if p := j.placements[task/j.record.TasksPerPlacement]; p != nil {
		return p.live[task]
	}
	return nil
}

// addAttempt adds an attempt that may be on its machine from now on.
func (j *job) addAttempt(p *placement, a *fleet.Attempt) {
	p.live[a.TaskIndex] = a
	j.live++
}

// removeAttempt removes an attempt that is off its machine: its task waits again, unless it is
// done.
func (j *job) removeAttempt(p *placement, a *fleet.Attempt) {
	delete(p.live, a.TaskIndex)
	j.live--
	j.freedTasks = append(j.freedTasks, a.TaskIndex)
	if a.Cause != wire.CauseDone {
		j.failedAttempts++
	}
}

// markDone counts a task as done, once.
func (j *job) markDone(p *placement, task int) {
	bit := task % j.record.TasksPerPlacement
	if !p.done.IsDone(bit) {
		p.done.MarkDone(bit)
		j.done++
	}
}

// waitingCount returns how many tasks wait to be placed.
func (j *job) waitingCount() int {
	if j.record.Status.Final() || !j.released {
		return 0
	}
	return max(0, j.record.Spec.TaskCount-j.done-j.live)
}

// nextWaitingTasks removes up to n tasks from those that wait and returns them. A task may be both
// in freedTasks and not before nextUnplaced: it is returned once.
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

// gangAttempt returns the attempt number that all tasks of a gang share in one start: that of the
// tasks which are placed already, else one that none of them has used.
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

// runningCount returns how many attempts run or write their last checkpoint.
func (j *job) runningCount() int {
	n := 0
	j.eachAttempt(func(a *fleet.Attempt) {
		if a.State == fleet.Running || a.State == fleet.Saving {
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
