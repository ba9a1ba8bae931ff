package fleet

import (
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// AttemptState is a stage in the life of an attempt.
type AttemptState int

// The states of an attempt, in the order in which it goes through them. Those before Ended are
// live. An attempt may skip some, and goes back from LaunchSent to Committed if the worker did not
// act on the launch.
const (
	Planned     AttemptState = iota // decided, its record not yet committed
	Committed                       // its record is committed: it may be launched, unless it is Inherited
	LaunchSent                      // its launch was in an answer to a heartbeat
	Fetching                        // its worker reports that it fetches the image
	Running                         // its worker reports that it runs
	Saving                          // its worker reports that it saves a checkpoint
	Ended                           // its worker reports its end, which is not recorded yet
	EndRecorded                     // its end is recorded: the worker may forget it
	Off                             // provably off its machine
)

var attemptStateNames = [...]string{"planned", "committed", "sent", "fetching", "running", "saving", "ended", "recorded", "off"}

// String returns the name of the state in log lines.
func (s AttemptState) String() string { return attemptStateNames[s] }

type attemptKey struct {
	task    string
	attempt uint64
}

// Attempt is one attempt to run one task on one machine.
type Attempt struct {
	JobUID       string
	TaskIndex    int
	Number       uint64 // of the attempt among those of its task; never used again
	Serial       int    // unique among the attempts of a term; set by AddAttempt
	Incarnation  uint64 // of the machine's worker that it was decided for
	Resources    Resources
	Image        string
	Machine      *Machine
	State        AttemptState
	SentSequence uint64     // of the newest heartbeat whose answer carried the launch
	Inherited    bool       // decided in an earlier term
	Stopping     bool       // it is to be stopped
	GracePeriodS float64    // seconds it may take to stop, with Stopping
	Cause        wire.Cause // of its end, from Ended on
	Checkpointed bool       // it had saved a checkpoint when it ended
	Since        time.Time  // when State last changed
	RunningSince time.Time  // when it was first seen running
}

// TaskName returns the name of the attempt's task.
func (a *Attempt) TaskName() string { return wire.TaskName(a.JobUID, a.TaskIndex) }

// Live reports whether the attempt may be on its machine, now or later.
func (a *Attempt) Live() bool { return a.State < Ended }

func (a *Attempt) key() attemptKey { return attemptKey{a.TaskName(), a.Number} }

// setAttemptState is the one function that changes the state of an attempt. Off is final. Whoever
// passes Off has the proof that docs/safety.md asks for.
func (f *Fleet) setAttemptState(a *Attempt, to AttemptState, now time.Time, reason string) {
	if a.State == to || a.State == Off {
		return
	}
	m := a.Machine
	f.MarkChanged(m)
	from, wasLive := a.State, a.Live()
	a.State, a.Since = to, now
	if wasLive && !a.Live() {
		m.used = m.used.Sub(a.Resources)
		if m.live--; m.live == 0 {
			m.used = Resources{} // so that rounding errors do not add up
			m.IdleSince = now
		}
	}
	if to == Off {
		delete(m.attempts, a.key())
	}
	f.observer.AttemptChanged(a, from, reason)
}

// AddAttempt adds an attempt to a machine: as Planned if this term decided it, or as Committed if it
// is inherited from the record of an earlier term. The caller has set JobUID, TaskIndex, Number,
// Resources, Image and Inherited, and for an inherited attempt Incarnation; the rest is set here.
func (f *Fleet) AddAttempt(m *Machine, a *Attempt, now time.Time) {
	f.lastSerial++
	a.Machine, a.Since, a.Serial = m, now, f.lastSerial
	f.MarkChanged(m)
	if a.Inherited {
		a.State = Committed
	} else {
		a.State = Planned
		a.Incarnation = m.Incarnation
	}
	m.attempts[a.key()] = a
	m.used = m.used.Add(a.Resources)
	m.live++
	f.observer.AttemptChanged(a, a.State, "placed")
}

// MarkCommitted is called when the record of a planned attempt is committed: it may be launched.
func (f *Fleet) MarkCommitted(a *Attempt, now time.Time) {
	if a.State == Planned {
		f.setAttemptState(a, Committed, now, "its record is committed")
	}
}

// MarkEndRecorded is called when the record of an attempt's end is committed, or need not be
// written: from then on the answers to heartbeats acknowledge the end, and the worker forgets the
// attempt.
func (f *Fleet) MarkEndRecorded(a *Attempt, now time.Time) {
	if a.State == Ended {
		f.setAttemptState(a, EndRecorded, now, "its end is recorded")
	}
}

// StopAttempt requests the end of an attempt within a grace period in seconds; of several requests
// the shortest grace period counts. The next answers to heartbeats carry the command. An attempt
// that this term has not launched, and that no other term can have launched, is Off at once. It
// does nothing to an attempt that is not live.
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
