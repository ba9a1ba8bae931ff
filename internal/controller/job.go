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

// placement is a part of a job's placement and the stamp of its record.
type placement struct {
	job            *job
	index          int
	modRevision    uint64
	nextAttempt    uint64
	done           records.Placement // only Done is used
	live           map[int]*fleet.Attempt
	ended          []*fleet.Attempt // ended, not yet recorded so
	changes        int              // counts changes
	dirty          bool             // see setDirty
	due            time.Time        // when a dirty piece is to be written
	outcomeUnknown bool             // the outcome of a commit is unknown: read before writing
}

// job is the leader's picture of a job.
type job struct {
	uid                 string
	record              *records.Job
	modRevision         uint64
	level               int     // its own, or the highest of those that need it
	dueMs               float64 // by its own deadline or theirs; +Inf if there is none
	released            bool    // all that it needs is done
	cancelled           bool    // a job that it needs is cancelled
	eligibleSinceMs     int64   // when it was accepted or, if later, released
	need                fleet.Resources
	placements          map[int]*placement
	dirtyPlacements     int // pieces that are to be written
	done                int
	live                int
	freedTasks          []int // tasks that wait again
	nextUnplaced        int   // tasks from here on were never placed
	hasRun              bool  // a task of it has run in this term
	waitingSince        time.Time
	failedOn            map[string]time.Time // machines it failed on
	backoffs            int                  // how often in a row it was held back
	suspect             bool                 // it may be mistaken: failures.go
	failedAttempts      int                  // tasks that ended against the job's will
	countsRevision      uint64               // of the last change of its counts of tasks
	backoffUntil        time.Time            // not placed before
	outcomeUnknown      bool                 // the outcome of its archiving is unknown
	writesDeferredUntil time.Time            // nothing of it is written before: the state service rejected it
}

func newJob(uid string, e watchcache.Entry, now time.Time) *job {
	return &job{uid: uid, record: e.Job, modRevision: e.ModRevision, level: e.Job.Spec.Priority.Level(), dueMs: math.Inf(1), eligibleSinceMs: e.Job.AtMs, need: fleet.TaskResources(&e.Job.Spec),
		placements: map[int]*placement{}, waitingSince: now, failedOn: map[string]time.Time{}}
}

// loadPlacement takes a record of a piece into the job.
func (j *job) loadPlacement(n int, row wire.KeyValue) []records.Placed {
	rec, err := records.DecodePlacement(row.Value)
	if err != nil {
		slog.Error("placement record cannot be read", "key", row.Key, "err", err)
		return nil
	}
	p := &placement{job: j, index: n, modRevision: row.ModRevision, nextAttempt: rec.Next, live: map[int]*fleet.Attempt{}}
	p.done.Done = rec.Done
	j.placements[n] = p
	for i := range j.record.Per {
		if n*j.record.Per+i < j.record.Spec.TaskCount && rec.DoneBit(i) {
			j.done++
		}
	}
	return rec.Live
}

// finalStatus is the final status of a job that is over.
func (j *job) finalStatus() wire.JobStatus {
	switch {
	case j.record.Status.Final():
		return j.record.Status
	case j.cancelled:
		return wire.JobAborted
	}
	return wire.JobDone
}

// storedPlacements is how many pieces of the job have a record.
func (j *job) storedPlacements() int {
	stored := 0
	for _, p := range j.placements {
		if p.modRevision != 0 {
			stored++
		}
	}
	return stored
}

// hasUnknownPlacement reports whether the record of some piece has to be read again first.
func (j *job) hasUnknownPlacement() bool {
	for _, p := range j.placements {
		if p.outcomeUnknown {
			return true
		}
	}
	return false
}

// placement finds or makes the placement that a task belongs to.
func (j *job) placement(task int) *placement {
	n := task / j.record.Per
	p := j.placements[n]
	if p == nil {
		p = &placement{job: j, index: n, nextAttempt: 1, live: map[int]*fleet.Attempt{}}
		j.placements[n] = p
	}
	return p
}

