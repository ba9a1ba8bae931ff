package sched

import (
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// isAllOrNothing reports whether a job must start with all its tasks or not at all. The tasks of an array are
// independent: they start as capacity allows, also if they must all be in one zone. This does not apply to a job with
// live attempts either: its pending tasks have failed or lost their machines, and restart one by one. Nor does it
// apply to a service that has been started before, since one replica serves users better than none.
func isAllOrNothing(job *Job) bool {
	switch job.Spec.Kind {
	case wire.JobArray:
		return false
	case wire.Service:
		return job.LiveAttempts == 0 && !job.HasStarted
	default:
		return job.LiveAttempts == 0
	}
}

// fitTasks places up to want tasks of a job on capacity that is free at a horizon, and returns how many it
// placed. If start is set, the plan launches these tasks. Otherwise it only books the capacity, so that no
// later job of the window uses it.
func (c *cycle) fitTasks(job *Job, want int, at horizon, start bool) int {
	shape := c.shapeAt(at)
	if c.isKnownNotToFit(job, shape) {
		return 0
	}
	var placements []Placement
	if job.Spec.SingleZone {
		placements = c.chooseSingleZone(job, want, at)
	} else {
		placements = c.chooseNodes(job, want, at, "")
	}
	placed := countTasks(placements)
	if c.current.shapeDecidesFit && placed < want {
		c.maxFit[shape] = placed
	}
	if placed == 0 || (isAllOrNothing(job) && placed < job.PendingTasks) {
		return 0
	}
	c.commitPlacements(job, placements, start)
	return placed
}

// countTasks returns the number of tasks in a list of placements.
func countTasks(placements []Placement) int {
	tasks := 0
	for _, p := range placements {
		tasks += p.Count
	}
	return tasks
}

// chooseSingleZone chooses nodes in the zone where the most tasks fit; of such zones, the one where they need
// the fewest machines. A job that has live attempts in a zone stays there.
func (c *cycle) chooseSingleZone(job *Job, want int, at horizon) []Placement {
	for zone, attempts := range job.LiveByZone {
		if attempts > 0 {
			return c.chooseNodes(job, want, at, zone)
		}
	}
	var best []Placement
	for _, zone := range c.zoneNames() {
		placements := c.chooseNodes(job, want, at, zone)
		tasks, bestTasks := countTasks(placements), countTasks(best)
		if tasks > bestTasks || (tasks == bestTasks && len(placements) < len(best)) {
			best = placements
		}
	}
	return best
}

// zoneNames returns the sorted names of the zones of all nodes.
func (c *cycle) zoneNames() []string {
	var names []string
	for i := range c.profiles {
		if name := c.profiles[i].zone; !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// zoneAllowance returns how many more tasks of a job may be placed in a zone. It does not know of placements
// that the caller has chosen but not committed; the caller subtracts these.
func zoneAllowance(job *Job, zone string) int {
	if !job.Spec.SpreadZones {
		return job.Spec.TaskCount
	}
	return (job.Spec.TaskCount+1)/2 - job.LiveByZone[zone]
}

// commitPlacements books placements: it subtracts them from the free capacity at every horizon, so that no
// later job of the window uses it, and adds them to the usage of the team.
func (c *cycle) commitPlacements(job *Job, placements []Placement, start bool) {
	need := fleet.TaskResources(job.Spec)
	placed := 0
	for _, placement := range placements {
		for at := range c.free {
			for range placement.Count {
				c.free[at][placement.Node] = c.free[at][placement.Node].Sub(need)
			}
		}
		c.reclassify(int32(placement.Node))
		placed += placement.Count
		job.LiveByZone[c.zoneOf(int32(placement.Node))] += placement.Count
	}
	job.LiveAttempts += placed
	job.PendingTasks -= placed
	team := c.input.Teams[job.Spec.Team]
	team.Used.Cores += float64(placed) * need.Cores
	team.Used.Gpus += float64(placed) * need.Gpus
	if start {
		c.plan.Placements = append(c.plan.Placements, placements...)
		machines := c.view.MachineCount() + len(c.input.Nodes)
		machineShare := float64(len(placements)) / float64(2*max(1, machines))
		c.plan.Objective += c.input.PriorityWeights[job.Level] * (1 - machineShare)
	}
}
