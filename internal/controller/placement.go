package controller

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
)

// placement is the leader's state of one placement record: a run of a job's tasks and where
// their attempts are.
type placement struct {
	job         *job
	index       int                    // among the job's placements
	modRevision uint64                 // of the record; 0 while there is none
	nextAttempt uint64                 // a number that no attempt of these tasks has used
	done        records.Placement      // only Done is used
	live        map[int]*fleet.Attempt // attempts that may be on their machines, by task
	ended       []*fleet.Attempt       // ended, and not recorded so yet

	changes        int       // counts changes, to tell those that come during a commit
	dirty          bool      // see setDirty
	due            time.Time // when a dirty placement is to be written
	outcomeUnknown bool      // the outcome of a commit is unknown: the record is read before it is written
}

// newPlacement adds an empty placement to a job.
func newPlacement(j *job, index int) *placement {
	p := &placement{job: j, index: index, nextAttempt: 1, live: map[int]*fleet.Attempt{}}
	j.placements[index] = p
	return p
}

// placed is an attempt as a placement record lists it.
func placed(a *fleet.Attempt) records.Placed {
	return records.Placed{Task: a.TaskIndex, Attempt: a.Number, Host: a.Machine.ID, Incarnation: a.Incarnation}
}

// record makes the placement record as it stands.
func (p *placement) record() records.Placement {
	record := records.Placement{Next: p.nextAttempt, Done: p.done.Done}
	for _, a := range p.live {
		record.Live = append(record.Live, placed(a))
	}
	return record
}

// hasRoom reports whether the placement record still fits a value with one more attempt of a
// task on a machine.
func (p *placement) hasRoom(task int, m *fleet.Machine, valueBytes int) bool {
	tasks := p.job.record.Per
	if records.FitsPlain(tasks, valueBytes) {
		return true
	}
	added := records.Placed{Task: task, Attempt: p.nextAttempt, Host: m.ID, Incarnation: m.Incarnation}
	bytes := records.DenseBytes(added, tasks)
	for _, a := range p.live {
		bytes += records.DenseBytes(placed(a), tasks)
	}
	return bytes <= records.DenseRoom(valueBytes, tasks)
}

// plannedAttempts lists the attempts whose launch is decided and not recorded yet.
func (p *placement) plannedAttempts() []*fleet.Attempt {
	var planned []*fleet.Attempt
	for _, a := range p.live {
		if a.State == fleet.Planned {
			planned = append(planned, a)
		}
	}
	return planned
}

// markChanged counts a change that is to be recorded at due or before.
func (p *placement) markChanged(due time.Time) {
	p.changes++
	if !p.dirty || due.Before(p.due) {
		p.due = due
	}
	p.setDirty(true)
}

// setDirty sets whether a placement is to be written. Most jobs have no such placement, and
// scheduling cycles and the writer skip them.
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

// hasUnknownPlacement reports whether some placement record has to be read again first.
func (j *job) hasUnknownPlacement() bool {
	for _, p := range j.placements {
		if p.outcomeUnknown {
			return true
		}
	}
	return false
}

// storedPlacements is how many placements of the job have a record.
func (j *job) storedPlacements() int {
	stored := 0
	for _, p := range j.placements {
		if p.modRevision != 0 {
			stored++
		}
	}
	return stored
}
