// Package fleet holds one leader's view, for one term, of the machines and of the task attempts on
// them. Only this package decides that an attempt is off its machine, which means that the attempt is
// proven not to be there, now or later. docs/safety.md, "No task runs twice", gives the argument. The
// package does no I/O, and the caller passes the time in. A Fleet is not safe for concurrent use.
package fleet

import "time"

// Observer is notified of every change of state, after the change. For a machine or an attempt that
// was just added, from is its initial state. The reason is a text for log lines. The methods are called
// while a method of the Fleet is still running: they may change attempts, but must not add or forget
// machines.
type Observer interface {
	MachineChanged(m *Machine, from MachineState, reason string)
	AttemptChanged(a *Attempt, from AttemptState, reason string)
}

// Fleet holds the machines and attempts that the leader of one term knows.
type Fleet struct {
	term       uint64        // the fencing token of this term
	lease      time.Duration // how long a worker runs its tasks without an answer to a heartbeat
	observer   Observer
	machines   map[string]*Machine
	changed    map[string]struct{} // IDs of the machines that may have changed since the last DrainChanged
	lastSerial int                 // Serial of the attempt that was added last
}

// New returns an empty fleet for a term. The lease is the workers' lease: a machine that sends no
// heartbeat for longer than this is suspected.
func New(term uint64, lease time.Duration, observer Observer) *Fleet {
	return &Fleet{
		term:     term,
		lease:    lease,
		observer: observer,
		machines: map[string]*Machine{},
		changed:  map[string]struct{}{},
	}
}

// MarkChanged records that a machine, or an attempt on it, may have changed.
func (f *Fleet) MarkChanged(m *Machine) { f.changed[m.ID] = struct{}{} }

// DrainChanged calls visit for every machine that may have changed since the last call of
// DrainChanged. For a machine that was forgotten, m is nil.
func (f *Fleet) DrainChanged(visit func(id string, m *Machine)) {
	for id := range f.changed {
		visit(id, f.machines[id])
	}
	clear(f.changed)
}

// Get returns the machine with an ID, or nil if there is none.
func (f *Fleet) Get(id string) *Machine { return f.machines[id] }

// GetOrAdd returns the machine with an ID. If there is none, it adds one as Booting, whose last
// heartbeat is set to now, so that its timeouts start now.
func (f *Fleet) GetOrAdd(id string, now time.Time) *Machine {
	if m := f.machines[id]; m != nil {
		return m
	}
	m := &Machine{
		ID:                id,
		State:             Booting,
		LastHeartbeat:     now,
		LastHeartbeatHere: now,
		StateSince:        now,
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

// Each calls visit for every machine, including those that are Gone.
func (f *Fleet) Each(visit func(*Machine)) {
	for _, m := range f.machines {
		visit(m)
	}
}

// Forget removes a machine that is Gone. It does nothing to a machine in another state.
func (f *Fleet) Forget(id string) {
	if m := f.machines[id]; m != nil && m.State == Gone {
		f.MarkChanged(m)
		delete(f.machines, id)
	}
}
