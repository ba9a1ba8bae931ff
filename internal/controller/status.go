package controller

import (
	"cmp"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// maxCountsPerReply is how many jobs' counts are told at once: the answer to a ping must not take
// longer the more jobs there are.
const maxCountsPerReply = 2000

// CountsSince tells which jobs' counts of tasks have changed since a revision, and
// the revision that they lead to: 0 until all is loaded. Of many, those that changed first are
// told, the revision leads to these, and there are more. Views with a final status are of jobs
// that are over by a committed record.
func (c *Controller) CountsSince(revision uint64) (views []wire.JobView, upTo uint64, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return nil, 0, false
	}
	var changed []*job
	for _, j := range c.jobs {
		if j.countsRevision > revision {
			changed = append(changed, j)
		}
	}
	upTo = c.countsRevision
	if more = len(changed) > maxCountsPerReply; more {
		slices.SortFunc(changed, func(a, b *job) int { return cmp.Compare(a.countsRevision, b.countsRevision) })
		changed = changed[:maxCountsPerReply]
		upTo = changed[maxCountsPerReply-1].countsRevision
	}
	views = make([]wire.JobView, 0, len(changed))
	for _, j := range changed {
		views = append(views, wire.JobView{UID: j.uid, Done: j.done, Running: j.runningCount()})
	}
	views = append(views, c.finalStatusesBetween(revision, upTo)...)
	return views, upTo, more
}

// markCountsChanged notes that a job's counts of tasks may have changed.
func (c *Controller) markCountsChanged(j *job) {
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
	return j.done, j.runningCount(), true
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
	st := wire.LeadStatus{Term: c.term, Loaded: c.loaded, Window: c.window, Round: c.lastRound, Machines: map[string]int{}, Classes: map[string]wire.ClassStatus{}}
	if !c.lastRoundAt.IsZero() {
		st.Round.AgoS = c.now().Sub(c.lastRoundAt).Seconds()
	}
	now := c.now()
	c.fleet.Each(func(m *fleet.Machine) {
		st.Machines[m.State.String()]++
		if m.Quarantined && now.Before(m.AvoidUntil) {
			st.QuarantinedMachines++
		}
	})
	for _, j := range c.jobs {
		if j.suspect {
			st.SuspectJobs++
		}
		cl := st.Classes[j.record.Spec.JobClass]
		cl.Jobs++
		cl.Waiting += j.waitingCount()
		cl.Placed += j.live
		st.Classes[j.record.Spec.JobClass] = cl
	}
	return st
}
