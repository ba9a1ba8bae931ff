package sched

import (
	"slices"

	"github.com/bits-and-blooms/bitset"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// horizon is the point in time whose free capacity a placement uses.
type horizon int

// The horizons: now, once the tasks being stopped have ended, and once booting machines are up as well.
const (
	atOnce horizon = iota
	afterStops
	afterBoot
	horizonCount
)

// cycle is the state of one scheduling cycle.
type cycle struct {
	input             *Input
	view              *View
	scratch           *scratchSpace
	plan              *Plan
	profiles          []nodeProfile
	free              [horizonCount][]fleet.Resources // by horizon and slot
	openClasses       [horizonCount][]int32           // IDs of the classes whose nodes have smallestNeed free
	smallestNeed      fleet.Resources                 // the least of each resource that any task of the window needs
	lowestVictimLevel int
	sortedVictims     map[int32][]Victim  // by slot, in stop order; only nodes whose victims were needed in order
	maxFit            map[demandShape]int // upper bound of the tasks that fit, for shapes of which not all wanted tasks fitted
	unfit             map[unfitShape]struct{}
	isIndexed         bool // the class index is built
	current           jobContext
}

// jobContext holds what a cycle has computed for the job that it is placing.
type jobContext struct {
	job              *Job
	hasSearched      bool // nodes were searched for it: it is not known from jobs of its shape what fits
	shape            demandShape
	shapeDecidesFit  bool           // how many of its tasks fit depends only on its shape
	imageRequired    bool           // use only nodes that have the job's image
	imageHolders     *bitset.BitSet // slots of the view that have the job's image
	imageMayBeCached bool           // some node may have the job's image
}

// maxYieldFactor times Input.ReserveAfterS is how long an array that can no longer meet its deadline goes
// after other jobs of its priority.
const maxYieldFactor = 4

// Run runs one scheduling cycle. It updates the jobs and teams of the input as it places and stops tasks.
// The caller must not use the view concurrently: Run compacts it and uses its scratch memory.
func Run(in *Input) *Plan {
	c := &cycle{input: in, view: in.View, plan: &Plan{}}
	if c.view == nil {
		c.view = NewView()
	}
	if in.Previous == nil { // compaction changes slots, and Previous refers to nodes by slot
		c.view.compact()
	}
	c.loadNodes()
	c.unfit = map[unfitShape]struct{}{}
	queue := slices.Clone(in.Jobs)
	SortQueue(queue, maxYieldFactor*in.ReserveAfterS)
	c.scheduleQueue(queue)
	c.plan.FreeAfterStops, c.plan.FreeAfterBoot = c.free[afterStops], c.free[afterBoot]
	return c.plan
}

// smallestNeed returns the least of each resource that a task of any job in the window needs.
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

// indexFor builds the class index for the jobs of a window, unless it was built for an equal or smaller need.
func (c *cycle) indexFor(window []*Job) {
	smallest := smallestNeed(window)
	if c.isIndexed {
		covered := fleet.Resources{
			Cores: min(smallest.Cores, c.smallestNeed.Cores),
			Gpus:  min(smallest.Gpus, c.smallestNeed.Gpus),
			RAM:   min(smallest.RAM, c.smallestNeed.RAM),
		}
		if covered == c.smallestNeed {
			return
		}
		smallest = covered
	}
	c.buildClassIndex(smallest)
	c.isIndexed = true
}

// scheduleJob starts the tasks of a job that fit now. For the remaining tasks it tries, in this order,
// capacity that stopping tasks are about to free, preemption, and booting machines; what still does not
// fit becomes a shortfall. Only one job of a cycle can get a reservation.
func (c *cycle) scheduleJob(job *Job, mayReserve bool) {
	want := c.tasksWithinTeamLimit(job)
	if want == 0 {
		return
	}
	c.prepareFor(job)
	if !mayReserve && c.isKnownUnfit(job) {
		c.addShortfall(job, want)
		return
	}
	remaining := want
	if job.FetchDelaysStart {
		// The job would start too late on a machine without its image: machines that have the image are
		// tried first, even if tasks of lower priority must be preempted there.
		if remaining = c.scheduleOnNodesWithImage(job, remaining); remaining == 0 {
			return
		}
	}
	if remaining -= c.fitTasks(job, remaining, atOnce, true); remaining == 0 {
		return
	}
	if remaining -= c.fitTasks(job, remaining, afterStops, false); remaining == 0 {
		return // the tasks being stopped will free enough capacity
	}
	if remaining -= c.preempt(job, remaining); remaining == 0 {
		return
	}
	nothingFits := remaining == want
	if remaining -= c.fitTasks(job, remaining, afterBoot, false); remaining == 0 {
		return // booting machines will run the rest
	}
	if mayReserve && nothingFits && job.WaitedS > c.input.ReserveAfterS {
		c.reserveNodes(job, remaining)
	}
	if nothingFits && remaining == want {
		c.recordUnfit(job)
	}
	c.addShortfall(job, remaining)
}

// addShortfall adds a shortfall to the plan, which has at most Input.Window of them: they are for scaling out, whose
// cost they bound.
func (c *cycle) addShortfall(job *Job, count int) {
	if len(c.plan.Shortfalls) < c.input.Window {
		c.plan.Shortfalls = append(c.plan.Shortfalls, Shortfall{Job: job, Count: count})
	}
}

// scheduleOnNodesWithImage places up to remaining tasks on nodes that have the job's image, and returns how
// many tasks are still to be placed.
func (c *cycle) scheduleOnNodesWithImage(job *Job, remaining int) int {
	c.current.imageRequired = true
	remaining -= c.fitTasks(job, remaining, atOnce, true)
	if remaining > 0 {
		remaining -= c.fitTasks(job, remaining, afterStops, false)
	}
	if remaining > 0 {
		remaining -= c.preempt(job, remaining)
	}
	c.current.imageRequired = false
	return remaining
}

// tasksWithinTeamLimit returns how many pending tasks of a job may start under the limit of its team. It is
// 0 for an all-or-nothing job that would exceed the limit.
func (c *cycle) tasksWithinTeamLimit(job *Job) int {
	team := c.input.Teams[job.Spec.Team]
	if team == nil {
		return 0
	}
	want := tasksWithin(job.PendingTasks, team.Limit.Cores, team.Used.Cores, job.Spec.Cores)
	want = tasksWithin(want, team.Limit.Gpus, team.Used.Gpus, job.Spec.Gpus)
	if want < job.PendingTasks && isAllOrNothing(job) {
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

// roundingTolerance absorbs rounding errors in sums of fractional cores and GPUs.
const roundingTolerance = 1e-6
