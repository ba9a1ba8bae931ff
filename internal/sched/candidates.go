package sched

import (
	"cmp"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// candidateGroup describes nodes of one class that are equally good for a job.
type candidateGroup struct {
	classID          int32
	tasksPerNode     int // tasks that fit on each node, at most the number wanted
	activeFetches    int32
	splitByImage     bool // the group is part of its class: the nodes with the job's image, or those without
	hasImage         bool // the nodes have the job's image
	runsOnDemandWork bool
	cost             float64 // of one task per hour
	residual         float64 // measure of what stays free on a node: less is a tighter fit
}

// candidateGroups lists the groups of nodes on which tasks of a job fit. If zone is not "", it considers
// only nodes in that zone. The list is valid until the next call.
func (c *cycle) candidateGroups(job *Job, want int, at horizon, zone string) []candidateGroup {
	scratch, need := c.scratch, fleet.TaskResources(job.Spec)
	groups := scratch.groups[:0]
	for _, classID := range c.openClasses[at] {
		class := &scratch.classes[classID]
		if class.size == 0 || !scratch.eligible[class.profileID] {
			continue
		}
		profile := &c.profiles[class.profileID]
		if zone != "" && profile.zone != zone {
			continue
		}
		free := class.free[at]
		tasks := free.CountFitting(need, want)
		if tasks == 0 {
			continue
		}
		group := candidateGroup{
			classID:          classID,
			tasksPerNode:     tasks,
			activeFetches:    class.activeFetches,
			splitByImage:     c.current.imageMayBeCached && profile.registered,
			runsOnDemandWork: profile.runsOnDemandWork,
			cost:             placementCost(job, profile, need),
			residual:         residualCapacity(free, need, tasks, profile.capacity.Cores),
		}
		if !c.current.imageRequired {
			groups = append(groups, group)
		}
		if group.splitByImage {
			group.hasImage, group.activeFetches = true, 0
			groups = append(groups, group)
		}
	}
	scratch.groups = groups
	return groups
}

// residualCapacity measures what stays free on a node after tasks are placed: the number of GPUs plus the
// fraction of the node's cores. For CPU-only tasks it counts only GPUs, so that they go to the nodes with
// the fewest free GPUs.
func residualCapacity(free, need fleet.Resources, tasks int, cores float64) float64 {
	if need.Gpus == 0 {
		return free.Gpus
	}
	return free.Gpus - float64(tasks)*need.Gpus + (free.Cores-float64(tasks)*need.Cores)/max(cores, 1)
}

// placementCost returns what placing a task on a machine costs per hour. It is 0 for a task that may use
// spot machines on a machine that other tasks keep running anyway.
func placementCost(job *Job, profile *nodeProfile, need fleet.Resources) float64 {
	if job.Spec.AllowSpot && profile.runsOnDemandWork {
		return 0
	}
	return taskPrice(profile, need)
}

// taskPrice returns the hourly price of a machine times the task's dominant share of its resources.
func taskPrice(profile *nodeProfile, need fleet.Resources) float64 {
	share := 0.0
	for _, resource := range [...]struct{ need, capacity float64 }{
		{need.Cores, profile.capacity.Cores},
		{need.Gpus, profile.capacity.Gpus},
		{need.RAM, profile.capacity.RAM},
	} {
		if resource.capacity > 0 {
			share = max(share, resource.need/resource.capacity)
		}
	}
	return profile.hourlyPrice * share
}

// compareGroups sorts the better group first, by these criteria in order: lowest cost, image present,
// fewest images being fetched, most tasks per node, tightest fit. If fetching the image would make the job
// start too late, the image comes before the cost. For other jobs that may not use spot machines, the order
// after the cost is: most tasks per node, nodes that run such tasks already, tightest fit, image present,
// fewest images being fetched.
func compareGroups(job *Job, a, b *candidateGroup) int {
	if !job.FetchDelaysStart && !job.Spec.AllowSpot {
		if order := cmp.Compare(a.cost, b.cost); order != 0 {
			return order
		}
		return cmp.Or(
			cmp.Compare(b.tasksPerNode, a.tasksPerNode),
			compareTrueFirst(a.runsOnDemandWork, b.runsOnDemandWork),
			cmp.Compare(a.residual, b.residual),
			compareTrueFirst(a.hasImage, b.hasImage),
			cmp.Compare(a.activeFetches, b.activeFetches),
		)
	}
	first, second := cmp.Compare(a.cost, b.cost), compareTrueFirst(a.hasImage, b.hasImage)
	if job.FetchDelaysStart {
		first, second = second, first
	}
	return cmp.Or(
		first,
		second,
		cmp.Compare(a.activeFetches, b.activeFetches),
		cmp.Compare(b.tasksPerNode, a.tasksPerNode),
		cmp.Compare(a.residual, b.residual),
	)
}
