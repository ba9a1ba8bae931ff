package controller

import (
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// CountsSince returns the task counts that have changed and the final statuses that were added after a
// revision, and the revision to ask from next, which is 0 until the state is loaded. If there are more
// changes than one reply carries, it returns the oldest, and more is true. Every final status that it
// returns is committed.
func (c *Controller) CountsSince(revision uint64) (views []wire.JobView, upTo uint64, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return nil, 0, false
	}
	return c.jobs.changesSince(revision)
}

// Counts returns how many tasks of a job are done and how many are running. ok is false if the job is
// unknown or the state is not loaded yet.
func (c *Controller) Counts(uid string) (done, running int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs.get(uid)
	if j == nil || !c.loaded {
		return 0, 0, false
	}
	return j.doneTasks, j.runningCount(), true
}

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
	if !c.lastCycleAt.IsZero() {
		status.LastCycle.AgoS = now.Sub(c.lastCycleAt).Seconds()
	}
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
