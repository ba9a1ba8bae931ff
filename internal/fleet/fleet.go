// Package fleet holds the leader's picture of the machines and of the attempts
// on them. It is the only place that says that a task is provably off a
// machine. It does no I/O; the clock is passed in.
package fleet

import (
	"slices"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// MachineState is where a machine stands.
type MachineState int

// The states of a machine.
const (
	Booting    MachineState = iota // rented or listed, never reported to this term
	Confirming                     // reports, but not yet with this term's token
	Ready                          // may take launches
	Suspected                      // no report for longer than a lease
	Returning                      // a return was attempted: never used again
	Gone                           // the cloud confirmed the return, or took it
)

var machineStateNames = [...]string{"booting", "confirming", "ready", "silent", "returning", "gone"}

func (s MachineState) String() string { return machineStateNames[s] }

// AttemptState is where an attempt stands.
type AttemptState int

// The states of an attempt.
const (
	Planned     AttemptState = iota // decided, its record not yet committed
	Committed                       // recorded; may be launched
	LaunchSent                      // an answer that carried its launch was given
	Fetching                        // reported fetching
	Running                         // reported running
	Saving                          // reported saving
	Ended                           // reported ended, not yet recorded so
	EndRecorded                     // ended and recorded: to be reaped
	Off                             // provably off its machine
)

var attemptStateNames = [...]string{"planned", "committed", "sent", "fetching", "running", "saving", "ended", "recorded", "off"}

func (s AttemptState) String() string { return attemptStateNames[s] }

// Res is an amount of a machine's resources.
type Resources struct{ Cores, Gpus, RAM float64 }

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.Gpus + o.Gpus, r.RAM + o.RAM}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.Gpus - o.Gpus, r.RAM - o.RAM}
}

const slack = 1e-6

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.Cores <= r.Cores+slack && o.Gpus <= r.Gpus+slack && o.RAM <= r.RAM+slack
}

// FitsRequested reports whether Count is at least one: unlike for Holds, what o needs none of may be
// overbooked.
func (r Resources) FitsRequested(o Resources) bool {
	return (o.Cores <= 0 || o.Cores <= r.Cores+slack) && (o.Gpus <= 0 || o.Gpus <= r.Gpus+slack) && (o.RAM <= 0 || o.RAM <= r.RAM+slack)
}

// CountFitting is how many times o fits into r, at most limit.
func (r Resources) CountFitting(o Resources, limit int) int {
	n := limit
	for _, p := range [...][2]float64{{r.Cores, o.Cores}, {r.Gpus, o.Gpus}, {r.RAM, o.RAM}} {
		if p[1] > 0 {
			n = min(n, int((p[0]+slack)/p[1]))
		}
	}
	return max(n, 0)
}

// TaskResources is what a task of a job takes.
func TaskResources(w *wire.JobSpec) Resources { return Resources{w.Cores, w.Gpus, w.RAMGb} }

type attemptKey struct {
	task    string
	attempt uint64
}

// Attempt is one try of one task on one machine.
type Attempt struct {
	JobUID       string
	TaskIndex    int
	Number       uint64
	Serial       int    // tells the attempts of a term apart; set when it is placed
	Incarnation  uint64 // session of the machine that it was decided for
	Resources    Resources
	Image        string
	Machine      *Machine
	State        AttemptState
	SentSequence uint64 // newest report whose answer carried the launch
	Inherited    bool   // decided in an earlier term
	Stopping     bool   // is to be stopped
	GracePeriodS float64
	Cause        wire.Cause
	Checkpointed bool
	Since        time.Time // of the last change of state
	RunningSince time.Time // when first seen running
}

// TaskName is the task's name.
func (a *Attempt) TaskName() string { return wire.TaskName(a.JobUID, a.TaskIndex) }

// Live reports whether the attempt may be on its machine, now or later.
func (a *Attempt) Live() bool { return a.State < Ended }

// unknownTask is a task that a machine reports and no record knows.
type unknownTask struct {
	task    string
	attempt uint64
	ended   bool
}

