package controller

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// nodeCache is the machines as rounds see them, kept from round to round. A machine is made
// anew when the fleet says that it may have changed, when time alone changes it, and all of
// them now and then, so that a change that nobody told of is found.
type nodeCache struct {
	view       *sched.View
	changesAt  map[string]time.Time // machines that time alone changes, and when
	verifiedAt time.Time            // when all machines were last made anew
	staleNodes uint64               // machines that had changed and nobody had told
}

func newNodeCache() nodeCache {
	return nodeCache{view: sched.NewView(), changesAt: map[string]time.Time{}}
}

// StaleNodes counts the machines that had changed without the rounds' view of them being told.
func (c *Controller) StaleNodes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes.staleNodes
}

// refreshNodes brings the rounds' view of the machines up to date. c.mu is held.
func (c *Controller) refreshNodes(now time.Time) {
	c.fleet.DrainChanged(func(id string, m *fleet.Machine) { c.rebuildNode(id, m, now) })
	for id, at := range c.nodes.changesAt {
		if !now.Before(at) {
			c.rebuildNode(id, c.fleet.Get(id), now)
		}
	}
	if now.Sub(c.nodes.verifiedAt) > c.Config.WorkerLease() {
		c.verifyNodes(now)
	}
}

// verifyNodes makes all machines anew. None should have changed since it was last told.
func (c *Controller) verifyNodes(now time.Time) {
	first := c.nodes.verifiedAt.IsZero()
	c.nodes.verifiedAt = now
	c.fleet.Each(func(m *fleet.Machine) {
		if c.rebuildNode(m.ID, m, now) && !first {
			c.nodes.staleNodes++
			slog.Error("a machine has changed and its node has not", "host", m.ID, "state", m.State.String())
		}
	})
}

// rebuildNode makes a machine's node anew, and reports whether it has changed. m is nil for a
// machine that is no longer known.
func (c *Controller) rebuildNode(id string, m *fleet.Machine, now time.Time) (changed bool) {
	delete(c.nodes.changesAt, id)
	if m == nil {
		c.nodes.view.Remove(id)
		return false
	}
	if until := c.nextTimedChange(m, now); !until.IsZero() {
		c.nodes.changesAt[id] = until
	}
	node, ok := c.schedulerNode(m, now)
	if !ok {
		return c.nodes.view.Remove(id)
	}
	return c.nodes.view.Upsert(&node)
}

// nextTimedChange is when time alone will change a machine's node next; zero if it will not.
func (c *Controller) nextTimedChange(m *fleet.Machine, now time.Time) time.Time {
	var next time.Time
	for _, at := range [...]time.Time{m.AvoidUntil, c.expectedUntil(m)} {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// schedulerNode is a machine as a round sees it; ok is false if it takes no launches now or soon.
func (c *Controller) schedulerNode(m *fleet.Machine, now time.Time) (n sched.Node, ok bool) {
	n = sched.Node{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Capacity: m.Capacity, HourlyPrice: c.hourlyPrice(m.Type, m.Spot)}
	switch {
	case m.AcceptsAttempts(now) && m.UnknownTasks() == 0:
		c.fillPresent(&n, m)
		return n, true
	case c.isExpectedSoon(m, now):
		n.FreeAfterBoot = m.Free()
		return n, true
	}
	return n, false
}

// fillPresent fills in what a machine has and runs that takes launches.
func (c *Controller) fillPresent(n *sched.Node, m *fleet.Machine) {
	n.Free, n.FreeAfterStops, n.Registered, n.ActiveFetches = m.Free(), m.Free(), true, m.FetchingImages()
	n.Images = slices.AppendSeq(make([]string, 0, len(m.Images)), maps.Keys(m.Images))
	n.ScaleInCandidate = !m.Spot && !c.headroomMachines[m.ID]
	m.Each(func(a *fleet.Attempt) {
		if !a.Live() {
			return
		}
		if _, seen := m.Images[a.Image]; !seen && !slices.Contains(n.Images, a.Image) {
			n.Images = append(n.Images, a.Image)
		}
		j := c.jobs.get(a.JobUID)
		if j != nil && !j.record.Spec.AllowSpot {
			n.ScaleInCandidate, n.RunsOnDemandWork = false, true
		}
		switch {
		case a.Stopping || a.State == fleet.Saving:
			n.FreeAfterStops = n.FreeAfterStops.Add(a.Resources)
		case j != nil && (a.State == fleet.Running || a.State == fleet.Fetching):
			n.Victims = append(n.Victims, victim(j, a))
		}
	})
	n.FreeAfterBoot = n.FreeAfterStops
}

// victim is an attempt as one that work of a higher level may displace. A
// replica that has not run yet serves nobody: it can be displaced like batch,
// and loses what it has fetched.
func victim(j *job, a *fleet.Attempt) sched.Victim {
	v := sched.Victim{Serial: a.Serial, JobUID: j.uid, Team: j.record.Spec.Team, Level: j.level, Need: a.Resources}
	switch serves := j.record.Spec.Kind == wire.Service; {
	case !a.RunningSince.IsZero():
		v.IsReplica, v.LossGrowsFrom, v.MaxLossS = serves, a.RunningSince, math.Inf(1)
		if j.record.Spec.CheckpointIntervalS > 0 {
			v.MaxLossS = j.record.Spec.CheckpointOnStopS
		}
	case serves:
		v.LossGrowsFrom, v.MaxLossS = a.Since, math.Inf(1)
	}
	return v
}

// markMachinesChanged notes that the nodes of a job's machines may have changed.
func (c *Controller) markMachinesChanged(j *job) {
	j.eachAttempt(func(a *fleet.Attempt) { c.fleet.MarkChanged(a.Machine) })
}

// setHeadroomMachines takes which machines are kept as spare room.
func (c *Controller) setHeadroomMachines(retained map[string]bool) {
	for _, lists := range [...][2]map[string]bool{{retained, c.headroomMachines}, {c.headroomMachines, retained}} {
		for id := range lists[0] {
			if m := c.fleet.Get(id); m != nil && !lists[1][id] {
				c.fleet.MarkChanged(m)
			}
		}
	}
	c.headroomMachines = retained
}

// isExpectedSoon reports whether a machine is expected to take launches soon. One that
// boots for much longer than usual is no longer counted on.
func (c *Controller) isExpectedSoon(m *fleet.Machine, now time.Time) bool {
	if m.SpotNotice || m.Failed || m.Capacity.Cores == 0 {
		return false
	}
	switch m.State {
	case fleet.Confirming:
		return !now.Before(m.AvoidUntil)
	case fleet.Booting:
		return now.Before(c.expectedUntil(m))
	}
	return false
}

// expectedUntil is until when a machine that boots is expected to come up.
func (c *Controller) expectedUntil(m *fleet.Machine) time.Time {
	r := c.machineType(m.Type)
	if m.State != fleet.Booting || r == nil {
		return time.Time{}
	}
	const usualBoots, reports = 1.7, 2
	return m.FirstSeen.Add(time.Duration((usualBoots*r.BootS + reports*c.Config.Cluster.Workers.ReportS) * float64(time.Second)))
}
