// Package fleet holds the leader's view of the machines and of the task attempts on them, for
// one term. It is the only place that concludes that an attempt is provably off its machine; the
// argument is in docs/safety.md, "No task runs twice". It does no I/O, and the caller passes the
// time in. A Fleet is not safe for concurrent use.
package fleet

import "time"

// Observer is called with every change of state, after it was made. For a machine or an attempt
// that was just added, from is the state that it was added in. The reason is a text for log lines.
// The methods are called in the middle of a change of the fleet: they may change attempts, but must
// not add or forget machines.
type Observer interface {
	MachineChanged(m *Machine, from MachineState, reason string)
	AttemptChanged(a *Attempt, from AttemptState, reason string)
}

// Fleet is all that one term's leader knows of machines and attempts.
type Fleet struct {
	term       uint64        // the fencing token of this term
	lease      time.Duration // the workers' lease
	observer   Observer
	machines   map[string]*Machine
	changed    map[string]struct{} // machines that may have changed since DrainChanged
	lastSerial int                 // Serial of the attempt that was added last
}

// New returns an empty fleet for a term. The lease is the workers' lease: a machine without a
// heartbeat for longer is suspected.
func New(term uint64, lease time.Duration, observer Observer) *Fleet {
	return &Fleet{
		term:     term,
		lease:    lease,
		observer: observer,
		machines: map[string]*Machine{},
		changed:  map[string]struct{}{},
	}
}

// MarkChanged marks a machine as one that may have changed, or on which an attempt may have.
func (f *Fleet) MarkChanged(m *Machine) { f.changed[m.ID] = struct{}{} }

// DrainChanged calls visit for every machine that may have changed since the last call of
// DrainChanged, with nil for one that was forgotten.
func (f *Fleet) DrainChanged(visit func(id string, m *Machine)) {
	for id := range f.changed {
		visit(id, f.machines[id])
	}
	clear(f.changed)
}

// Get returns a machine, or nil if it is unknown.
func (f *Fleet) Get(id string) *Machine { return f.machines[id] }

// GetOrAdd returns a machine. An unknown one is added as Booting, and gets the time to send a
// heartbeat from now on: its last heartbeat is set to now.
func (f *Fleet) GetOrAdd(id string, now time.Time) *Machine {
	if m := f.machines[id]; m != nil {
		return m
	}
	m := &Machine{
		ID:                id,
		State:             Booting,
		LastHeartbeat:     now,
		LastHeartbeatHere: now,
		Since:             now,
		FirstSeen:         now,
		IdleSince:         now,
		attempts:          map[attemptKey]*Attempt{},
		Images:            map[string]time.Time{},
	}
	f.machines[id] = m
	f.MarkChanged(m)
	f.observer.MachineChanged(m, Booting, "first seen")
	return m
}

// Len returns the number of machines that are not Gone.
func (f *Fleet) Len() int {
	count := 0
	for _, m := range f.machines {
		if m.State != Gone {
			count++
		}
	}
	return count
}

// Each calls visit for every machine, those that are Gone included.
func (f *Fleet) Each(visit func(*Machine)) {
	for _, m := range f.machines {
		visit(m)
	}
}

// Forget removes a machine that is Gone. It does nothing to others.
func (f *Fleet) Forget(id string) {
	if m := f.machines[id]; m != nil && m.State == Gone {
		f.MarkChanged(m)
		delete(f.machines, id)
	}
}