// Machine is one machine.
type Machine struct {
	ID                   string
	Address              string
	Type                 string
	Zone                 string
	Spot                 bool
	State                MachineState
	Capacity             Resources
	Incarnation          uint64
	Sequence             uint64
	IncarnationHint      uint64    // session that an earlier leader knew: only for whom to announce to
	LastHeartbeat        time.Time // last report, here or at another node
	LastHeartbeatHere    time.Time // last report here
	LastRelayedHeartbeat time.Time // last report that another node relayed here
	RelayedBy            string    // follower that keeps it and relays its reports; "": none
	Since                time.Time // of the last change of state
	FirstSeen            time.Time // when it was first known
	Listed               bool
	Failed               bool // the cloud lists it as failed
	SpotNotice           bool // spot notice
	IdleSince            time.Time
	AvoidUntil           time.Time            // takes no launches until then
	MissedLaunches       int                  // launches in a row that it did not take
	Quarantined          bool                 // it is passed over for tasks that failed on it
	Images               map[string]time.Time // images seen on it, by last use

	lastAnswered time.Time // last report here, whatever time was given again since
	attempts     map[attemptKey]*Attempt
	unknownTasks []unknownTask
	used         Resources
	live         int
}

// Free is what is left for new attempts.
func (m *Machine) Free() Resources { return m.Capacity.Sub(m.used) }

// LiveCount is how many attempts may be on it.
func (m *Machine) LiveCount() int { return m.live }

// AttemptCount is how many attempts its reports list: those that may be on it, and those that
// have ended and are not reaped yet.
func (m *Machine) AttemptCount() int { return len(m.attempts) }

// UnknownTasks is how many running tasks it reports that no record knows.
func (m *Machine) UnknownTasks() int {
	n := 0
	for _, s := range m.unknownTasks {
		if !s.ended {
			n++
		}
	}
	return n
}

// Has reports whether the machine has an image, or fetches it.
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

// FetchingImages is how many images it fetches now.
func (m *Machine) FetchingImages() int {
	var coming []string
	for _, a := range m.attempts {
		if _, seen := m.Images[a.Image]; !seen && a.Live() && !slices.Contains(coming, a.Image) {
			coming = append(coming, a.Image)
		}
	}
	return len(coming)
}

// Each calls f for every attempt that is not off.
func (m *Machine) Each(f func(*Attempt)) {
	for _, a := range m.attempts {
		f(a)
	}
}

// AcceptsAttempts reports whether new attempts may be placed on it.
func (m *Machine) AcceptsAttempts(now time.Time) bool {
	return m.State == Ready && !m.SpotNotice && !m.Failed && m.Capacity.Cores > 0 && !now.Before(m.AvoidUntil)
}

// Observer is told of every change of state.
type Observer interface {
	MachineChanged(m *Machine, from MachineState, why string)
	AttemptChanged(a *Attempt, from AttemptState, why string)
}

// Fleet is the picture of one term.
type Fleet struct {
	term     uint64
	lease    time.Duration
	observer Observer
	machines map[string]*Machine
	changed  map[string]struct{} // machines that may have changed since DrainChanged
	serial   int                 // of the attempt that was placed last
}

// missedLaunchLimit is how many launches in a row a machine may fail to take before it
// is passed over: its reports arrive, but answers do not reach it.
const missedLaunchLimit = 3

// New makes an empty picture for a term.
func New(term uint64, lease time.Duration, w Observer) *Fleet {
	return &Fleet{term: term, lease: lease, observer: w, machines: map[string]*Machine{}, changed: map[string]struct{}{}}
}

// MarkChanged notes that a machine, or an attempt on it, may have changed.
func (f *Fleet) MarkChanged(m *Machine) { f.changed[m.ID] = struct{}{} }

// DrainChanged calls fn for every machine that may have changed since it was last called, with
// nil for one that is no longer known.
func (f *Fleet) DrainChanged(fn func(id string, m *Machine)) {
	for id := range f.changed {
		fn(id, f.machines[id])
	}
	clear(f.changed)
}

// Get finds a machine.
func (f *Fleet) Get(id string) *Machine { return f.machines[id] }

