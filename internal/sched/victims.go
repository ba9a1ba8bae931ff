package sched

import (
	"cmp"
	"math"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// preemptibleSummary sums up what jobs with the same rule may preempt on each node: the resources that this
// would release in total, and the least loss of a single victim. These figures rule out most nodes, so that
// their victims need not be sorted.
type preemptibleSummary struct {
	rule       preemptionRule
	releasable []fleet.Resources // by slot
	minLossS   []float64         // by slot
}

// preemptibleSummaryFor returns the summary for a job's rule. It computes the summary once per rule and cycle,
// not for each job. The result is valid until the next call.
func (c *cycle) preemptibleSummaryFor(job *Job) *preemptibleSummary {
	rule, scratch := c.preemptionRuleOf(job), c.scratch
	for i := range scratch.preemptible {
		if existing := &scratch.preemptible[i]; existing.rule == rule {
			return existing
		}
	}
	// An element beyond the length may be left from an earlier cycle; its lists are reused.
	if len(scratch.preemptible) < cap(scratch.preemptible) {
		scratch.preemptible = scratch.preemptible[:len(scratch.preemptible)+1]
	} else {
		scratch.preemptible = append(scratch.preemptible, preemptibleSummary{})
	}
	added := &scratch.preemptible[len(scratch.preemptible)-1]
	added.rule = rule
	added.releasable = resize(added.releasable, len(scratch.profileID))
	added.minLossS = resize(added.minLossS, len(scratch.profileID))
	for slot := range scratch.profileID {
		added.update(c, int32(slot))
	}
	return added
}

// update recomputes the figures of a node.
func (p *preemptibleSummary) update(c *cycle, slot int32) {
	releasable, minLossS := fleet.Resources{}, math.Inf(1)
	victims := c.runningVictims(slot)
	for i := range victims {
		v := &victims[i]
		if p.rule.mayPreempt(v, c.input.WithinQuota) {
			releasable = releasable.Add(v.Need)
			minLossS = min(minLossS, v.lossS(c.input.Now)+preemptionCostS)
		}
	}
	p.releasable[slot], p.minLossS[slot] = releasable, minLossS
}

// runningVictims lists the victims of a node that this cycle has not stopped. Their order is not defined.
func (c *cycle) runningVictims(slot int32) []Victim {
	if sorted, known := c.sortedVictims[slot]; known {
		return sorted
	}
	if viewSlots := int32(c.view.SlotCount()); slot >= viewSlots {
		return c.input.Nodes[slot-viewSlots].Victims
	}
	return c.view.nodes[slot].victims
}

// victimsInStopOrder lists the victims of a node in the order in which they are stopped: the lowest
// priority first, then the least loss.
func (c *cycle) victimsInStopOrder(slot int32) []Victim {
	sorted, known := c.sortedVictims[slot]
	if !known {
		now := c.input.Now
		scratch := c.scratch
		begin := len(scratch.victims)
		scratch.victims = append(scratch.victims, c.runningVictims(slot)...)
		sorted = scratch.victims[begin:len(scratch.victims):len(scratch.victims)]
		slices.SortFunc(sorted, func(a, b Victim) int {
			return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(a.lossS(now), b.lossS(now)), cmp.Compare(a.Serial, b.Serial))
		})
		c.sortedVictims[slot] = sorted
	}
	return sorted
}

// stopVictims stops the victims of the chosen options, and adds their resources to the free capacity.
func (c *cycle) stopVictims(job *Job, chosen []preemptionOption) {
	stopped := map[int]bool{}
	for _, option := range chosen {
		victims := c.sortedVictims[option.node]
		for k := option.firstVictim; k < option.endVictim; k++ {
			v := &victims[k]
			if !c.jobMayPreempt(job, v) {
				continue
			}
			stopped[v.Serial] = true
			if team := c.input.Teams[v.Team]; team != nil {
				team.Stopping.Cores += v.Need.Cores
				team.Stopping.Gpus += v.Need.Gpus
			}
			c.plan.Preemptions = append(c.plan.Preemptions, Preemption{
				Node:        int(option.node),
				Serial:      v.Serial,
				StartSlackS: job.StartSlackS,
			})
			c.releaseCapacity(option.node, v.Need)
		}
	}
	isStopped := func(v Victim) bool { return stopped[v.Serial] }
	for _, option := range chosen {
		if option.endVictim == 0 {
			continue
		}
		c.sortedVictims[option.node] = slices.DeleteFunc(c.sortedVictims[option.node], isStopped)
		for i := range c.scratch.preemptible {
			c.scratch.preemptible[i].update(c, option.node)
		}
	}
}

// releaseCapacity adds the resources of a task that is being stopped to the capacity of its node that is free
// after stops and after boot.
func (c *cycle) releaseCapacity(slot int32, released fleet.Resources) {
	clear(c.maxFit) // more tasks may fit now than these upper bounds say
	clear(c.unfit)
	c.free[afterStops][slot] = c.free[afterStops][slot].Add(released)
	c.free[afterBoot][slot] = c.free[afterBoot][slot].Add(released)
	c.reclassify(slot)
}
