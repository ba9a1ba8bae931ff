package sched

import (
	"cmp"
	"math"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// preemptible is what jobs with one rule may preempt on each node: how much room that releases, and
// the least loss of any of it. Most nodes are ruled out by these alone, without sorting their victims.
type preemptible struct {
	by         preemptor
	releasable []fleet.Resources // by slot
	minLossS   []float64         // by slot
}

// preemptibleBy returns what a job may preempt. It is computed once a cycle for each rule, not for each
// job. The result is valid until the next call.
func (c *cycle) preemptibleBy(job *Job) *preemptible {
	by, scratch := c.preemptorOf(job), c.scratch
	for i := range scratch.preemptible {
		if known := &scratch.preemptible[i]; known.by == by {
			return known
		}
	}
	// The lists of an earlier cycle are reused.
	if len(scratch.preemptible) < cap(scratch.preemptible) {
		scratch.preemptible = scratch.preemptible[:len(scratch.preemptible)+1]
	} else {
		scratch.preemptible = append(scratch.preemptible, preemptible{})
	}
	added := &scratch.preemptible[len(scratch.preemptible)-1]
	added.by = by
	added.releasable = resize(added.releasable, len(scratch.profile))
	added.minLossS = resize(added.minLossS, len(scratch.profile))
	for slot := range scratch.profile {
		added.update(c, int32(slot))
	}
	return added
}

// update sums up what may be preempted on a node.
func (p *preemptible) update(c *cycle, slot int32) {
	releasable, minLossS := fleet.Resources{}, math.Inf(1)
	victims := c.runningVictims(slot)
	for i := range victims {
		v := &victims[i]
		if p.by.mayPreempt(v, c.input.WithinQuota) {
			releasable = releasable.Add(v.Need)
			minLossS = min(minLossS, v.lossS(c.input.Now)+preemptionCostS)
		}
	}
	p.releasable[slot], p.minLossS[slot] = releasable, minLossS
}

// runningVictims lists the victims of a node that this cycle has not stopped, in any order.
func (c *cycle) runningVictims(slot int32) []Victim {
	if sorted, known := c.sortedVictims[slot]; known {
		return sorted
	}
	if retained := int32(c.view.SlotCount()); slot >= retained {
		return c.input.Nodes[slot-retained].Victims
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

// stopVictims stops the work that the chosen options preempt, and gives the job their room.
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
			c.releaseRoom(option.node, v.Need)
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

// releaseRoom adds the room of a task that is stopped to what its node has once it has ended.
func (c *cycle) releaseRoom(slot int32, room fleet.Resources) {
	clear(c.maxFit) // more may fit now than these say
	c.free[afterStops][slot] = c.free[afterStops][slot].Add(room)
	c.free[afterBoot][slot] = c.free[afterBoot][slot].Add(room)
	c.reclassify(slot)
}
