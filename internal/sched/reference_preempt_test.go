package sched

import (
	"cmp"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// referencePreemption is room for one task on a node once some of its victims are stopped.
type referencePreemption struct {
	node                   int
	firstVictim, endVictim int // its victims are among these, in stop order
	lossS                  float64
}

// preempt stops work of lower priority so that up to want tasks of a job fit, and books the room for them. It
// never stops work for nothing: a job that starts whole gets all its room or none. Replicas are preempted
// only for a job that cannot wait for a new machine to boot.
func (r *referenceCycle) preempt(j *Job, want int) int {
	if r.lowestVictimLevel >= j.Level {
		return 0
	}
	shape, bounded := r.shapeAt(j, byPreemption)
	if most, ok := r.maxFit[shape]; bounded && ok && (most == 0 || isAllOrNothing(j) && most < j.PendingTasks) {
		return 0
	}
	choices := r.preemptionOptions(j, want)
	places, chosen := r.chooseLeastDisruptive(j, want, choices)
	if bounded && len(places) < want {
		r.maxFit[shape] = len(places)
	}
	if len(places) == 0 || (isAllOrNothing(j) && len(places) < j.PendingTasks) {
		return 0
	}
	r.stopVictims(j, chosen)
	r.commitPlacements(j, places, false)
	return len(places)
}

// referenceMayPreempt reports whether a job may preempt running work.
func referenceMayPreempt(j *Job, v *Victim) bool {
	return v.Level < j.Level && (!v.IsReplica || j.CannotAwaitBoot)
}

// preemptionOptions lists, by node, the room that there is for tasks of a job, and that there would be if work
// that it may preempt were stopped, the least loss first.
func (r *referenceCycle) preemptionOptions(j *Job, want int) []referencePreemption {
	need := fleet.TaskResources(j.Spec)
	choices := r.preemptionsBuffer[:0]
	for i, victims := range r.victimsInStopOrder() {
		if !r.couldFit(j, need, i, victims) || !r.isNodeEligible(j, i, "") {
			continue
		}
		free := r.free[afterStops][i]
		for range free.CountFitting(need, want) {
			choices = append(choices, referencePreemption{node: i})
			free = free.Sub(need)
		}
		c := referencePreemption{node: i}
		for k := range victims {
			v := &victims[k]
			if !referenceMayPreempt(j, v) {
				continue
			}
			free = free.Add(v.Need)
			c.endVictim = k + 1
			c.lossS += v.lossS(r.input.Now) + 1
			if free.Fits(need) {
				choices = append(choices, c)
				c = referencePreemption{node: i, firstVictim: c.endVictim}
				free = free.Sub(need)
			}
		}
	}
	r.preemptionsBuffer = choices
	return choices
}

// couldFit reports whether a node has room for a task of a job once all that it may preempt is stopped.
func (r *referenceCycle) couldFit(j *Job, need fleet.Resources, node int, victims []Victim) bool {
	gain := r.free[afterStops][node]
	if gain.Fits(need) {
		return true
	}
	for k := range victims {
		if referenceMayPreempt(j, &victims[k]) {
			gain = gain.Add(victims[k].Need)
		}
	}
	return gain.Fits(need)
}

// chooseLeastDisruptive chooses the options with the least loss that the job's zones allow, for up to want
// tasks.
func (r *referenceCycle) chooseLeastDisruptive(
	j *Job, want int, choices []referencePreemption,
) (places []Placement, chosen []referencePreemption) {
	order := referenceHeap[referencePreemption]{items: choices, cmp: func(a, b referencePreemption) int {
		return cmp.Or(cmp.Compare(a.lossS, b.lossS), cmp.Compare(a.node, b.node), cmp.Compare(a.firstVictim, b.firstVictim))
	}}
	zone := ""
	for z, n := range j.LiveByZone {
		if j.Spec.SingleZone && n > 0 {
			zone = z
		}
	}
	taken := map[string]int{}
	for c := range order.all() {
		z := r.input.Nodes[c.node].Zone
		if (j.Spec.SingleZone && zone != "" && z != zone) || referenceZoneAllowance(j, z)-taken[z] <= 0 {
			continue
		}
		if j.Spec.SingleZone {
			zone = z
		}
		taken[z]++
		places = append(places, Placement{Job: j, Node: c.node, Count: 1})
		chosen = append(chosen, c)
		if len(places) == want {
			break
		}
	}
	return places, chosen
}

// stopVictims stops the work that the chosen options preempt, and gives the job their room.
func (r *referenceCycle) stopVictims(j *Job, chosen []referencePreemption) {
	stopped := map[int]bool{}
	for _, c := range chosen {
		for _, v := range r.victims[c.node][c.firstVictim:c.endVictim] {
			if referenceMayPreempt(j, &v) {
				stopped[v.Serial] = true
				preemption := Preemption{Node: c.node, Serial: v.Serial, StartSlackS: j.StartSlackS}
				r.plan.Preemptions = append(r.plan.Preemptions, preemption)
				r.releaseCapacity(c.node, v.Need)
			}
		}
	}
	for _, c := range chosen {
		r.victims[c.node] = slices.DeleteFunc(r.victims[c.node], func(v Victim) bool { return stopped[v.Serial] })
	}
}
