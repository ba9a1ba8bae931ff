package sched

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// referenceCycle is a simple implementation of the cycle that visits every node for every job. Tests compare the
// plans of cycle with it, and the benchmark compares the speed. It is the implementation from before the class
// index, with two changes: it takes the current Input, and it orders preemption options of equal loss on a node.
type referenceCycle struct {
	input             *Input
	plan              *Plan
	free              [horizonCount][]fleet.Resources
	openNodes         [horizonCount]referenceOpenNodes
	victims           [][]Victim // by node, in stop order; nil until one is needed
	lowestVictimLevel int
	smallestNeed      fleet.Resources        // the least of each resource that any task of the window needs
	maxFit            map[referenceShape]int // upper bound of the tasks that fit, for shapes of which not all wanted tasks fitted
	reserved          []bool                 // by node: reserved for the job that has the reservation
	imageRequired     bool                   // use only nodes that have the job's image
	hasSearched       bool                   // nodes were searched for the current job

	// Memory that jobs reuse. Without reuse, these lists made up nearly all allocations of a leader with
	// 2,700 machines.
	optionsBuffer     []referenceOption
	preemptionsBuffer []referencePreemptionOption
}

// runReference runs one reference cycle.
func runReference(in *Input) *Plan {
	r := &referenceCycle{
		input:             in,
		plan:              &Plan{},
		lowestVictimLevel: math.MaxInt,
		maxFit:            map[referenceShape]int{},
		reserved:          make([]bool, len(in.Nodes)),
	}
	for at := range r.free {
		r.free[at] = make([]fleet.Resources, len(in.Nodes))
	}
	for i := range in.Nodes {
		node := &in.Nodes[i]
		r.free[atOnce][i], r.free[afterStops][i], r.free[afterBoot][i] = node.Free, node.FreeAfterStops, node.FreeAfterBoot
		for _, v := range node.Victims {
			r.lowestVictimLevel = min(r.lowestVictimLevel, v.Level)
		}
	}
	queue := slices.Clone(in.Jobs)
	SortQueue(queue, 4*in.ReserveAfterS)
	r.scheduleQueue(queue)
	r.plan.FreeAfterStops, r.plan.FreeAfterBoot = r.free[afterStops], r.free[afterBoot]
	return r.plan
}

// scheduleQueue tries the jobs of a queue, window after window, until Input.Window of them had nodes searched for them.
// Jobs that their team's limit excludes are in no window. Jobs with GPUs are placed in the first pass of a window,
// CPU-only jobs in the second, on what is left. A CPU-only job that has waited long is placed in the first pass, too.
func (r *referenceCycle) scheduleQueue(queue []*Job) {
	inSecondPass := func(job *Job) bool { return job.Spec.Gpus == 0 && job.WaitedS <= r.input.ReserveAfterS }
	var reservable *Job
	for _, job := range queue[:min(len(queue), r.input.Window)] {
		if reservable == nil || inSecondPass(reservable) && !inSecondPass(job) {
			reservable = job
		}
	}
	for places := r.input.Window; places > 0 && len(queue) > 0; {
		var window []*Job
		for ; len(queue) > 0 && len(window) < places; queue = queue[1:] {
			if r.tasksWithinTeamLimit(queue[0]) > 0 {
				window = append(window, queue[0])
			}
		}
		r.plan.JobsConsidered += len(window)
		r.buildOpenNodes(window)
		for pass := range 2 {
			for _, job := range window {
				if inSecondPass(job) != (pass == 1) {
					continue
				}
				r.hasSearched = false
				r.scheduleJob(job, job == reservable)
				if r.hasSearched {
					places--
				}
			}
		}
	}
}

