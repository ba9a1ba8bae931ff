package sched

import (
	"cmp"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// referencePreemptionOption is a way to place one task on a node: on free capacity, or by stopping victims.
type referencePreemptionOption struct {
	node                   int
	firstVictim, endVictim int // range in stop order; the victims in it that the job may preempt are stopped
	lossS                  float64
}

// preempt stops victims of lower priority so that up to want tasks of a job fit, books the capacity for these
// tasks, and returns their number. It never stops a victim in vain: it stops victims only for tasks that then fit,
// and none for an all-or-nothing job unless all tasks of the job then fit.
func (r *referenceCycle) preempt(j *Job, want int) int {
	if r.lowestVictimLevel >= j.Level {
		return 0
	}
	shape, shapeDecidesFit := r.shapeAt(j, byPreemption)
	if maxTasks, known := r.maxFit[shape]; shapeDecidesFit && known && (maxTasks == 0 || isAllOrNothing(j) && maxTasks < j.PendingTasks) {
		return 0
	}
	r.hasSearched = true
	options := r.preemptionOptions(j, want)
	placements, chosen := r.chooseLeastDisruptive(j, want, options)
	if shapeDecidesFit && len(placements) < want {
		r.maxFit[shape] = len(placements)
	}
	if len(placements) == 0 || (isAllOrNothing(j) && len(placements) < j.PendingTasks) {
		return 0
	}
	r.stopVictims(j, chosen)
	r.commitPlacements(j, placements, false)
	return len(placements)
}

// referenceMayPreempt reports whether a job may preempt a victim. Replicas are preempted only for a job that
// cannot wait for a machine to boot.
func referenceMayPreempt(j *Job, v *Victim) bool {
	return v.Level < j.Level && (!v.IsReplica || j.CannotAwaitBoot)
}

// preemptionOptions lists the options for tasks of a job by node: free capacity, and capacity that would be free
// if victims were stopped.
func (r *referenceCycle) preemptionOptions(j *Job, want int) []referencePreemptionOption {
	need := fleet.TaskResources(j.Spec)
	options := r.preemptionsBuffer[:0]
	for i, victims := range r.victimsInStopOrder() {
		if !r.couldFit(j, need, i, victims) || !r.isNodeEligible(j, i, "") {
			continue
		}
		free := r.free[afterStops][i]
		for range free.CountFitting(need, want) {
			options = append(options, referencePreemptionOption{node: i})
			free = free.Sub(need)
		}
		option := referencePreemptionOption{node: i}
		for k := range victims {
			v := &victims[k]
			if !referenceMayPreempt(j, v) {
				continue
			}
			free = free.Add(v.Need)
			option.endVictim = k + 1
			option.lossS += v.lossS(r.input.Now) + 1
			if free.Fits(need) {
				options = append(options, option)
				option = referencePreemptionOption{node: i, firstVictim: option.endVictim}
				free = free.Sub(need)
			}
		}
	}
	r.preemptionsBuffer = options
	return options
}

// couldFit reports whether a task of a job fits a node once all victims that the job may preempt are stopped.
func (r *referenceCycle) couldFit(j *Job, need fleet.Resources, node int, victims []Victim) bool {
	available := r.free[afterStops][node]
	if available.Fits(need) {
		return true
	}
	for k := range victims {
		if referenceMayPreempt(j, &victims[k]) {
			available = available.Add(victims[k].Need)
		}
	}
	return available.Fits(need)
}

// chooseLeastDisruptive chooses the options with the least loss for up to want tasks, within the zones that the
// job may use.
func (r *referenceCycle) chooseLeastDisruptive(
	j *Job, want int, options []referencePreemptionOption,
) (placements []Placement, chosen []referencePreemptionOption) {
	leastLossFirst := referenceHeap[referencePreemptionOption]{items: options, compare: func(a, b referencePreemptionOption) int {
		return cmp.Or(cmp.Compare(a.lossS, b.lossS), cmp.Compare(a.node, b.node), cmp.Compare(a.firstVictim, b.firstVictim))
	}}
	jobZone := ""
	for zone, attempts := range j.LiveByZone {
		if j.Spec.SingleZone && attempts > 0 {
			jobZone = zone
		}
	}
	takenByZone := map[string]int{}
	for option := range leastLossFirst.all() {
		zone := r.input.Nodes[option.node].Zone
		if (j.Spec.SingleZone && jobZone != "" && zone != jobZone) || referenceZoneAllowance(j, zone)-takenByZone[zone] <= 0 {
			continue
		}
		if j.Spec.SingleZone {
			jobZone = zone
		}
		takenByZone[zone]++
		placements = append(placements, Placement{Job: j, Node: option.node, Count: 1})
		chosen = append(chosen, option)
		if len(placements) == want {
			break
		}
	}
	return placements, chosen
}

// stopVictims stops the victims of the chosen options, and adds their resources to the free capacity.
func (r *referenceCycle) stopVictims(j *Job, chosen []referencePreemptionOption) {
	stopped := map[int]bool{}
	for _, option := range chosen {
		for _, v := range r.victims[option.node][option.firstVictim:option.endVictim] {
			if referenceMayPreempt(j, &v) {
				stopped[v.Serial] = true
				preemption := Preemption{Node: option.node, Serial: v.Serial, StartSlackS: j.StartSlackS}
				r.plan.Preemptions = append(r.plan.Preemptions, preemption)
				r.releaseCapacity(option.node, v.Need)
			}
		}
	}
	for _, option := range chosen {
		r.victims[option.node] = slices.DeleteFunc(r.victims[option.node], func(v Victim) bool { return stopped[v.Serial] })
	}
}