// Len is the number of machines that are not gone.
func (f *Fleet) Len() int {
	n := 0
	for _, m := range f.machines {
		if m.State != Gone {
			n++
		}
	}
	return n
}

// Each calls fn for every machine, gone ones included.
func (f *Fleet) Each(fn func(*Machine)) {
	for _, m := range f.machines {
		fn(m)
	}
}

// GetOrAdd finds or makes a machine.
func (f *Fleet) GetOrAdd(id string, now time.Time) *Machine {
	m := f.machines[id]
	if m == nil {
		m = &Machine{ID: id, State: Booting, LastHeartbeat: now, LastHeartbeatHere: now, Since: now, FirstSeen: now, IdleSince: now,
			attempts: map[attemptKey]*Attempt{}, Images: map[string]time.Time{}}
		f.machines[id] = m
		f.MarkChanged(m)
		f.observer.MachineChanged(m, Booting, "known")
	}
	return m
}

// Forget drops a gone machine from the picture.
func (f *Fleet) Forget(id string) {
	if m := f.machines[id]; m != nil && m.State == Gone {
		f.MarkChanged(m)
		delete(f.machines, id)
	}
}

// setMachine is the one function that changes the state of a machine.
func (f *Fleet) setMachine(m *Machine, to MachineState, now time.Time, why string) {
	if m.State == to || m.State == Gone || (m.State == Returning && to != Gone) {
		return // a machine whose return was attempted is never used again
	}
	from := m.State
	m.State, m.Since = to, now
	f.MarkChanged(m)
	f.observer.MachineChanged(m, from, why)
}

// setAttempt is the one function that changes the state of an attempt.
func (f *Fleet) setAttempt(a *Attempt, to AttemptState, now time.Time, why string) {
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
			m.used = Resources{} // no rounding errors pile up
			m.IdleSince = now
		}
	}
	if to == Off {
		delete(m.attempts, attemptKey{a.TaskName(), a.Number})
	}
	f.observer.AttemptChanged(a, from, why)
}

// AddAttempt adds an attempt: Planned by this term, or inherited from a record.
func (f *Fleet) AddAttempt(m *Machine, a *Attempt, now time.Time) {
	f.serial++
	a.Machine, a.Since, a.Serial = m, now, f.serial
	f.MarkChanged(m)
	if a.Inherited {
		a.State = Committed
	} else {
		a.State = Planned
		a.Incarnation = m.Incarnation
	}
	m.attempts[attemptKey{a.TaskName(), a.Number}] = a
	m.used = m.used.Add(a.Resources)
	m.live++
	f.observer.AttemptChanged(a, a.State, "placed")
}

// MarkCommitted notes that the record of a planned attempt is committed.
func (f *Fleet) MarkCommitted(a *Attempt, now time.Time) {
	if a.State == Planned {
		f.setAttempt(a, Committed, now, "recorded")
	}
}

// MarkEndRecorded notes that the end of an attempt is recorded: it may be reaped.
func (f *Fleet) MarkEndRecorded(a *Attempt, now time.Time) {
	if a.State == Ended {
		f.setAttempt(a, EndRecorded, now, "end recorded")
	}
}

// StopAttempt asks for the end of an attempt. One that this term never
// launched, and no other term can have launched, is off at once.
func (f *Fleet) StopAttempt(a *Attempt, gracePeriodS float64, now time.Time, why string) {
	if !a.Live() {
		return
	}
	if !a.Inherited && (a.State == Planned || a.State == Committed) {
		f.setAttempt(a, Off, now, why)
		return
	}
	if !a.Stopping || gracePeriodS < a.GracePeriodS {
		f.MarkChanged(a.Machine)
		a.Stopping, a.GracePeriodS = true, gracePeriodS
	}
}

// MarkReturning notes that a return is about to be attempted.
func (f *Fleet) MarkReturning(m *Machine, now time.Time, why string) {
	f.setMachine(m, Returning, now, why)
}

// MarkGone notes that the cloud answered 200 to returning the machine: it and
// all on it are gone.
func (f *Fleet) MarkGone(m *Machine, now time.Time, why string) {
	f.setMachine(m, Gone, now, why)
	for _, a := range m.attempts {
		f.setAttempt(a, Off, now, "machine gone")
	}
}