// scheduleJob starts the tasks of a job that fit now, and plans for the rest as cycle.scheduleJob does.
func (r *referenceCycle) scheduleJob(j *Job, mayReserve bool) {
	want := r.tasksWithinTeamLimit(j)
	if want == 0 {
		return
	}
	remaining := want
	if j.FetchDelaysStart {
		// The job would start too late on a machine without its image: machines that have the image are
		// tried first, even if tasks of lower priority must be preempted there.
		r.imageRequired = true
		remaining -= r.fitTasks(j, remaining, atOnce, true)
		if remaining > 0 {
			remaining -= r.fitTasks(j, remaining, afterStops, false)
		}
		if remaining > 0 {
			remaining -= r.preempt(j, remaining)
		}
		r.imageRequired = false
		if remaining == 0 {
			return
		}
	}
	if remaining -= r.fitTasks(j, remaining, atOnce, true); remaining == 0 {
		return
	}
	if remaining -= r.fitTasks(j, remaining, afterStops, false); remaining == 0 {
		return // the tasks being stopped will free enough capacity
	}
	if remaining -= r.preempt(j, remaining); remaining == 0 {
		return
	}
	nothingFits := remaining == want
	if remaining -= r.fitTasks(j, remaining, afterBoot, false); remaining == 0 {
		return // booting machines will run the rest
	}
	if mayReserve && nothingFits && j.WaitedS > r.input.ReserveAfterS {
		r.reserveNodes(j, remaining)
	}
	if len(r.plan.Shortfalls) < r.input.Window {
		r.plan.Shortfalls = append(r.plan.Shortfalls, Shortfall{Job: j, Count: remaining})
	}
}

// tasksWithinTeamLimit returns how many pending tasks of a job may start under the limit of its team. It is 0 for
// an all-or-nothing job that would exceed the limit.
func (r *referenceCycle) tasksWithinTeamLimit(j *Job) int {
	want := j.PendingTasks
	team := r.input.Teams[j.Spec.Team]
	if team == nil {
		return 0
	}
	for _, resource := range [...]struct{ limit, used, need float64 }{
		{team.Limit.Cores, team.Used.Cores, j.Spec.Cores},
		{team.Limit.Gpus, team.Used.Gpus, j.Spec.Gpus},
	} {
		if resource.limit > 0 && resource.need > 0 {
			want = min(want, int((resource.limit-resource.used+1e-6)/resource.need))
		}
	}
	if want < j.PendingTasks && isAllOrNothing(j) {
		return 0
	}
	return max(want, 0)
}

// referenceOption is a node on which tasks of a job fit.
type referenceOption struct {
	node          int
	count         int
	hasImage      bool
	activeFetches int
	cost          float64
	residual      float64
}

// fitTasks places up to want tasks of a job on capacity that is free at a horizon, and returns how many it placed.
// If start is set, the plan launches these tasks. Otherwise it only books the capacity.
func (r *referenceCycle) fitTasks(j *Job, want int, at horizon, start bool) int {
	shape, shapeDecidesFit := r.shapeAt(j, at)
	if maxTasks, known := r.maxFit[shape]; shapeDecidesFit && known && (maxTasks == 0 || isAllOrNothing(j) && maxTasks < j.PendingTasks) {
		return 0 // the same shape was tried earlier in the cycle and did not fit
	}
	r.hasSearched = true
	var placements []Placement
	if j.Spec.SingleZone {
		placements = r.chooseSingleZone(j, want, at)
	} else {
		placements = r.chooseNodes(j, want, at, "")
	}
	placed := countTasks(placements)
	if shapeDecidesFit && placed < want {
		r.maxFit[shape] = placed
	}
	if placed == 0 || (isAllOrNothing(j) && placed < j.PendingTasks) {
		return 0
	}
	r.commitPlacements(j, placements, start)
	return placed
}

// chooseSingleZone chooses nodes in the zone where the most tasks fit; of such zones, the one where they need the
// fewest machines. A job that has live attempts in a zone stays there.
func (r *referenceCycle) chooseSingleZone(j *Job, want int, at horizon) []Placement {
	for zone, attempts := range j.LiveByZone {
		if attempts > 0 {
			return r.chooseNodes(j, want, at, zone)
		}
	}
	var best []Placement
	for _, zone := range r.zoneNames() {
		placements := r.chooseNodes(j, want, at, zone)
		if countTasks(placements) > countTasks(best) || (countTasks(placements) == countTasks(best) && len(placements) < len(best)) {
			best = placements
		}
	}
	return best
}

func (r *referenceCycle) zoneNames() []string {
	var zones []string
	for i := range r.input.Nodes {
		if nodeZone := r.input.Nodes[i].Zone; !slices.Contains(zones, nodeZone) {
			zones = append(zones, nodeZone)
		}
	}
	slices.Sort(zones)
	return zones
}

