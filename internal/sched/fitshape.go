package sched

import (
	"strings"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// byPreemption stands for the room that a job gets by preempting others.
const byPreemption = horizons

// demandShape is an equivalence class of jobs at a horizon: those that fit the same nodes. Room only
// shrinks during a cycle, but for what is stopped: if so many tasks of a shape fitted, no more fit
// later.
type demandShape struct {
	horizon                         horizon
	preemptor                       preemptor // of a job that preempts
	need                            fleet.Resources
	machineTypes, zone              string
	allowSpot                       bool
	cannotAwaitBoot, waitedPastBoot bool
	spotUnavailable                 bool
	requiredImage                   string // if only nodes that have it will do
}

// prepareFor prepares the cycle for a job: which machine profiles it may use, and its own shape.
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

// shapeAt returns the shape of the current job at a horizon.
func (c *cycle) shapeAt(at horizon) demandShape {
	shape := c.current.shape
	shape.horizon = at
	if c.current.warmOnly {
		shape.requiredImage = c.current.job.Spec.Image
	}
	if at == byPreemption {
		shape.preemptor = c.preemptorOf(c.current.job)
	}
	return shape
}

// isKnownNotToFit reports whether a job of the same shape has found too little room for this one.
func (c *cycle) isKnownNotToFit(job *Job, shape demandShape) bool {
	if !c.current.shapeDecidesFit {
		return false
	}
	maxTasks, known := c.maxFit[shape]
	return known && (maxTasks == 0 || startsWhole(job) && maxTasks < job.PendingTasks)
}
