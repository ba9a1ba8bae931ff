package controller

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
)

// placement is the leader's state of one placement record: a range of a job's tasks, and the machines of their
// attempts.
type placement struct {
	job         *job
	index       int                    // among the job's placements
	modRevision uint64                 // of the record; 0 while there is none
	nextAttempt uint64                 // the number of the next attempt; no attempt of these tasks has used it
	done        records.Placement      // only its DoneBits are used
	live        map[int]*fleet.Attempt // attempts that may be on their machines, by task
	ended       []*fleet.Attempt       // attempts whose end is not recorded yet

	changeCount    int       // counts changes, to detect those made during a commit
	dirty          bool      // has changes that are not written; set by setDirty
	due            time.Time // when a dirty placement is to be written
	outcomeUnknown bool      // the outcome of a commit is unknown: the record must be read before it is written
}

// newPlacement adds an empty placement to a job.
func newPlacement(j *job, index int) *placement {
	p := &placement{job: j, index: index, nextAttempt: 1, live: map[int]*fleet.Attempt{}}
	j.placements[index] = p
	return p
}

// toPlacedAttempt returns an attempt in the form that a placement record lists.
func toPlacedAttempt(a *fleet.Attempt) records.PlacedAttempt {
	return records.PlacedAttempt{Task: a.TaskIndex, Attempt: a.Number, Host: a.Machine.ID, Incarnation: a.Incarnation}
}

// record returns the placement record that describes the current state.
func (p *placement) record() records.Placement {
	record := records.Placement{NextAttempt: p.nextAttempt, DoneBits: p.done.DoneBits}
	for _, a := range p.live {
		record.Live = append(record.Live, toPlacedAttempt(a))
	}
	return record
}

// hasRoom reports whether the placement record still fits into valueBytes with one more attempt: of this task, on this
// machine.
func (p *placement) hasRoom(task int, m *fleet.Machine, valueBytes int) bool {
	tasks := p.job.record.TasksPerPlacement
	if records.FitsPlain(tasks, valueBytes) {
		return true
	}
	added := records.PlacedAttempt{Task: task, Attempt: p.nextAttempt, Host: m.ID, Incarnation: m.Incarnation}
	bytes := records.DenseAttemptBytes(added, tasks)
	for _, a := range p.live {
		bytes += records.DenseAttemptBytes(toPlacedAttempt(a), tasks)
	}
	return bytes <= records.MaxDenseAttemptsBytes(valueBytes, tasks)
}

// plannedAttempts returns the attempts whose launch is decided but not recorded yet.
func (p *placement) plannedAttempts() []*fleet.Attempt {
	var planned []*fleet.Attempt
	for _, a := range p.live {
		if a.State == fleet.Planned {
			planned = append(planned, a)
		}
	}
	return planned
}

// markChanged counts a change that is to be written at due, or earlier if the placement already has changes that are to
// be written earlier.
func (p *placement) markChanged(due time.Time) {
	p.changeCount++
	if !p.dirty || due.Before(p.due) {
		p.due = due
	}
	p.setDirty(true)
}

// setDirty sets whether a placement has changes that are to be written. It also counts the job's dirty placements:
// scheduling cycles and the writer skip jobs that have none, which are most.
func (p *placement) setDirty(dirty bool) {
	switch {
	case dirty && !p.dirty:
		p.job.dirtyPlacements++
	case !dirty && p.dirty:
		p.job.dirtyPlacements--
	}
	p.dirty = dirty
}

// isDue reports whether a placement is to be written now.
func (p *placement) isDue(now time.Time) bool {
	return p.dirty && !p.outcomeUnknown && !p.due.After(now)
}

// hasDuePlacement reports whether a placement of the job is to be written now.
func (j *job) hasDuePlacement(now time.Time) bool {
	if j.dirtyPlacements == 0 {
		return false
	}
	for _, p := range j.placements {
		if p.isDue(now) {
			return true
		}
	}
	return false
}

// hasUnknownOutcome reports whether the outcome of a commit of some placement is unknown. The placement's record has
// to be read again before the job can be archived.
func (j *job) hasUnknownOutcome() bool {
	for _, p := range j.placements {
		if p.outcomeUnknown {
			return true
		}
	}
	return false
}

// storedPlacements returns how many placements of the job have a record.
func (j *job) storedPlacements() int {
	stored := 0
	for _, p := range j.placements {
		if p.modRevision != 0 {
			stored++
		}
	}
	return stored
}