func (j *job) isDone(task int) bool {
	p := j.placements[task/j.record.Per]
	return p != nil && p.done.DoneBit(task%j.record.Per)
}

func (j *job) attempt(task int) *fleet.Attempt {
	if p := j.placements[task/j.record.Per]; p != nil {
		return p.live[task]
	}
	return nil
}

func (j *job) waitingCount() int {
	if j.record.Status.Final() || !j.released {
		return 0
	}
	return max(0, j.record.Spec.TaskCount-j.done-j.live)
}

// nextWaitingTasks takes up to n tasks that wait. A task may be known twice as waiting, by
// having been freed and by not having been reached yet: it is taken once.
func (j *job) nextWaitingTasks(n int) []int {
	tasks := make([]int, 0, min(n, j.waitingCount()))
	taken := map[int]bool{}
	take := func(task int) {
		if !taken[task] && !j.isDone(task) && j.attempt(task) == nil {
			taken[task] = true
			tasks = append(tasks, task)
		}
	}
	for len(tasks) < n && len(j.freedTasks) > 0 {
		task := j.freedTasks[len(j.freedTasks)-1]
		j.freedTasks = j.freedTasks[:len(j.freedTasks)-1]
		take(task)
	}
	for ; len(tasks) < n && j.nextUnplaced < j.record.Spec.TaskCount; j.nextUnplaced++ {
		take(j.nextUnplaced)
	}
	return tasks
}

// gangAttempt is the try that all tasks of a gang share in one start: that of those
// which are placed already, else one that none of them has used.
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

func (j *job) runningCount() int {
	n := 0
	j.eachAttempt(func(a *fleet.Attempt) {
		if a.State == fleet.Running || a.State == fleet.Saving {
			n++
		}
	})
	return n
}

// stoppingCount is how many attempts are being stopped and may still be on their machines.
func (j *job) stoppingCount() int {
	n := 0
	j.eachAttempt(func(a *fleet.Attempt) {
		if a.Stopping || a.State == fleet.Saving {
			n++
		}
	})
	return n
}

// record makes the record of the piece as it stands.
func (p *placement) record() records.Placement {
	rec := records.Placement{Next: p.nextAttempt, Done: p.done.Done}
	for _, a := range p.live {
		rec.Live = append(rec.Live, records.Placed{Task: a.TaskIndex, Attempt: a.Number, Host: a.Machine.ID, Incarnation: a.Incarnation})
	}
	return rec
}

// hasRoom reports whether the record of the piece still fits a value with one more
// attempt of a task on a machine.
func (p *placement) hasRoom(task int, m *fleet.Machine, valueBytes int) bool {
	tasks := p.job.record.Per
	if records.FitsPlain(tasks, valueBytes) {
		return true
	}
	bytes := records.DenseBytes(records.Placed{Task: task, Attempt: p.nextAttempt, Host: m.ID, Incarnation: m.Incarnation}, tasks)
	for _, a := range p.live {
		bytes += records.DenseBytes(records.Placed{Task: a.TaskIndex, Attempt: a.Number, Host: a.Machine.ID, Incarnation: a.Incarnation}, tasks)
	}
	return bytes <= records.DenseRoom(valueBytes, tasks)
}

// markChanged notes a change that is to be recorded at due or before.
func (p *placement) markChanged(due time.Time) {
	p.changes++
	if !p.dirty || due.Before(p.due) {
		p.due = due
	}
	p.setDirty(true)
}

// setDirty notes whether a piece is to be written. Most jobs have no such piece, and rounds
// and the writer pass them over.
func (p *placement) setDirty(dirty bool) {
	switch {
	case dirty && !p.dirty:
		p.job.dirtyPlacements++
	case !dirty && p.dirty:
		p.job.dirtyPlacements--
	}
	p.dirty = dirty
}

// plannedAttempts lists the attempts whose launch is decided and not recorded yet.
func (p *placement) plannedAttempts() []*fleet.Attempt {
	var as []*fleet.Attempt
	for _, a := range p.live {
		if a.State == fleet.Planned {
			as = append(as, a)
		}
	}
	return as
}
