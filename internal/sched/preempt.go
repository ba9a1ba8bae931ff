package sched

import (
	"cmp"
	"math"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// preemptionCostS is a fixed cost of stopping a task, in seconds, on top of the work that the task loses.
// Because of it, free capacity is preferred to any victim, and of two options that lose equal work, the one
// with fewer victims is preferred.
const preemptionCostS = 1

// preemptionOption is a way to place one task on a node: on free capacity, or by stopping victims.
type preemptionOption struct {
	node                   int32   // slot
	firstVictim, endVictim int     // range in stop order; the victims in it that the job may preempt are stopped
	lossS                  float64 // total loss of its victims, plus preemptionCostS for each; 0 for free capacity
}

// isBetterThan reports whether an option loses less than another one; ties are broken by node and victim.
func (o *preemptionOption) isBetterThan(other *preemptionOption) bool {
	return cmp.Or(
		cmp.Compare(o.lossS, other.lossS),
		cmp.Compare(o.node, other.node),
		cmp.Compare(o.firstVictim, other.firstVictim),
	) < 0
}

// preempt stops victims so that up to want tasks of a job fit, books the capacity for these tasks, and
// returns their number. preemptionRule says which victims it may stop. It never stops a victim in vain: it
// stops victims only for tasks that then fit, and none for an all-or-nothing job unless all tasks of the job
// then fit.
func (c *cycle) preempt(job *Job, want int) int {
	if c.lowestVictimLevel >= c.preemptionLevel(job) && !job.WithinQuota {
		return 0
	}
	shape := c.shapeAt(byPreemption)
	if c.isKnownNotToFit(job, shape) {
		return 0
	}
	placements, chosen := c.chooseLeastDisruptive(job, want, c.preemptionOptions(job, want))
	if c.current.shapeDecidesFit && len(placements) < want {
		c.maxFit[shape] = len(placements)
	}
	if len(placements) == 0 || (isAllOrNothing(job) && len(placements) < job.PendingTasks) {
		return 0
	}
	c.stopVictims(job, chosen)
	c.commitPlacements(job, placements, false)
	return len(placements)
}

// preemptionOptions lists the options for tasks of a job: free capacity, and capacity that would be free if
// victims were stopped. If the job is neither single-zone nor spread over zones, it keeps only the want
// options with the least loss.
func (c *cycle) preemptionOptions(job *Job, want int) []preemptionOption {
	need, preemptible, scratch := fleet.TaskResources(job.Spec), c.preemptibleSummaryFor(job), c.scratch
	maxOptions := math.MaxInt
	if !job.Spec.SingleZone && !job.Spec.SpreadZones {
		maxOptions = want
	}
	// The order of this heap is reversed: its minimum is the worst option, which a better one replaces.
	best := newHeap(scratch.options[:0], func(a, b *preemptionOption) bool { return b.isBetterThan(a) })
	add := func(option preemptionOption) {
		switch {
		case best.Len() < maxOptions:
			best.Push(option)
		case option.isBetterThan(best.Min()):
			best.Replace(option)
		}
	}
	for slot := range scratch.profileID {
		free := c.free[afterStops][slot]
		if !free.Add(preemptible.releasable[slot]).Fits(need) {
			continue
		}
		if best.Len() >= maxOptions && preemptible.minLossS[slot] >= best.Min().lossS && !free.FitsRequested(need) {
			continue // each option here loses at least as much as the worst one, and sorts after it
		}
		if c.isVacant(slot) || !c.isNodeEligible(job, int32(slot)) {
			continue
		}
		c.addOptionsOnNode(job, int32(slot), need, want, add)
	}
	scratch.options = best.items
	return best.items
}

// addOptionsOnNode calls add for each option on a node, those on free capacity first, then in stop order.
func (c *cycle) addOptionsOnNode(job *Job, slot int32, need fleet.Resources, want int, add func(option preemptionOption)) {
	free := c.free[afterStops][slot]
	for range free.CountFitting(need, want) {
		add(preemptionOption{node: slot})
		free = free.Sub(need)
	}
	victims := c.victimsInStopOrder(slot)
	option := preemptionOption{node: slot}
	for k := range victims {
		v := &victims[k]
		if !c.jobMayPreempt(job, v) {
			continue
		}
		free = free.Add(v.Need)
		option.endVictim = k + 1
		option.lossS += v.lossS(c.input.Now) + preemptionCostS
		if free.Fits(need) {
			add(option)
			option = preemptionOption{node: slot, firstVictim: option.endVictim}
			free = free.Sub(need)
		}
	}
}

// chooseLeastDisruptive chooses the options with the least loss for up to want tasks, within the zones that
// the job may use and without taking other teams below their quotas.
func (c *cycle) chooseLeastDisruptive(job *Job, want int, options []preemptionOption) (placements []Placement, chosen []preemptionOption) {
	leastLossFirst := newHeap(options, (*preemptionOption).isBetterThan)
	jobZone := ""
	for zone, attempts := range job.LiveByZone {
		if job.Spec.SingleZone && attempts > 0 {
			jobZone = zone
		}
	}
	takenByZone, reclaimed := map[string]int{}, map[string]fleet.Resources{}
	for leastLossFirst.Len() > 0 && len(placements) < want {
		option := leastLossFirst.Pop()
		zone := c.zoneOf(option.node)
		if (job.Spec.SingleZone && jobZone != "" && zone != jobZone) || zoneAllowance(job, zone)-takenByZone[zone] <= 0 {
			continue
		}
		if job.Spec.SingleZone {
			jobZone = zone
		}
		if !c.reclaimWithinQuotas(job, &option, reclaimed) {
			continue
		}
		takenByZone[zone]++
		placements = append(placements, Placement{Job: job, Node: int(option.node), Count: 1})
		chosen = append(chosen, option)
	}
	return placements, chosen
}

// reclaimWithinQuotas reports whether each other team still has its quota after the option has reclaimed
// resources from it, in addition to those that the job has reclaimed already (reclaimed, by team). If so, it
// adds what the option reclaims to reclaimed.
func (c *cycle) reclaimWithinQuotas(job *Job, option *preemptionOption, reclaimed map[string]fleet.Resources) bool {
	rule := c.preemptionRuleOf(job)
	if !rule.reclaimsQuota || option.endVictim == 0 {
		return true
	}
	reclaimedAfter := map[string]fleet.Resources{}
	victims := c.sortedVictims[option.node]
	for k := option.firstVictim; k < option.endVictim; k++ {
		v := &victims[k]
		if rule.mayPreemptByPriority(v) || !rule.mayPreempt(v, c.input.WithinQuota) {
			continue
		}
		amount, known := reclaimedAfter[v.Team]
		if !known {
			amount = reclaimed[v.Team]
		}
		reclaimedAfter[v.Team] = amount.Add(v.Need)
	}
	for name, amount := range reclaimedAfter {
		team := c.input.Teams[name]
		if team == nil {
			return false
		}
		if beyond := team.beyondQuota(amount); beyond.Cores < -roundingTolerance || beyond.Gpus < -roundingTolerance {
			return false
		}
	}
	for name, amount := range reclaimedAfter {
		reclaimed[name] = amount
	}
	return true
}
