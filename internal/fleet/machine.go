package fleet

import (
	"slices"
	"time"
)

// MachineState is a stage in the life of a machine.
type MachineState int

// The states of a machine. Their names, as String returns them, are part of the administration API.
const (
	Booting    MachineState = iota // provisioned or listed, no heartbeat in this term yet
	Confirming                     // sends heartbeats, but not yet with this term's fencing token
	Ready                          // has sent this term's fencing token: its attempts may be launched
	Suspected                      // no heartbeat for longer than a worker lease
	Releasing                      // a release to the cloud was attempted: the machine is never used again
	Gone                           // the cloud confirmed the release
)

var machineStateNames = [...]string{"booting", "confirming", "ready", "silent", "returning", "gone"}

// String returns the name of the state as the administration API shows it.
func (s MachineState) String() string { return machineStateNames[s] }

// Machine is one machine of the fleet.
type Machine struct {
	ID      string
	Address string
	Type    string
	Zone    string
	Spot    bool
	State   MachineState
	// Capacity is the total resources of the machine type; zero while the type is unknown.
	Capacity             Resources
	Incarnation          uint64               // of the machine's worker, from its newest heartbeat
	Sequence             uint64               // number of the newest heartbeat
	IncarnationHint      uint64               // the incarnation that an earlier leader knew; used only to announce the fencing token
	LastHeartbeat        time.Time            // when any node last answered one of its heartbeats
	LastHeartbeatHere    time.Time            // when this leader last answered one, directly or through a relay
	LastRelayedHeartbeat time.Time            // when a follower last relayed one to this leader
	RelayedBy            string               // label of the follower that relays its heartbeats; "" if none does
	StateSince           time.Time            // when State last changed
	FirstSeen            time.Time            // when it was first known, in this term or an earlier one
	Listed               bool                 // it has appeared in the cloud's machine list
	Failed               bool                 // the cloud lists it as failed
	SpotNotice           bool                 // it has announced that the cloud will reclaim it
	IdleSince            time.Time            // when its last live attempt ended
	AvoidUntil           time.Time            // it gets no new attempts until this time
	MissedLaunches       int                  // consecutive launches that its worker did not act on
	Quarantined          bool                 // it is avoided because tasks failed on it
	Images               map[string]time.Time // images seen on it, and when each was last in use

	// lastAnswered is when a heartbeat was last applied. After an outage or a process pause, failure
	// detection sets LastHeartbeat and LastHeartbeatHere of all machines to the present to restart
	// their timeouts (failuredetector.Detector.Reset); it does not change lastAnswered.
	lastAnswered time.Time
	reportGap    time.Duration // see ReportGap
	attempts     map[attemptKey]*Attempt
	unknownTasks []unknownTask
	used         Resources // requested by live attempts
	liveAttempts int       // number of live attempts
}

// SinceReport returns how long ago the machine's newest heartbeat in this term was applied, which reported the state of
// all its attempts. The result is longer than any time limit if there was none.
func (m *Machine) SinceReport(now time.Time) time.Duration { return now.Sub(m.lastAnswered) }

// ReportGap returns how long before its newest heartbeat in this term the machine's last but one was applied. The result
// is longer than any time limit if there was none. A heartbeat that comes after a long gap may have been held up.
func (m *Machine) ReportGap() time.Duration { return m.reportGap }

// Free returns the resources that live attempts leave free.
func (m *Machine) Free() Resources { return m.Capacity.Sub(m.used) }

// LiveCount returns the number of live attempts: those that may be on the machine, now or later.
func (m *Machine) LiveCount() int { return m.liveAttempts }

// AttemptCount returns the number of attempts that are not Off: the live ones, and those that have
// ended and that the worker has not forgotten yet.
func (m *Machine) AttemptCount() int { return len(m.attempts) }

// UnknownTaskCount returns the number of tasks that the machine reports, that have not ended and that no
// record lists. Such tasks use resources that Free does not account for: the machine gets no new
// attempts until they have ended.
func (m *Machine) UnknownTaskCount() int {
	count := 0
	for _, task := range m.unknownTasks {
		if !task.ended {
			count++
		}
	}
	return count
}

// HasImage reports whether the machine has an image, or fetches it for a live attempt.
func (m *Machine) HasImage(image string) bool {
	if _, seen := m.Images[image]; seen {
		return true
	}
	for _, a := range m.attempts {
		if a.Image == image && a.Live() {
			return true
		}
	}
	return false
}

// FetchingImages returns the number of different images that the machine still has to fetch for its
// live attempts.
func (m *Machine) FetchingImages() int {
	var fetching []string
	for _, a := range m.attempts {
		if _, seen := m.Images[a.Image]; !seen && a.Live() && !slices.Contains(fetching, a.Image) {
			fetching = append(fetching, a.Image)
		}
	}
	return len(fetching)
}

// EachAttempt calls visit for every attempt that is not Off.
func (m *Machine) EachAttempt(visit func(*Attempt)) {
	for _, a := range m.attempts {
		visit(a)
	}
}

// AcceptsAttempts reports whether the state of the machine allows new attempts. The caller also checks
// UnknownTaskCount and Free.
func (m *Machine) AcceptsAttempts(now time.Time) bool {
	return m.State == Ready && !m.SpotNotice && !m.Failed && m.Capacity.Cores > 0 && !now.Before(m.AvoidUntil)
}

// setMachineState changes the state of a machine. No other function does so after GetOrAdd has set the
// initial state. A machine whose release was attempted is never used again: Releasing only leads to Gone,
// and Gone is final.
func (f *Fleet) setMachineState(m *Machine, to MachineState, now time.Time, reason string) {
	if m.State == to || m.State == Gone || (m.State == Releasing && to != Gone) {
		return
	}
	from := m.State
	m.State, m.StateSince = to, now
	f.MarkChanged(m)
	f.observer.MachineChanged(m, from, reason)
}

// MarkReleasing is called before the leader attempts to release a machine to the cloud.
func (f *Fleet) MarkReleasing(m *Machine, now time.Time, reason string) {
	f.setMachineState(m, Releasing, now, reason)
}

// MarkGone must only be called when the cloud has answered the release of a machine with status 200:
// that answer proves that the attempts on the machine are off.
func (f *Fleet) MarkGone(m *Machine, now time.Time, reason string) {
	f.setMachineState(m, Gone, now, reason)
	for _, a := range m.attempts {
		f.setAttemptState(a, Off, now, "the cloud confirmed the release of the machine")
	}
}

// MarkSuspected marks every machine whose last heartbeat is older than a worker lease as Suspected. A
// machine that is Booting is only suspected if it has live attempts: a new leader has read these from
// the records, so the machine had booted and its heartbeats were answered before this term began.
func (f *Fleet) MarkSuspected(now time.Time) {
	for _, m := range f.machines {
		heartbeatExpected := m.State == Ready || m.State == Confirming || m.State == Booting && m.liveAttempts > 0
		if heartbeatExpected && now.Sub(m.LastHeartbeat) > f.lease {
			f.setMachineState(m, Suspected, now, "no heartbeat for longer than a worker lease")
		}
	}
}
