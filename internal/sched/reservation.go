package sched

import (
	"cmp"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// reserveNodes reserves nodes for want tasks of a job, so that later jobs of the window start on other nodes.
// It takes the nodes with the most free capacity first, and stops once their total capacity, in use or free,
// would hold the tasks.
func (c *cycle) reserveNodes(job *Job, want int) {
	need := fleet.TaskResources(job.Spec)
	var nodes []int32
	for slot := range c.scratch.profileID {
		if c.isVacant(slot) || !c.isNodeEligible(job, int32(slot)) {
			continue
		}
		if c.profiles[c.scratch.profileID[slot]].capacity.CountFitting(need, 1) > 0 {
			nodes = append(nodes, int32(slot))
		}
	}
	mostFreeFirst := newHeap(nodes, func(a, b *int32) bool {
		freeA, freeB := c.free[afterStops][*a], c.free[afterStops][*b]
		return cmp.Or(cmp.Compare(freeB.Gpus, freeA.Gpus), cmp.Compare(freeB.Cores, freeA.Cores), cmp.Compare(*a, *b)) < 0
	})
	reservedByZone := map[string]int{} // number of tasks
	jobZone := ""
	for want > 0 && mostFreeFirst.Len() > 0 {
		slot := mostFreeFirst.Pop()
		zone := c.zoneOf(slot)
		if job.Spec.SingleZone && jobZone != "" && zone != jobZone {
			continue
		}
		capacity := c.profiles[c.scratch.profileID[slot]].capacity
		tasks := min(capacity.CountFitting(need, want), zoneAllowance(job, zone)-reservedByZone[zone])
		if tasks <= 0 {
			continue
		}
		jobZone = zone
		reservedByZone[zone] += tasks
		want -= tasks
		c.scratch.reserved[slot] = true
		c.reclassify(slot)
	}
	c.plan.ReservedFor = job.Spec.UID
}
