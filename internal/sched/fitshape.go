package sched

import (
	"strings"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// byPreemption stands for preemption in demandShape.horizon; it is not a horizon.
const byPreemption = horizonCount

// demandShape identifies jobs whose tasks fit the same nodes at a horizon. If only n tasks of a shape fitted,
// no more than n fit later in the cycle, because free capacity only shrinks. The exception is a preemption:
// it adds free capacity, so releaseCapacity discards all known counts.
type demandShape struct {
	horizon                         horizon
	preemptionRule                  preemptionRule // set only for byPreemption
	need                            fleet.Resources
	machineTypes, zone              string
	allowSpot                       bool
	cannotAwaitBoot, waitedPastBoot bool
	spotUnavailable                 bool
	requiredImage                   string // image that the nodes must have; "" if none is required
}

// prepareFor computes what the cycle needs to place a job: the profiles that it may use and its context.
func (c *cycle) prepareFor(job *Job) {
	scratch := c.scratch
	scratch.eligible = resize(scratch.eligible, len(c.profiles))
	for i := range c.profiles {
		scratch.eligible[i] = isProfileEligible(job, &c.profiles[i])
	}
	spec := job.Spec
	holders := c.view.imageIndex[spec.Image]
	c.current = jobContext{
		job:              job,
		shapeDecidesFit:  !spec.SingleZone && !spec.SpreadZones && job.AvoidedMachine == "",
		imageHolders:     holders,
		imageMayBeCached: holders != nil || len(c.input.Nodes) > 0,
		shape: demandShape{
			need:            fleet.TaskResources(spec),
			machineTypes:    strings.Join(spec.MachineTypes, " "),
			zone:            spec.Zone,
			allowSpot:       spec.AllowSpot,
			cannotAwaitBoot: job.CannotAwaitBoot,
			waitedPastBoot:  job.WaitedPastBoot,
			spotUnavailable: job.SpotUnavailable,
		},
	}
}

// shapeAt returns the demandShape of the current job at a horizon.
func (c *cycle) shapeAt(at horizon) demandShape {
	shape := c.current.shape
	shape.horizon = at
	if c.current.imageRequired {
		shape.requiredImage = c.current.job.Spec.Image
	}
	if at == byPreemption {
		shape.preemptionRule = c.preemptionRuleOf(c.current.job)
	}
	return shape
}

// isKnownNotToFit reports whether the cycle has found out already that no task of this shape fits, or too few
// for the job if it is all-or-nothing. If not, the caller has to search nodes for the job.
func (c *cycle) isKnownNotToFit(job *Job, shape demandShape) bool {
	if c.current.shapeDecidesFit {
		maxTasks, known := c.maxFit[shape]
		if known && (maxTasks == 0 || isAllOrNothing(job) && maxTasks < job.PendingTasks) {
			return true
		}
	}
	c.current.hasSearched = true
	return false
}

// unfitShape identifies jobs of which nothing fits at any horizon, nor by preemption. Looking it up takes one look-up
// for a job that is known not to fit, in place of one for each horizon.
type unfitShape struct {
	demandShape
	wholeTasks int // number of tasks that must fit together, 0 if each may start alone
}

// unfitShapeOf returns the unfitShape of the current job.
func (c *cycle) unfitShapeOf(job *Job) unfitShape {
	shape := unfitShape{demandShape: c.shapeAt(byPreemption)}
	if isAllOrNothing(job) {
		shape.wholeTasks = job.PendingTasks
	}
	return shape
}

// recordUnfit records that nothing of the current job fits, if all of that was known from jobs of its shape.
func (c *cycle) recordUnfit(job *Job) {
	if !c.current.hasSearched {
		c.unfit[c.unfitShapeOf(job)] = struct{}{}
	}
}

// isKnownUnfit reports whether nothing of the current job fits because nothing of a job of the same shape did. Jobs
// that look for machines with their image first are tried one by one.
func (c *cycle) isKnownUnfit(job *Job) bool {
	if len(c.unfit) == 0 || !c.current.shapeDecidesFit || job.FetchDelaysStart {
		return false
	}
	_, known := c.unfit[c.unfitShapeOf(job)]
	return known
}
