package autoscaler

import "time"

// Refusal is the backoff of a machine group that the cloud had no capacity for.
type Refusal struct {
	Until   time.Time     // the group is not requested before this time
	Backoff time.Duration // length of the backoff
}

// Refusals holds the machine groups that the cloud had no capacity for. The backoff of a group
// begins at half a worker lease and doubles with each consecutive refusal, up to three worker leases.
type Refusals struct {
	workerLease time.Duration
	groups      map[MachineGroup]Refusal
}

// NewRefusals returns a Refusals without any group.
func NewRefusals(workerLease time.Duration) *Refusals {
	return &Refusals{workerLease: workerLease, groups: map[MachineGroup]Refusal{}}
}

// Add records that the cloud refused a group at now, and starts the next backoff of the group.
func (r *Refusals) Add(group MachineGroup, now time.Time) {
	backoff := min(max(r.groups[group].Backoff*2, r.workerLease/2), 3*r.workerLease)
	r.groups[group] = Refusal{Until: now.Add(backoff), Backoff: backoff}
}

// Clear ends the backoff of a group and resets its length. The caller calls it when the cloud has
// provisioned machines of the group.
func (r *Refusals) Clear(group MachineGroup) { delete(r.groups, group) }

// InBackoff reports whether a group is in backoff and must not be requested now.
func (r *Refusals) InBackoff(group MachineGroup, now time.Time) bool {
	return now.Before(r.groups[group].Until)
}

// Each calls fn for every group that was refused and has not been cleared since.
func (r *Refusals) Each(fn func(MachineGroup, Refusal)) {
	for group, refusal := range r.groups {
		fn(group, refusal)
	}
}

// Restore adds a refusal that an earlier leader recorded.
func (r *Refusals) Restore(group MachineGroup, refusal Refusal) { r.groups[group] = refusal }
