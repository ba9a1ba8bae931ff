package sched

import (
	"cmp"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// candidateGroup is the nodes of a class that are equally good for a job.
type candidateGroup struct {
	classID          int32
	tasksPerNode     int // tasks that fit on each node, at most as many as are wanted
	activeFetches    int32
	splitByImage     bool // only the nodes of the class with hasImage, or only those without
	hasImage         bool // they have the job's image
	runsOnDemandWork bool
	cost             float64 // per hour, of one task
	residual         float64 // what is left free on a node: less is a tighter fit
}

// candidateGroups lists the groups of nodes on which tasks of a job fit, in zone only unless that is
// "". The list is valid until the next call.
func (c *cycle) candidateGroups(job *Job, want int, at horizon, zone string) []candidateGroup {
	scratch, need := c.scratch, fleet.TaskResources(job.Spec)
	groups := scratch.groups[:0]
	for _, classID := range c.openClasses[at] {
		class := &scratch.classes[classID]
		if class.size == 0 || !scratch.eligible[class.profile] {
			continue
		}
		profile := &c.profiles[class.profile]
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
			residual:         residualRoom(free, need, tasks, profile.capacity.Cores),
		}
		if !c.current.warmOnly {
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

// residualRoom measures what tasks leave free on a node: whole GPUs, and the share of its cores. For
// CPU-only work only free GPUs count, so that it goes where the fewest are free.
func residualRoom(free, need fleet.Resources, tasks int, cores float64) float64 {
	if need.Gpus == 0 {
		return free.Gpus
	}
	return free.Gpus - float64(tasks)*need.Gpus + (free.Cores-float64(tasks)*need.Cores)/max(cores, 1)
}

// placementCost returns what placing a task on a machine costs per hour: nothing for work that may use
// spot machines and fills the gaps of a machine that stays anyway.
func placementCost(job *Job, profile *nodeProfile, need fleet.Resources) float64 {
	if job.Spec.AllowSpot && profile.runsOnDemandWork {
		return 0
	}
	return taskPrice(profile, need)
}

// taskPrice returns the price of a task's dominant share of a machine.
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

// compareGroups orders groups: the cheapest for the task first, then those that have the image, then
// those that need the fewest machines, then the tightest fit. The image goes first where its fetch
// alone would make the start late. Work that may not use spot machines weighs the image last, after
// machines that run such work already.
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
