package controller

import (
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// Machines returns the number of machines that are not gone. known is false until the state is loaded.
func (c *Controller) Machines() (n int, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet.Len(), c.loaded
}

// HasMachine reports whether the fleet has a machine of this name that is not gone.
func (c *Controller) HasMachine(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.fleet.Get(host)
	return m != nil && m.State != fleet.Gone
}

// Status returns the part of a node's status that only the leader knows.
func (c *Controller) Status() wire.LeadStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	status := wire.LeadStatus{
		Term:      c.term,
		Loaded:    c.loaded,
		Window:    c.window,
		LastCycle: c.lastCycle,
		Machines:  map[string]int{},
		Classes:   map[string]wire.ClassStatus{},
	}
	lastCycleAt := c.lastCycleAt
	if lastCycleAt.IsZero() {
		lastCycleAt = c.startedAt // no cycle yet: 0 would look like one that has just begun
	}
	status.LastCycle.AgoS = now.Sub(lastCycleAt).Seconds()
	c.fleet.Each(func(m *fleet.Machine) {
		status.Machines[m.State.String()]++
		if m.Quarantined && now.Before(m.AvoidUntil) {
			status.QuarantinedMachines++
		}
	})
	for _, j := range c.jobs.byUID {
		if j.suspect {
			status.SuspectJobs++
		}
		class := status.Classes[j.record.Spec.JobClass]
		class.Jobs++
		class.Waiting += j.waitingCount()
		class.Placed += j.liveAttempts
		status.Classes[j.record.Spec.JobClass] = class
	}
	return status
}