// MarkSuspected marks machines that nobody has heard for longer than a lease: those that
// a new leader knows to have tasks by the records only had their last answer
// before it began.
func (f *Fleet) MarkSuspected(now time.Time) {
	for _, m := range f.machines {
		if (m.State == Ready || m.State == Confirming || m.State == Booting && m.live > 0) && now.Sub(m.LastHeartbeat) > f.lease {
			f.setMachine(m, Suspected, now, "not heard")
		}
	}
}

// ApplyHeartbeat takes a check-in into the picture. fresh is false for a copy that is no newer than what is known: it
// changes nothing and gets no orders.
func (f *Fleet) ApplyHeartbeat(r *wire.Heartbeat, now time.Time) (m *Machine, fresh bool) {
	m = f.GetOrAdd(r.Host, now)
	if m.State == Gone || r.Incarnation < m.Incarnation || (r.Incarnation == m.Incarnation && r.Sequence <= m.Sequence) {
		return m, false
	}
	f.MarkChanged(m)
	newIncarnation := f.applyMachineFields(m, r, now)
	reported := reportedAttempts(m, r)
	confirmed := r.FencingToken == f.term
	for k, a := range m.attempts {
		switch l := reported[k]; {
		case a.Incarnation < r.Incarnation:
			// The worker killed and forgot everything of earlier sessions, and
			// drops every answer to a report of an earlier session.
			f.setAttempt(a, Off, now, "machine has a new session")
		case l != nil:
			f.applyTaskReport(a, l, now)
		default:
			f.applyAbsence(a, r, now)
		}
	}
	if confirmed {
		f.setMachine(m, Ready, now, "reports with this term's token")
	} else if m.State != Ready || newIncarnation {
		f.setMachine(m, Confirming, now, "reports with an older token")
	}
	return m, true
}

// applyMachineFields takes what a fresh report says of its machine, and reports whether the machine
// has begun a new session.
func (f *Fleet) applyMachineFields(m *Machine, r *wire.Heartbeat, now time.Time) (newIncarnation bool) {
	newIncarnation, answeredAgo := r.Incarnation > m.Incarnation && m.Incarnation != 0, now.Sub(m.lastAnswered)
	m.Incarnation, m.Sequence, m.LastHeartbeat, m.LastHeartbeatHere, m.lastAnswered = r.Incarnation, r.Sequence, now, now, now
	m.Address, m.Type, m.Zone, m.Spot = r.Address, r.MachineType, r.Zone, r.Spot
	if r.SpotNoticeS != nil {
		m.SpotNotice = true
	}
	if newIncarnation && answeredAgo < f.lease && m.State == Ready {
		// It reported all the time and yet its lease ended: answers do not
		// reach it. Launches would be lost, so it gets none for a while. That it
		// reported is only known if it had this term's token: copies of reports of
		// an earlier session may meet a leader that has just begun. And what counts
		// is when a report was last taken here, not the time that machines were
		// given again after an outage: their leases ended for want of an answer.
		m.AvoidUntil = now.Add(2 * f.lease)
	}
	return newIncarnation
}

// reportedAttempts finds the attempts of a report, and notes those that no record knows as
// the machine's orphans.
func reportedAttempts(m *Machine, r *wire.Heartbeat) map[attemptKey]*wire.TaskReport {
	reported := make(map[attemptKey]*wire.TaskReport, len(r.Tasks))
	m.unknownTasks = m.unknownTasks[:0]
	for i := range r.Tasks {
		l := &r.Tasks[i]
		k := attemptKey{l.Task, l.Attempt}
		reported[k] = l
		if m.attempts[k] == nil {
			m.unknownTasks = append(m.unknownTasks, unknownTask{l.Task, l.Attempt, l.Status == wire.TaskEnded})
		}
	}
	return reported
}