// referenceZoneAllowance returns how many more tasks of a job may be placed in a zone.
func referenceZoneAllowance(j *Job, zone string) int {
	if !j.Spec.SpreadZones {
		return j.Spec.TaskCount
	}
	return (j.Spec.TaskCount+1)/2 - j.LiveByZone[zone]
}

// isNodeEligible reports whether a job may use a node, regardless of the node's free capacity.
func (r *referenceCycle) isNodeEligible(j *Job, i int, zone string) bool {
	n := &r.input.Nodes[i]
	waitsForSpot := !j.CannotAwaitBoot || n.ScaleInCandidate && !j.WaitedPastBoot
	if !n.Spot && !n.RunsOnDemandWork && j.Spec.AllowSpot && !j.SpotUnavailable && waitsForSpot {
		return false
	}
	if r.imageRequired && (!n.Registered || !slices.Contains(n.Images, j.Spec.Image)) {
		return false
	}
	return !r.reserved[i] && (zone == "" || n.Zone == zone) &&
		IsEligible(j.Spec, n.Type, n.Zone, n.Spot) && (j.AvoidedMachine == "" || n.ID != j.AvoidedMachine)
}

// referenceTaskPrice returns the hourly price of a machine times the task's dominant share of its resources.
func referenceTaskPrice(n *Node, need fleet.Resources) float64 {
	share := 0.0
	for _, resource := range [...]struct{ need, capacity float64 }{
		{need.Cores, n.Capacity.Cores},
		{need.Gpus, n.Capacity.Gpus},
		{need.RAM, n.Capacity.RAM},
	} {
		if resource.capacity > 0 {
			share = max(share, resource.need/resource.capacity)
		}
	}
	return n.HourlyPrice * share
}

// referencePlacementCost returns what placing a task on a node costs per hour. It is 0 for a task that may use spot
// machines on a machine that other tasks keep running anyway.
func referencePlacementCost(j *Job, n *Node) float64 {
	if j.Spec.AllowSpot && n.RunsOnDemandWork {
		return 0
	}
	return referenceTaskPrice(n, fleet.TaskResources(j.Spec))
}

// options lists the nodes on which tasks of a job fit, with at most want tasks on each. The list is valid until the
// next call.
func (r *referenceCycle) options(j *Job, want int, at horizon, zone string) []referenceOption {
	need := fleet.TaskResources(j.Spec)
	options := r.optionsBuffer[:0]
	for _, i := range r.candidateNodes(at) {
		free := r.free[at][i]
		tasks := free.CountFitting(need, want)
		if tasks == 0 || !r.isNodeEligible(j, i, zone) {
			continue
		}
		node := &r.input.Nodes[i]
		residual := free.Gpus - float64(tasks)*need.Gpus + (free.Cores-float64(tasks)*need.Cores)/max(node.Capacity.Cores, 1)
		if need.Gpus == 0 {
			residual = free.Gpus
		}
		option := referenceOption{node: i, count: tasks, cost: referencePlacementCost(j, node), residual: residual}
		if node.Registered {
			option.hasImage, option.activeFetches = slices.Contains(node.Images, j.Spec.Image), node.ActiveFetches
		}
		options = append(options, option)
	}
	r.optionsBuffer = options
	return options
}

// compareOptions returns a comparison that sorts the better option first, by the criteria of compareGroups; ties
// are broken by node ID.
func (r *referenceCycle) compareOptions(j *Job) func(a, b referenceOption) int {
	return func(a, b referenceOption) int {
		nodeA, nodeB := &r.input.Nodes[a.node], &r.input.Nodes[b.node]
		first, second := cmp.Compare(a.cost, b.cost), cmp.Compare(boolToInt(b.hasImage), boolToInt(a.hasImage))
		if j.FetchDelaysStart {
			first, second = second, first
		}
		fetches := 0
		if second == 0 && !a.hasImage {
			fetches = cmp.Compare(a.activeFetches, b.activeFetches)
		}
		onDemandWork := cmp.Compare(boolToInt(nodeB.RunsOnDemandWork), boolToInt(nodeA.RunsOnDemandWork))
		count, residual := cmp.Compare(b.count, a.count), cmp.Compare(a.residual, b.residual)
		tieBreak := cmp.Or(cmp.Compare(nodeA.ID, nodeB.ID), cmp.Compare(a.node, b.node))
		if j.FetchDelaysStart || j.Spec.AllowSpot {
			return cmp.Or(first, second, fetches, count, residual, tieBreak)
		}
		return cmp.Or(first, count, onDemandWork, residual, second, fetches, tieBreak)
	}
}

