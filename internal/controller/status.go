package controller

import (
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// CountsSince tells which jobs' counts of tasks have changed since a revision, and
// the revision that they lead to: 0 until all is loaded.
func (c *Controller) CountsSince(revision uint64) ([]wire.JobView, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return nil, 0
	}
	var views []wire.JobView
	for _, j := range c.jobs {
		if j.countsRevision > revision {
			views = append(views, wire.JobView{UID: j.uid, Done: j.done, Running: j.running()})
		}
	}
	return views, c.countsRevision
}

// countsChanged notes that a job's counts of tasks may have changed.
func (c *Controller) countsChanged(j *job) {
	c.countsRevision++
	j.countsRevision = c.countsRevision
}

// Counts tells how many tasks of a job are done and running.
func (c *Controller) Counts(uid string) (done, running int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[uid]
	if j == nil || !c.loaded {
		return 0, 0, false
	}
	return j.done, j.running(), true
}

// Machines is the number of machines that are not gone; known is false until all is
// loaded.
func (c *Controller) Machines() (n int, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet.Len(), c.loaded
}

// HasMachine reports whether a machine is known that is not gone.
func (c *Controller) HasMachine(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.fleet.Get(host)
	return m != nil && m.State != fleet.Gone
}

// Status tells how the leader's work stands.
func (c *Controller) Status() wire.LeadStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := wire.LeadStatus{Term: c.term, Loaded: c.loaded, Window: c.window, Round: c.last, Machines: map[string]int{}, Classes: map[string]wire.ClassStatus{}}
	if !c.lastAt.IsZero() {
		st.Round.AgoS = c.now().Sub(c.lastAt).Seconds()
	}
	c.fleet.Each(func(m *fleet.Machine) { st.Machines[m.State.String()]++ })
	for _, j := range c.jobs {
		cl := st.Classes[j.rec.Spec.Berth]
		cl.Jobs++
		cl.Waiting += j.waiting()
		cl.Placed += j.live
		st.Classes[j.rec.Spec.Berth] = cl
	}
	return st
}
