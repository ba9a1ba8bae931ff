package fleet

import (
	"slices"
	"time"
)

// MachineState is a stage in the life of a machine.
type MachineState int

// The states of a machine. Their strings are part of the administration API.
const (
	Booting    MachineState = iota // provisioned or listed, no heartbeat in this term yet
	Confirming                     // sends heartbeats, but not yet with this term's fencing token
	Ready                          // may be given launches
	Suspected                      // no heartbeat for longer than a worker lease
	Returning                      // its release to the cloud was attempted: never used again
	Gone                           // the cloud confirmed the release
)

var machineStateNames = [...]string{"booting", "confirming", "ready", "silent", "returning", "gone"}

// String returns the name of the state in the administration API.
func (s MachineState) String() string { return machineStateNames[s] }

// Machine is one machine of the fleet.
type Machine struct {
	ID      string
	Address string
	Type    string
	Zone    string
	Spot    bool
	State   MachineState
	// Capacity is what the machine type offers; zero while the type is unknown.
	Capacity             Resources
	Incarnation          uint64               // of its worker, by the newest heartbeat
	Sequence             uint64               // of the newest heartbeat
	IncarnationHint      uint64               // that an earlier leader knew; only selects whom to announce the term to
	LastHeartbeat        time.Time            // newest heartbeat that any node answered
	LastHeartbeatHere    time.Time            // newest heartbeat that this leader answered, directly or through a relay
	LastRelayedHeartbeat time.Time            // newest heartbeat that a follower relayed here
	RelayedBy            string               // label of the follower that relays its heartbeats; "": none
	Since                time.Time            // when State last changed
	FirstSeen            time.Time            // when it was first known, in this term or an earlier one
	Listed               bool                 // it was in the cloud's machine list
	Failed               bool                 // the cloud lists it as failed
	SpotNotice           bool                 // it has announced that it will be reclaimed
	IdleSince            time.Time            // when the last live attempt left it
	AvoidUntil           time.Time            // gets no new attempts until then
	MissedLaunches       int                  // launches in a row that its worker did not act on
	Quarantined          bool                 // it is avoided because tasks failed on it
	Images               map[string]time.Time // images seen on it, by last use

	// lastAnswered is when a heartbeat was last applied here. Failure detection sets LastHeartbeat
	// and LastHeartbeatHere of all machines to now after an outage or a process pause, to restart
	// their timeouts (failuredetector.Detector.Reset); it does not change lastAnswered.
	lastAnswered time.Time
	attempts     map[attemptKey]*Attempt
	unknownTasks []unknownTask
	used         Resources // by live attempts
	live         int       // number of live attempts
}

// Free returns the resources that are left for new attempts.
func (m *Machine) Free() Resources { return m.Capacity.Sub(m.used) }

// LiveCount returns the number of attempts that may be on the machine, now or later.
func (m *Machine) LiveCount() int { return m.live }

// AttemptCount returns the number of attempts that its heartbeats list: the live ones, and those that
// have ended and are not acknowledged yet.
func (m *Machine) AttemptCount() int { return len(m.attempts) }

// UnknownTasks returns the number of tasks that it reports, that have not ended and that no record
// lists. It gets no new attempts until they have ended, since they take room.
func (m *Machine) UnknownTasks() int {
	count := 0
	for _, task := range m.unknownTasks {
		if !task.ended {
			count++
		}
	}
	return count
}

// HasImage reports whether the machine has an image or is fetching it.
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

// FetchingImages returns the number of images that the machine is fetching.
func (m *Machine) FetchingImages() int {
	var fetching []string
	for _, a := range m.attempts {
		if _, seen := m.Images[a.Image]; !seen && a.Live() && !slices.Contains(fetching, a.Image) {
			fetching = append(fetching, a.Image)
		}
	}
	return len(fetching)
}

// Each calls visit for every attempt that is not Off.
func (m *Machine) Each(visit func(*Attempt)) {
	for _, a := range m.attempts {
		visit(a)
	}
}

// AcceptsAttempts reports whether new attempts may be placed on the machine by its own state; the
// caller checks UnknownTasks and Free.
func (m *Machine) AcceptsAttempts(now time.Time) bool {
	return m.State == Ready && !m.SpotNotice && !m.Failed && m.Capacity.Cores > 0 && !now.Before(m.AvoidUntil)
}

// setMachineState is the one function that changes the state of a machine. A machine whose release was
// attempted is never used again: Returning only leads to Gone, and Gone to nothing.
func (f *Fleet) setMachineState(m *Machine, to MachineState, now time.Time, reason string) {
	if m.State == to || m.State == Gone || (m.State == Returning && to != Gone) {
		return
	}
	from := m.State
	m.State, m.Since = to, now
	f.MarkChanged(m)
	f.observer.MachineChanged(m, from, reason)
}

// MarkReturning is called before the release of a machine to the cloud is attempted.
func (f *Fleet) MarkReturning(m *Machine, now time.Time, reason string) {
	f.setMachineState(m, Returning, now, reason)
}

// MarkGone is called when the cloud has answered 200 to the release of a machine, and in no other
// case: that answer is the proof that the attempts on it are off.
func (f *Fleet) MarkGone(m *Machine, now time.Time, reason string) {
	f.setMachineState(m, Gone, now, reason)
	for _, a := range m.attempts {
		f.setAttemptState(a, Off, now, "its machine is gone")
	}
}

// MarkSuspected suspects every machine whose last heartbeat is older than a worker lease. A machine
// that is Booting is only suspected if it has live attempts: a new leader knows of these by the
// records, and the machine's last heartbeat was answered before this term began.
func (f *Fleet) MarkSuspected(now time.Time) {
	for _, m := range f.machines {
		expected := m.State == Ready || m.State == Confirming || m.State == Booting && m.live > 0
		if expected && now.Sub(m.LastHeartbeat) > f.lease {
			f.setMachineState(m, Suspected, now, "no heartbeat for longer than a worker lease")
		}
	}
}