// chooseNodes chooses the best nodes for up to want tasks.
func (r *referenceCycle) chooseNodes(j *Job, want int, at horizon, zone string) []Placement {
	bestFirst := referenceHeap[referenceOption]{items: r.options(j, want, at, zone), compare: r.compareOptions(j)}
	var placements []Placement
	takenByZone := map[string]int{}
	for option := range bestFirst.all() {
		nodeZone := r.input.Nodes[option.node].Zone
		tasks := min(option.count, want, referenceZoneAllowance(j, nodeZone)-takenByZone[nodeZone])
		if tasks <= 0 {
			continue
		}
		placements = append(placements, Placement{Job: j, Node: option.node, Count: tasks})
		takenByZone[nodeZone] += tasks
		if want -= tasks; want == 0 {
			break
		}
	}
	return placements
}

// commitPlacements books placements: it subtracts them from the free capacity at every horizon, so that no later job
// of the window uses it, and adds them to the usage of the team.
func (r *referenceCycle) commitPlacements(j *Job, placements []Placement, start bool) {
	need := fleet.TaskResources(j.Spec)
	placed := 0
	for _, placement := range placements {
		for range placement.Count {
			for at := range r.free {
				r.free[at][placement.Node] = r.free[at][placement.Node].Sub(need)
			}
		}
		placed += placement.Count
		j.LiveByZone[r.input.Nodes[placement.Node].Zone] += placement.Count
	}
	j.LiveAttempts += placed
	j.PendingTasks -= placed
	team := r.input.Teams[j.Spec.Team]
	team.Used.Cores += float64(placed) * need.Cores
	team.Used.Gpus += float64(placed) * need.Gpus
	if start {
		r.plan.Placements = append(r.plan.Placements, placements...)
		machineShare := float64(len(placements)) / float64(2*max(1, len(r.input.Nodes)))
		r.plan.Objective += r.input.PriorityWeights[j.Level] * (1 - machineShare)
	}
}

// reserveNodes reserves nodes for want tasks of a job, so that later jobs start on other nodes. It takes the nodes
// with the most free capacity first, and stops once their total capacity, in use or free, would hold the tasks.
func (r *referenceCycle) reserveNodes(j *Job, want int) {
	need := fleet.TaskResources(j.Spec)
	var nodes []int
	for i := range r.input.Nodes {
		if r.isNodeEligible(j, i, "") && r.input.Nodes[i].Capacity.CountFitting(need, 1) > 0 {
			nodes = append(nodes, i)
		}
	}
	slices.SortFunc(nodes, func(a, b int) int {
		freeA, freeB := r.free[afterStops][a], r.free[afterStops][b]
		return cmp.Or(cmp.Compare(freeB.Gpus, freeA.Gpus), cmp.Compare(freeB.Cores, freeA.Cores), cmp.Compare(a, b))
	})
	reservedByZone := map[string]int{}
	jobZone := ""
	for _, i := range nodes {
		if want <= 0 {
			break
		}
		nodeZone := r.input.Nodes[i].Zone
		if j.Spec.SingleZone && jobZone != "" && nodeZone != jobZone {
			continue
		}
		tasks := min(r.input.Nodes[i].Capacity.CountFitting(need, want), referenceZoneAllowance(j, nodeZone)-reservedByZone[nodeZone])
		if tasks <= 0 {
			continue
		}
		jobZone = nodeZone
		reservedByZone[nodeZone] += tasks
		want -= tasks
		r.reserved[i] = true
	}
	r.plan.ReservedFor = j.Spec.UID
}

// referenceOpenNodes are the nodes on which the smallest need of the window may fit at a horizon. They include nodes
// that have become full until candidateNodes drops them.
type referenceOpenNodes struct {
	nodes    []int
	contains []bool // by node
}

