package sched

import (
	"slices"

	"github.com/bits-and-blooms/bitset"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// horizon says which of a node's free amounts a fit uses.
type horizon int

// The horizons: what is free now, once the tasks being stopped have ended, and once machines are up.
const (
	atOnce horizon = iota
	afterStops
	afterBoot
	horizons
)

// cycle is the state of one scheduling cycle.
type cycle struct {
	input             *Input
	view              *View
	scratch           *scratchSpace
	plan              *Plan
	profiles          []nodeProfile
	free              [horizons][]fleet.Resources // by horizon and slot
	openClasses       [horizons][]int32           // IDs of the classes that have room for smallestNeed
	smallestNeed      fleet.Resources             // no task of the window needs less of any resource
	lowestVictimLevel int
	sortedVictims     map[int32][]Victim  // by slot, in stop order: of the nodes whose victims were sorted
	maxFit            map[demandShape]int // how many tasks at most fit, of shapes that found too little room
	current           jobContext
}

// jobContext is what a cycle has prepared for the job that it is placing.
type jobContext struct {
	job              *Job
	shape            demandShape
	shapeDecidesFit  bool           // what fits of the job depends on its shape only
	warmOnly         bool           // only nodes that have the job's image will do
	imageHolders     *bitset.BitSet // slots of the view that have the job's image
	imageMayBeCached bool           // some node may have that image
}

// patienceFactor is how many times Input.ReserveAfterS an array that has missed its deadline lets others
// of its priority pass.
const patienceFactor = 4

// Run does one cycle. It updates the jobs and teams of the input as it places and stops tasks. The view
// must not be used by anyone else meanwhile: Run compacts it and works in its scratch memory.
func Run(in *Input) *Plan {
	c := &cycle{input: in, view: in.View, plan: &Plan{}}
	if c.view == nil {
		c.view = NewView()
	}
	if in.Previous == nil { // the slots of a plan are those of its cycle: they must not move
		c.view.compact()
	}
	c.loadNodes()
	window := slices.Clone(in.Jobs)
	SortQueue(window, patienceFactor*in.ReserveAfterS)
	if len(window) > in.Window {
		window = window[:in.Window]
	}
	c.plan.JobsConsidered = len(window)
	if len(window) > 0 {
		c.buildClassIndex(smallestNeed(window))
	}
	// GPU work goes first, CPU-only work onto what is left; a CPU-only job that has waited long keeps
	// its turn.
	cpuOnly := func(job *Job) bool { return job.Spec.Gpus == 0 && job.WaitedS <= in.ReserveAfterS }
	first := true
	for pass := range 2 {
		for _, job := range window {
			if cpuOnly(job) != (pass == 1) {
				continue
			}
			c.scheduleJob(job, first)
			first = false
		}
	}
	c.plan.FreeAfterStops, c.plan.FreeAfterBoot = c.free[afterStops], c.free[afterBoot]
	return c.plan
}

// smallestNeed returns the least of each resource that any job's tasks need.
func smallestNeed(window []*Job) fleet.Resources {
	smallest := fleet.TaskResources(window[0].Spec)
	for _, job := range window[1:] {
		need := fleet.TaskResources(job.Spec)
		smallest = fleet.Resources{
			Cores: min(smallest.Cores, need.Cores),
			Gpus:  min(smallest.Gpus, need.Gpus),
			RAM:   min(smallest.RAM, need.RAM),
		}
	}
	return smallest
}

// scheduleJob starts what fits of a job and plans for the rest: room that is becoming free, preemption,
// machines that boot, and at last a shortfall. Only the first job that a cycle places can get a
// reservation.
func (c *cycle) scheduleJob(job *Job, first bool) {
	want := c.tasksWithinTeamLimit(job)
	if want == 0 {
		return
	}
	c.prepareFor(job)
	left := want
	if job.FetchDelaysStart {
		// Its start would be late on a machine without its image: machines that have the image come
		// first, even if work of lower priority must leave them.
		if left = c.scheduleOnWarmNodes(job, left); left == 0 {
			return
		}
	}
	if left -= c.fitTasks(job, left, atOnce, true); left == 0 {
		return
	}
	if left -= c.fitTasks(job, left, afterStops, false); left == 0 {
		return // tasks that are being stopped leave room for it
	}
	if left -= c.preempt(job, left); left == 0 {
		return
	}
	nothingFits := left == want
	if left -= c.fitTasks(job, left, afterBoot, false); left == 0 {
		return // a booting machine will run it
	}
	if first && nothingFits && job.WaitedS > c.input.ReserveAfterS {
		c.reserveNodes(job, left)
	}
	c.plan.Shortfalls = append(c.plan.Shortfalls, Shortfall{Job: job, Count: left})
}

// scheduleOnWarmNodes places up to left tasks on nodes that have the job's image, and returns how many
// remain.
func (c *cycle) scheduleOnWarmNodes(job *Job, left int) int {
	c.current.warmOnly = true
	left -= c.fitTasks(job, left, atOnce, true)
	if left > 0 {
		left -= c.fitTasks(job, left, afterStops, false)
	}
	if left > 0 {
		left -= c.preempt(job, left)
	}
	c.current.warmOnly = false
	return left
}

// tasksWithinTeamLimit returns how many pending tasks of a job the limit of its team allows.
func (c *cycle) tasksWithinTeamLimit(job *Job) int {
	team := c.input.Teams[job.Spec.Team]
	if team == nil {
		return 0
	}
	want := tasksWithin(job.PendingTasks, team.Limit.Cores, team.Used.Cores, job.Spec.Cores)
	want = tasksWithin(want, team.Limit.Gpus, team.Used.Gpus, job.Spec.Gpus)
	if want < job.PendingTasks && startsWhole(job) {
		return 0
	}
	return max(want, 0)
}

// tasksWithin returns how many of the wanted tasks fit under the limit of one resource; a limit of 0
// means no limit.
func tasksWithin(want int, limit, used, need float64) int {
	if limit <= 0 || need <= 0 {
		return want
	}
	return min(want, int((limit-used+roundingTolerance)/need))
}

// roundingTolerance allows for the rounding of sums of fractions of cores and GPUs.
const roundingTolerance = 1e-6
