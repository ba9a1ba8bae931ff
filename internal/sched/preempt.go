package sched

import (
	"cmp"
	"math"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// preemptionCostS is what stopping a task costs beside the work that it loses, in seconds. Free room is
// therefore better than any victim, and of equal losses the one with fewer victims is better.
const preemptionCostS = 1

// preemptionOption is room for one task on a node once some of its victims are stopped.
type preemptionOption struct {
	node                   int32   // slot
	firstVictim, endVictim int     // range in stop order: those of it that the job may preempt are stopped
	lossS                  float64 // of all its victims, with preemptionCostS for each; 0 for free room
}

// isBetterThan orders options: the least loss goes first.
func (o *preemptionOption) isBetterThan(other *preemptionOption) bool {
	return cmp.Or(
		cmp.Compare(o.lossS, other.lossS),
		cmp.Compare(o.node, other.node),
		cmp.Compare(o.firstVictim, other.firstVictim),
	) < 0
}

// preempt stops work of lower priority so that up to want tasks of a job fit, books the room for them,
// and returns their number. It never stops work for nothing: a job that starts whole gets all its room
// or none. By priority, replicas are preempted only for a job that cannot wait for a new machine to boot.
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
	if len(placements) == 0 || (startsWhole(job) && len(placements) < job.PendingTasks) {
		return 0
	}
	c.stopVictims(job, chosen)
	c.commitPlacements(job, placements, false)
	return len(placements)
}

// preemptionOptions lists the room that there is for tasks of a job, and that there would be if work
// that it may preempt were stopped, the least loss first on each node. If the job's tasks may be in
// any zone, no more options than wanted tasks are listed: those with the least loss.
func (c *cycle) preemptionOptions(job *Job, want int) []preemptionOption {
	need, preemptible, scratch := fleet.TaskResources(job.Spec), c.preemptibleBy(job), c.scratch
	maxOptions := math.MaxInt
	if !job.Spec.SingleZone && !job.Spec.SpreadZones {
		maxOptions = want
	}
	// The worst option is the minimum of this heap, so that a better one can replace it.
	best := newHeap(scratch.options[:0], func(a, b *preemptionOption) bool { return b.isBetterThan(a) })
	add := func(option preemptionOption) {
		switch {
		case best.Len() < maxOptions:
			best.Push(option)
		case option.isBetterThan(best.Min()):
			best.Replace(option)
		}
	}
	for slot := range scratch.profile {
		room := c.free[afterStops][slot]
		if !room.Add(preemptible.releasable[slot]).Fits(need) {
			continue
		}
		if best.Len() >= maxOptions && preemptible.minLossS[slot] >= best.Min().lossS && !room.FitsRequested(need) {
			continue // every option on this node loses at least as much as the worst one, and sorts after it
		}
		if c.isVacant(slot) || !c.isNodeEligible(job, int32(slot)) {
			continue
		}
		c.addOptionsOnNode(job, int32(slot), need, want, add)
	}
	scratch.options = best.items
	return best.items
}

// addOptionsOnNode adds the room on a node for tasks of a job, one by one.
func (c *cycle) addOptionsOnNode(job *Job, slot int32, need fleet.Resources, want int, add func(option preemptionOption)) {
	room := c.free[afterStops][slot]
	for range room.CountFitting(need, want) {
		add(preemptionOption{node: slot})
		room = room.Sub(need)
	}
	victims := c.victimsInStopOrder(slot)
	option := preemptionOption{node: slot}
	for k := range victims {
		v := &victims[k]
		if !c.jobMayPreempt(job, v) {
			continue
		}
		room = room.Add(v.Need)
		option.endVictim = k + 1
		option.lossS += v.lossS(c.input.Now) + preemptionCostS
		if room.Fits(need) {
			add(option)
			option = preemptionOption{node: slot, firstVictim: option.endVictim}
			room = room.Sub(need)
		}
	}
}

// chooseLeastDisruptive chooses the options with the least loss that the job's zones and the quotas of
// other teams allow, for up to want tasks.
func (c *cycle) chooseLeastDisruptive(job *Job, want int, options []preemptionOption) (placements []Placement, chosen []preemptionOption) {
	order := newHeap(options, (*preemptionOption).isBetterThan)
	jobZone := ""
	for zone, attempts := range job.LiveByZone {
		if job.Spec.SingleZone && attempts > 0 {
			jobZone = zone
		}
	}
	takenByZone, reclaimed := map[string]int{}, map[string]fleet.Resources{}
	for order.Len() > 0 && len(placements) < want {
		option := order.Pop()
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

// reclaimWithinQuotas reports whether what an option reclaims from other teams leaves each of them its
// own quota, on top of what was reclaimed from it for the job already. If so, it adds it to reclaimed.
func (c *cycle) reclaimWithinQuotas(job *Job, option *preemptionOption, reclaimed map[string]fleet.Resources) bool {
	by := c.preemptorOf(job)
	if !by.reclaimsQuota || option.endVictim == 0 {
		return true
	}
	after := map[string]fleet.Resources{}
	victims := c.sortedVictims[option.node]
	for k := option.firstVictim; k < option.endVictim; k++ {
		v := &victims[k]
		if by.mayPreemptByPriority(v) || !by.mayPreempt(v, c.input.WithinQuota) {
			continue
		}
		amount, known := after[v.Team]
		if !known {
			amount = reclaimed[v.Team]
		}
		after[v.Team] = amount.Add(v.Need)
	}
	for name, amount := range after {
		team := c.input.Teams[name]
		if team == nil {
			return false
		}
		if left := team.beyondQuota(amount); left.Cores < -roundingTolerance || left.Gpus < -roundingTolerance {
			return false
		}
	}
	for name, amount := range after {
		reclaimed[name] = amount
	}
	return true
}