// applyAbsence takes into account that a fresh report of an attempt's session lacks it.
func (f *Fleet) applyAbsence(a *Attempt, r *wire.Heartbeat, now time.Time) {
	confirmed := r.FencingToken == f.term
	switch a.State {
	case Committed:
		// An earlier term's launch can only have travelled in an answer
		// to a report that the worker sent before it saw this term's token.
		if a.Inherited && confirmed {
			f.setAttempt(a, Off, now, "not on its machine")
		}
	case LaunchSent:
		// The worker has one report in flight: since it sent this one, it
		// drops the answer that carried the launch.
		if r.Sequence > a.SentSequence {
			f.recordMissedLaunch(a, now)
		}
	case Fetching, Running, Saving, Ended:
		if confirmed {
			f.setAttempt(a, Off, now, "no longer reported")
		}
	case EndRecorded:
		f.setAttempt(a, Off, now, "reaped")
	}
}

// recordMissedLaunch notes that a launch was not taken: it is given again, unless it is not
// wanted any more or the machine has missed too many.
func (f *Fleet) recordMissedLaunch(a *Attempt, now time.Time) {
	m := a.Machine
	if m.MissedLaunches++; m.MissedLaunches >= missedLaunchLimit {
		m.AvoidUntil = now.Add(2 * f.lease)
	}
	if a.Stopping || m.MissedLaunches >= missedLaunchLimit {
		f.setAttempt(a, Off, now, "launch was not taken")
	} else {
		f.setAttempt(a, Committed, now, "launch was not taken")
	}
}

// applyTaskReport takes the reported state of an attempt.
func (f *Fleet) applyTaskReport(a *Attempt, l *wire.TaskReport, now time.Time) {
	if a.State == LaunchSent {
		a.Machine.MissedLaunches = 0
	}
	switch a.State {
	case Ended, EndRecorded, Off:
		return
	}
	switch l.Status {
	case wire.TaskFetching, wire.TaskWaiting:
		f.setAttempt(a, Fetching, now, "reported")
	case wire.TaskRunning:
		if a.RunningSince.IsZero() {
			a.RunningSince = now
		}
		if a.Image != "" {
			a.Machine.Images[a.Image] = now
		}
		f.setAttempt(a, Running, now, "reported")
	case wire.TaskSaving:
		f.setAttempt(a, Saving, now, "reported")
	case wire.TaskEnded:
		a.Cause, a.Checkpointed = l.Cause, l.Checkpointed
		f.setAttempt(a, Ended, now, string(l.Cause))
	}
}

// Commands makes the answer to a fresh report. Launches go only to a machine
// that is ready, and only for attempts that are committed.
func (f *Fleet) Commands(m *Machine, now time.Time, launches bool) []wire.Command {
	orders := []wire.Command{}
	for _, s := range m.unknownTasks {
		if s.ended {
			orders = append(orders, wire.Command{Verb: wire.Acknowledge, Task: s.task, Attempt: s.attempt})
		} else {
			orders = append(orders, wire.Command{Verb: wire.Stop, Task: s.task, Attempt: s.attempt})
		}
	}
	for _, a := range m.attempts {
		switch a.State {
		case EndRecorded:
			orders = append(orders, wire.Command{Verb: wire.Acknowledge, Task: a.TaskName(), Attempt: a.Number})
		case LaunchSent, Fetching, Running:
			if a.Stopping {
				orders = append(orders, wire.Command{Verb: wire.Stop, Task: a.TaskName(), Attempt: a.Number, GracePeriodS: a.GracePeriodS})
			}
		case Saving:
			if a.Stopping && a.GracePeriodS == 0 {
				orders = append(orders, wire.Command{Verb: wire.Stop, Task: a.TaskName(), Attempt: a.Number})
			}
		}
	}
	if !launches || m.State != Ready {
		return orders
	}
	for _, a := range m.attempts {
		if a.State == Committed && !a.Inherited && !a.Stopping && a.Incarnation == m.Incarnation {
			a.SentSequence = m.Sequence
			f.setAttempt(a, LaunchSent, now, "launch given")
			orders = append(orders, wire.Command{Verb: wire.Launch, Task: a.TaskName(), Attempt: a.Number})
		}
	}
	return orders
}
