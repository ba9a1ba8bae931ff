package fleet

import (
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// AttemptState is a stage in the life of an attempt.
type AttemptState int

// The states of an attempt, in the order in which it goes through them. The states before Ended are
// live. An attempt may skip states, and goes back from LaunchSent to Committed if the worker did not
// act on the launch.
const (
	Planned     AttemptState = iota // decided, but its record is not committed yet
	Committed                       // its record is committed: it may be launched, unless it is inherited from an earlier term
	LaunchSent                      // an answer to a heartbeat carried its launch command
	Fetching                        // its worker reports that it is fetching the image
	Running                         // its worker reports that it is running
	Saving                          // its worker reports that it is saving a checkpoint
	Ended                           // its worker reports that it has ended; the record of the end is not committed yet
	EndRecorded                     // the record of its end is committed, or not needed: the worker may forget it
	Off                             // proven not to be on its machine, now or later
)

var attemptStateNames = [...]string{"planned", "committed", "sent", "fetching", "running", "saving", "ended", "recorded", "off"}

// String returns the name of the state as log lines show it.
func (s AttemptState) String() string { return attemptStateNames[s] }

// attemptKey identifies an attempt on its machine.
type attemptKey struct {
	task    string // name of the task
	attempt uint64 // number of the attempt
}

// Attempt is one attempt to run one task on one machine.
type Attempt struct {
	JobUID         string
	TaskIndex      int
	Number         uint64 // number among the attempts of its task; never reused
	Serial         int    // unique among the attempts of a term; set by AddAttempt
	Incarnation    uint64 // of the machine's worker when the attempt was decided
	Resources      Resources
	Image          string
	Machine        *Machine
	State          AttemptState
	LaunchSequence uint64     // sequence number of the newest heartbeat whose answer carried the launch
	Inherited      bool       // decided in an earlier term
	Stopping       bool       // a stop was requested
	GracePeriodS   float64    // seconds that it may take to stop, if Stopping
	EndCause       wire.Cause // why it ended; set from state Ended on
	Checkpointed   bool       // a checkpoint was saved before it ended
	StateSince     time.Time  // when State last changed
	RunningSince   time.Time  // when a heartbeat first reported it as running
}

// TaskName returns the name of the attempt's task.
func (a *Attempt) TaskName() string { return wire.TaskName(a.JobUID, a.TaskIndex) }

// Live reports whether the attempt may be on its machine, now or later.
func (a *Attempt) Live() bool { return a.State < Ended }

// Activity says whether an attempt runs on its machine, as far as the heartbeats of this term show it.
type Activity int

const (
	// NotRunning means that the attempt does not run: its launch was not sent yet, or it has ended.
	NotRunning Activity = iota
	// Starting means that the launch was sent, and that the attempt did not run yet at the machine's last heartbeat.
	Starting
	// Unconfirmed means that an earlier term may have launched the attempt, and that no heartbeat of this term has
	// shown whether it runs.
	Unconfirmed
	// Active means that the attempt runs or saves a checkpoint.
	Active
)

// Activity returns whether the attempt runs, as far as heartbeats show it. That an inherited attempt does not run yet is
// shown by a heartbeat with this term's token only: one with an older token may be a late copy.
func (a *Attempt) Activity() Activity {
	switch a.State {
	case Running, Saving:
		return Active
	case LaunchSent, Fetching:
		if a.Inherited && a.Machine.State != Ready {
			return Unconfirmed
		}
		return Starting
	case Committed:
		if a.Inherited {
			return Unconfirmed
		}
	}
	return NotRunning
}

func (a *Attempt) key() attemptKey { return attemptKey{a.TaskName(), a.Number} }

// setAttemptState changes the state of an attempt. No other function does so after AddAttempt has set the
// initial state. Off is final. A caller that passes Off must hold one of the proofs that docs/safety.md
// requires.
func (f *Fleet) setAttemptState(a *Attempt, to AttemptState, now time.Time, reason string) {
	if a.State == to || a.State == Off {
		return
	}
	m := a.Machine
	f.MarkChanged(m)
	from, wasLive := a.State, a.Live()
	a.State, a.StateSince = to, now
	if wasLive && !a.Live() {
		m.used = m.used.Sub(a.Resources)
		if m.liveAttempts--; m.liveAttempts == 0 {
			m.used = Resources{} // prevents rounding errors from accumulating
			m.IdleSince = now
		}
	}
	if to == Off {
		delete(m.attempts, a.key())
	}
	f.observer.AttemptChanged(a, from, reason)
}

// AddAttempt adds an attempt to a machine: as Planned if this term decided it, or as Committed if it
// is inherited from the record of an earlier term. The caller sets JobUID, TaskIndex, Number,
// Resources, Image and Inherited, and for an inherited attempt also Incarnation. AddAttempt sets
// Machine, State, StateSince and Serial, and for an attempt of this term also Incarnation.
func (f *Fleet) AddAttempt(m *Machine, a *Attempt, now time.Time) {
	f.lastSerial++
	a.Machine, a.StateSince, a.Serial = m, now, f.lastSerial
	f.MarkChanged(m)
	if a.Inherited {
		a.State = Committed
	} else {
		a.State = Planned
		a.Incarnation = m.Incarnation
	}
	m.attempts[a.key()] = a
	m.used = m.used.Add(a.Resources)
	m.liveAttempts++
	f.observer.AttemptChanged(a, a.State, "placed")
}

// MarkCommitted is called when the record of a planned attempt is committed. From then on the attempt
// may be launched.
func (f *Fleet) MarkCommitted(a *Attempt, now time.Time) {
	if a.State == Planned {
		f.setAttemptState(a, Committed, now, "record committed")
	}
}

// MarkEndRecorded is called when the record of an attempt's end is committed, or when no record is
// needed. From then on the answers to heartbeats acknowledge the end, so that the worker forgets the
// attempt.
func (f *Fleet) MarkEndRecorded(a *Attempt, now time.Time) {
	if a.State == Ended {
		f.setAttemptState(a, EndRecorded, now, "end recorded")
	}
}

// StopAttempt requests that an attempt stops within a grace period in seconds. If there are several
// requests, the shortest grace period counts. The next answers to the machine's heartbeats carry the
// stop command. An attempt that neither this term nor an earlier one can have launched becomes Off at
// once. StopAttempt does nothing to an attempt that is not live.
func (f *Fleet) StopAttempt(a *Attempt, gracePeriodS float64, now time.Time, reason string) {
	if !a.Live() {
		return
	}
	if !a.Inherited && (a.State == Planned || a.State == Committed) {
		f.setAttemptState(a, Off, now, reason)
		return
	}
	if !a.Stopping || gracePeriodS < a.GracePeriodS {
		f.MarkChanged(a.Machine)
		a.Stopping, a.GracePeriodS = true, gracePeriodS
	}
}
