package sched

import (
	"cmp"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// reserveNodes reserves nodes for a job, those with the most free room first, until their whole
// capacity would hold it. Later jobs of the window start only elsewhere.
func (c *cycle) reserveNodes(job *Job, want int) {
	need := fleet.TaskResources(job.Spec)
	var nodes []int32
	for slot := range c.scratch.profile {
		if c.isVacant(slot) || !c.isNodeEligible(job, int32(slot)) {
			continue
		}
		if c.profiles[c.scratch.profile[slot]].capacity.CountFitting(need, 1) > 0 {
			nodes = append(nodes, int32(slot))
		}
	}
	mostFreeFirst := newHeap(nodes, func(a, b *int32) bool {
		x, y := c.free[afterStops][*a], c.free[afterStops][*b]
		return cmp.Or(cmp.Compare(y.Gpus, x.Gpus), cmp.Compare(y.Cores, x.Cores), cmp.Compare(*a, *b)) < 0
	})
	reserved := map[string]int{} // tasks by zone
	jobZone := ""
	for want > 0 && mostFreeFirst.Len() > 0 {
		slot := mostFreeFirst.Pop()
		zone := c.zoneOf(slot)
		if job.Spec.SingleZone && jobZone != "" && zone != jobZone {
			continue
		}
		capacity := c.profiles[c.scratch.profile[slot]].capacity
		tasks := min(capacity.CountFitting(need, want), zoneAllowance(job, zone)-reserved[zone])
		if tasks <= 0 {
			continue
		}
		jobZone = zone
		reserved[zone] += tasks
		want -= tasks
		c.scratch.reserved[slot] = true
		c.reclassify(slot)
	}
	c.plan.ReservedFor = job.Spec.UID
}