// buildOpenNodes lists the open nodes at each horizon for the jobs of a window.
func (r *referenceCycle) buildOpenNodes(window []*Job) {
	if len(window) == 0 {
		return
	}
	smallest := fleet.TaskResources(window[0].Spec)
	for _, j := range window[1:] {
		need := fleet.TaskResources(j.Spec)
		smallest.Cores = min(smallest.Cores, need.Cores)
		smallest.Gpus = min(smallest.Gpus, need.Gpus)
		smallest.RAM = min(smallest.RAM, need.RAM)
	}
	r.smallestNeed = smallest
	for at := range r.openNodes {
		open := &r.openNodes[at]
		open.nodes = nil
		open.contains = make([]bool, len(r.input.Nodes))
		for i := range r.input.Nodes {
			if r.free[at][i].CountFitting(r.smallestNeed, 1) > 0 {
				open.nodes, open.contains[i] = append(open.nodes, i), true
			}
		}
	}
}

// candidateNodes drops the open nodes that have become full at a horizon, and returns the others.
func (r *referenceCycle) candidateNodes(at horizon) []int {
	open := &r.openNodes[at]
	open.nodes = slices.DeleteFunc(open.nodes, func(i int) bool {
		open.contains[i] = r.free[at][i].CountFitting(r.smallestNeed, 1) > 0
		return !open.contains[i]
	})
	return open.nodes
}

// releaseCapacity adds the resources of a task that is being stopped to the capacity of its node that is free after
// stops and after boot.
func (r *referenceCycle) releaseCapacity(node int, released fleet.Resources) {
	clear(r.maxFit)
	for _, at := range [...]horizon{afterStops, afterBoot} {
		r.free[at][node] = r.free[at][node].Add(released)
		if open := &r.openNodes[at]; !open.contains[node] && r.free[at][node].CountFitting(r.smallestNeed, 1) > 0 {
			open.nodes, open.contains[node] = append(open.nodes, node), true
		}
	}
}

// victimsInStopOrder returns the victims by node, in the order in which they are stopped.
func (r *referenceCycle) victimsInStopOrder() [][]Victim {
	if r.victims == nil {
		r.victims = make([][]Victim, len(r.input.Nodes))
		for i := range r.input.Nodes {
			r.victims[i] = slices.SortedFunc(slices.Values(r.input.Nodes[i].Victims), func(a, b Victim) int {
				loss := cmp.Compare(a.lossS(r.input.Now), b.lossS(r.input.Now))
				return cmp.Or(cmp.Compare(a.Level, b.Level), loss, cmp.Compare(a.Serial, b.Serial))
			})
		}
	}
	return r.victims
}

// referenceShape identifies jobs whose tasks fit the same nodes at a horizon, like demandShape.
type referenceShape struct {
	horizon                         horizon
	preemptorLevel                  int // set only for byPreemption
	need                            fleet.Resources
	machineTypes, zone              string
	allowSpot                       bool
	cannotAwaitBoot, waitedPastBoot bool
	spotUnavailable                 bool
	requiredImage                   string // image that the nodes must have; "" if none is required
}

// shapeAt returns the shape of a job at a horizon. shapeDecidesFit is false if how many tasks fit depends on more than
// the shape.
func (r *referenceCycle) shapeAt(j *Job, at horizon) (shape referenceShape, shapeDecidesFit bool) {
	spec := j.Spec
	if spec.SingleZone || spec.SpreadZones || j.AvoidedMachine != "" {
		return shape, false
	}
	shape = referenceShape{
		horizon:         at,
		need:            fleet.TaskResources(spec),
		machineTypes:    strings.Join(spec.MachineTypes, " "),
		zone:            spec.Zone,
		allowSpot:       spec.AllowSpot,
		cannotAwaitBoot: j.CannotAwaitBoot,
		waitedPastBoot:  j.WaitedPastBoot,
		spotUnavailable: j.SpotUnavailable,
	}
	if r.imageRequired {
		shape.requiredImage = spec.Image
	}
	if at == byPreemption {
		shape.preemptorLevel = j.Level
	}
	return shape, true
}
