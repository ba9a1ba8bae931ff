package controller

import (
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
)

// nodeCache keeps the scheduler's nodes of the machines from one scheduling cycle to the next. A machine's node is
// rebuilt when the fleet marks the machine as changed and when the node changes by the passing of time. Periodically,
// all nodes are rebuilt to detect changes that were not marked.
type nodeCache struct {
	builder      nodeBuilder
	view         *sched.View
	timedChanges map[string]time.Time // when nodes next change by the passing of time, by machine
	verifiedAt   time.Time            // when all nodes were last rebuilt
	staleNodes   uint64               // counts nodes that were out of date without a mark on their machine
}

func newNodeCache(jobs *jobTable) nodeCache {
	return nodeCache{builder: nodeBuilder{jobs: jobs}, view: sched.NewView(), timedChanges: map[string]time.Time{}}
}

// refresh brings the nodes up to date. It rebuilds all nodes if the last time was longer than verifyInterval ago.
func (n *nodeCache) refresh(machines *fleet.Fleet, verifyInterval time.Duration, now time.Time) {
	machines.DrainChanged(func(id string, m *fleet.Machine) { n.rebuild(id, m, now) })
	for id, at := range n.timedChanges {
		if !now.Before(at) {
			n.rebuild(id, machines.Get(id), now)
		}
	}
	if now.Sub(n.verifiedAt) > verifyInterval {
		n.verify(machines, now)
	}
}

// verify rebuilds all nodes. If a node changes, a change of its machine was not marked, which is a bug.
func (n *nodeCache) verify(machines *fleet.Fleet, now time.Time) {
	first := n.verifiedAt.IsZero()
	n.verifiedAt = now
	machines.Each(func(m *fleet.Machine) {
		if n.rebuild(m.ID, m, now) && !first {
			n.staleNodes++
			slog.Error("node is out of date: a change of its machine was not marked", "host", m.ID, "state", m.State.String())
		}
	})
}

// rebuild rebuilds a machine's node, and reports whether the node has changed. m is nil for a machine that is no longer
// known.
func (n *nodeCache) rebuild(id string, m *fleet.Machine, now time.Time) (changed bool) {
	delete(n.timedChanges, id)
	if m == nil {
		n.view.Remove(id)
		return false
	}
	if at := n.builder.nextTimedChange(m, now); !at.IsZero() {
		n.timedChanges[id] = at
	}
	node, ok := n.builder.build(m, now)
	if !ok {
		return n.view.Remove(id)
	}
	return n.view.Upsert(&node)
}

// refreshNodes brings the node cache up to date. c.mu is held.
func (c *Controller) refreshNodes(now time.Time) {
	builder := &c.nodes.builder
	builder.catalog, builder.headroom, builder.heartbeatIntervalS = c.catalog, c.headroomMachines, c.Config.Cluster.Workers.ReportS
	c.nodes.refresh(c.fleet, c.Config.WorkerLease(), now)
}

// StaleNodes returns how many nodes were found to be out of date although their machines were not marked as changed:
// each of them shows a bug.
func (c *Controller) StaleNodes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes.staleNodes
}

// markMachinesChanged marks the machines of a job's attempts as changed. c.mu is held.
func (c *Controller) markMachinesChanged(j *job) {
	j.eachAttempt(func(a *fleet.Attempt) { c.fleet.MarkChanged(a.Machine) })
}

// setHeadroomMachines sets which machines are kept as headroom, and marks as changed those that are added or removed.
// c.mu is held.
func (c *Controller) setHeadroomMachines(headroom map[string]bool) {
	for _, sets := range [...][2]map[string]bool{{headroom, c.headroomMachines}, {c.headroomMachines, headroom}} {
		for id := range sets[0] {
			if m := c.fleet.Get(id); m != nil && !sets[1][id] {
				c.fleet.MarkChanged(m)
			}
		}
	}
	c.headroomMachines = headroom
}
