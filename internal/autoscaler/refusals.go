package autoscaler

import "time"

// Refusal is the pause of a machine group after the cloud had no capacity for it: until when it is
// not asked for, and the length of the pause.
type Refusal struct {
	Until time.Time
	Pause time.Duration
}

// Refusals are the machine groups that the cloud had no capacity for. Each refusal in a row
// doubles the pause, from half a worker lease up to three.
type Refusals struct {
	workerLease time.Duration
	groups      map[MachineGroup]Refusal
}

// NewRefusals returns an empty set.
func NewRefusals(workerLease time.Duration) *Refusals {
	return &Refusals{workerLease: workerLease, groups: map[MachineGroup]Refusal{}}
}

// Add pauses requests for a group that was refused at now, for longer each time in a row.
func (r *Refusals) Add(group MachineGroup, now time.Time) {
	pause := min(max(r.groups[group].Pause*2, r.workerLease/2), 3*r.workerLease)
	r.groups[group] = Refusal{Until: now.Add(pause), Pause: pause}
}

// Clear ends the pause of a group: the cloud has provisioned machines of it.
func (r *Refusals) Clear(group MachineGroup) { delete(r.groups, group) }

// IsPaused reports whether a group is not to be asked for now.
func (r *Refusals) IsPaused(group MachineGroup, now time.Time) bool {
	return now.Before(r.groups[group].Until)
}

// Each calls fn for every group that was refused and has not been provisioned since.
func (r *Refusals) Each(fn func(MachineGroup, Refusal)) {
	for group, refusal := range r.groups {
		fn(group, refusal)
	}
}

// Restore adds a refusal that an earlier leader has received.
func (r *Refusals) Restore(group MachineGroup, refusal Refusal) { r.groups[group] = refusal }
