package sched

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// referenceCycle is the cycle as it was before nodes were grouped into classes: it visits every node for
// every job. It is the oracle that cycles are compared with, and what their speed is measured against. It differs
// from what it was in the form of its input, and in that preemption options of equal loss on one node have
// an order.
type referenceCycle struct {
	input             *Input
	plan              *Plan
	free              [horizonCount][]fleet.Resources
	openNodes         [horizonCount]referenceOpenNodes
	victims           [][]Victim // by node, in stop order; nil until one is needed
	lowestVictimLevel int
	smallestNeed      fleet.Resources        // no task of the window needs less of any resource
	maxFit            map[referenceShape]int // how many tasks at most fit, of shapes that were tried
	reserved          []bool                 // nodes of the job that has a reservation
	imageRequired     bool                   // only nodes that have the job's image

	// Memory that the next job reuses: allocated again for each job, these lists were nearly all that a
	// leader of 2,700 machines allocated.
	optionsBuffer     []referenceOption
	preemptionsBuffer []referencePreemption
}

// runReference does one cycle.
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
		n := &in.Nodes[i]
		r.free[atOnce][i], r.free[afterStops][i], r.free[afterBoot][i] = n.Free, n.FreeAfterStops, n.FreeAfterBoot
		for _, v := range n.Victims {
			r.lowestVictimLevel = min(r.lowestVictimLevel, v.Level)
		}
	}
	window := slices.Clone(in.Jobs)
	SortQueue(window, 4*in.ReserveAfterS)
	if len(window) > in.Window {
		window = window[:in.Window]
	}
	r.plan.JobsConsidered = len(window)
	r.buildOpenNodes(window)
	// GPU work goes first, CPU-only work onto what is left; a CPU-only job that has waited long keeps
	// its turn.
	cpuOnly := func(j *Job) bool { return j.Spec.Gpus == 0 && j.WaitedS <= in.ReserveAfterS }
	first := true
	for pass := range 2 {
		for _, j := range window {
			if cpuOnly(j) != (pass == 1) {
				continue
			}
			r.scheduleJob(j, first)
			first = false
		}
	}
	r.plan.FreeAfterStops, r.plan.FreeAfterBoot = r.free[afterStops], r.free[afterBoot]
	return r.plan
}

// scheduleJob starts what fits of a job and plans for the rest.
func (r *referenceCycle) scheduleJob(j *Job, first bool) {
	want := r.tasksWithinTeamLimit(j)
	if want == 0 {
		return
	}
	left := want
	if j.FetchDelaysStart {
		// Its start would be late on a machine without its image: machines that have the image come
		// first, even if work of lower priority must leave them.
		r.imageRequired = true
		left -= r.fitTasks(j, left, atOnce, true)
		if left > 0 {
			left -= r.fitTasks(j, left, afterStops, false)
		}
		if left > 0 {
			left -= r.preempt(j, left)
		}
		r.imageRequired = false
		if left == 0 {
			return
		}
	}
	if left -= r.fitTasks(j, left, atOnce, true); left == 0 {
		return
	}
	if left -= r.fitTasks(j, left, afterStops, false); left == 0 {
		return // the room is becoming free
	}
	if left -= r.preempt(j, left); left == 0 {
		return
	}
	nothing := left == want
	if left -= r.fitTasks(j, left, afterBoot, false); left == 0 {
		return // a booting machine will run it
	}
	if first && nothing && j.WaitedS > r.input.ReserveAfterS {
		r.reserveNodes(j, left)
	}
	r.plan.Shortfalls = append(r.plan.Shortfalls, Shortfall{Job: j, Count: left})
}

// tasksWithinTeamLimit returns how many pending tasks of a job the limit of its team allows.
func (r *referenceCycle) tasksWithinTeamLimit(j *Job) int {
	want := j.PendingTasks
	t := r.input.Teams[j.Spec.Team]
	if t == nil {
		return 0
	}
	for _, resource := range [...]struct{ limit, used, need float64 }{
		{t.Limit.Cores, t.Used.Cores, j.Spec.Cores},
		{t.Limit.Gpus, t.Used.Gpus, j.Spec.Gpus},
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

// fitTasks finds room for up to want tasks of a job at a horizon and books it. With start set the tasks are
// launched; otherwise their room is only booked.
func (r *referenceCycle) fitTasks(j *Job, want int, at horizon, start bool) int {
	shape, bounded := r.shapeAt(j, at)
	if most, ok := r.maxFit[shape]; bounded && ok && (most == 0 || isAllOrNothing(j) && most < j.PendingTasks) {
		return 0 // a job of the same shape has found too little room
	}
	var places []Placement
	if j.Spec.SingleZone {
		places = r.chooseSingleZone(j, want, at)
	} else {
		places = r.chooseNodes(j, want, at, "")
	}
	n := countTasks(places)
	if bounded && n < want {
		r.maxFit[shape] = n
	}
	if n == 0 || (isAllOrNothing(j) && n < j.PendingTasks) {
		return 0
	}
	r.commitPlacements(j, places, start)
	return n
}

// chooseSingleZone tries each zone and chooses the one that has room for most tasks, on the fewest machines.
// A job that has live attempts in a zone stays there.
func (r *referenceCycle) chooseSingleZone(j *Job, want int, at horizon) []Placement {
	for zone, n := range j.LiveByZone {
		if n > 0 {
			return r.chooseNodes(j, want, at, zone)
		}
	}
	var best []Placement
	for _, zone := range r.zoneNames() {
		p := r.chooseNodes(j, want, at, zone)
		if countTasks(p) > countTasks(best) || (countTasks(p) == countTasks(best) && len(p) < len(best)) {
			best = p
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

// isNodeEligible reports whether a job may use a node, whatever room it has.
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

// referenceTaskPrice returns the price of a task's dominant share of a machine.
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

// referencePlacementCost returns what placing a task on a node costs per hour: nothing for work that may use
// spot machines and fills the gaps of a machine that stays anyway.
func referencePlacementCost(j *Job, n *Node) float64 {
	if j.Spec.AllowSpot && n.RunsOnDemandWork {
		return 0
	}
	return referenceTaskPrice(n, fleet.TaskResources(j.Spec))
}

// options lists where tasks of a job fit, at most want on each node. The list is valid until the next call.
func (r *referenceCycle) options(j *Job, want int, at horizon, zone string) []referenceOption {
	need := fleet.TaskResources(j.Spec)
	opts := r.optionsBuffer[:0]
	for _, i := range r.candidateNodes(at) {
		free := r.free[at][i]
		c := free.CountFitting(need, want)
		if c == 0 || !r.isNodeEligible(j, i, zone) {
			continue
		}
		n := &r.input.Nodes[i]
		residual := free.Gpus - float64(c)*need.Gpus + (free.Cores-float64(c)*need.Cores)/max(n.Capacity.Cores, 1)
		if need.Gpus == 0 {
			residual = free.Gpus
		}
		o := referenceOption{node: i, count: c, cost: referencePlacementCost(j, n), residual: residual}
		if n.Registered {
			o.hasImage, o.activeFetches = slices.Contains(n.Images, j.Spec.Image), n.ActiveFetches
		}
		opts = append(opts, o)
	}
	r.optionsBuffer = opts
	return opts
}

// compareOptions orders options: the cheapest for the task first, then those that have the image, then those
// that need the fewest machines, then the tightest fit. The image goes first where its fetch alone would
// make the start late. CPU-only work goes where the fewest GPUs are free.
func (r *referenceCycle) compareOptions(j *Job) func(a, b referenceOption) int {
	return func(a, b referenceOption) int {
		na, nb := &r.input.Nodes[a.node], &r.input.Nodes[b.node]
		price, image := cmp.Compare(a.cost, b.cost), cmp.Compare(boolToInt(b.hasImage), boolToInt(a.hasImage))
		if j.FetchDelaysStart {
			price, image = image, price
		}
		fetches := 0
		if image == 0 && !a.hasImage {
			fetches = cmp.Compare(a.activeFetches, b.activeFetches)
		}
		stays := cmp.Compare(boolToInt(nb.RunsOnDemandWork), boolToInt(na.RunsOnDemandWork))
		count, residual := cmp.Compare(b.count, a.count), cmp.Compare(a.residual, b.residual)
		last := cmp.Or(cmp.Compare(na.ID, nb.ID), cmp.Compare(a.node, b.node))
		if j.FetchDelaysStart || j.Spec.AllowSpot {
			return cmp.Or(price, image, fetches, count, residual, last)
		}
		return cmp.Or(price, count, stays, residual, image, fetches, last)
	}
}

// chooseNodes picks nodes for up to want tasks, the best first.
func (r *referenceCycle) chooseNodes(j *Job, want int, at horizon, zone string) []Placement {
	order := referenceHeap[referenceOption]{items: r.options(j, want, at, zone), cmp: r.compareOptions(j)}
	var places []Placement
	taken := map[string]int{}
	for o := range order.all() {
		nodeZone := r.input.Nodes[o.node].Zone
		c := min(o.count, want, referenceZoneAllowance(j, nodeZone)-taken[nodeZone])
		if c <= 0 {
			continue
		}
		places = append(places, Placement{Job: j, Node: o.node, Count: c})
		taken[nodeZone] += c
		if want -= c; want == 0 {
			break
		}
	}
	return places
}

// commitPlacements books placements against every horizon, so that no later job of the window uses the room,
// and against the limit of the team.
func (r *referenceCycle) commitPlacements(j *Job, places []Placement, start bool) {
	need := fleet.TaskResources(j.Spec)
	n := 0
	for _, p := range places {
		for range p.Count {
			for at := range r.free {
				r.free[at][p.Node] = r.free[at][p.Node].Sub(need)
			}
		}
		n += p.Count
		j.LiveByZone[r.input.Nodes[p.Node].Zone] += p.Count
	}
	j.LiveAttempts += n
	j.PendingTasks -= n
	t := r.input.Teams[j.Spec.Team]
	t.Used.Cores += float64(n) * need.Cores
	t.Used.Gpus += float64(n) * need.Gpus
	if start {
		r.plan.Placements = append(r.plan.Placements, places...)
		c := float64(len(places)) / float64(2*max(1, len(r.input.Nodes)))
		r.plan.Objective += r.input.PriorityWeights[j.Level] * (1 - c)
	}
}

// reserveNodes reserves nodes for a job, those with the most free room first, until their whole capacity would
// hold it. Later jobs start only elsewhere.
func (r *referenceCycle) reserveNodes(j *Job, want int) {
	need := fleet.TaskResources(j.Spec)
	var nodes []int
	for i := range r.input.Nodes {
		if r.isNodeEligible(j, i, "") && r.input.Nodes[i].Capacity.CountFitting(need, 1) > 0 {
			nodes = append(nodes, i)
		}
	}
	slices.SortFunc(nodes, func(a, b int) int {
		x, y := r.free[afterStops][a], r.free[afterStops][b]
		return cmp.Or(cmp.Compare(y.Gpus, x.Gpus), cmp.Compare(y.Cores, x.Cores), cmp.Compare(a, b))
	})
	taken := map[string]int{}
	zone := ""
	for _, i := range nodes {
		if want <= 0 {
			break
		}
		nodeZone := r.input.Nodes[i].Zone
		if j.Spec.SingleZone && zone != "" && nodeZone != zone {
			continue
		}
		c := min(r.input.Nodes[i].Capacity.CountFitting(need, want), referenceZoneAllowance(j, nodeZone)-taken[nodeZone])
		if c <= 0 {
			continue
		}
		zone = nodeZone
		taken[nodeZone] += c
		want -= c
		r.reserved[i] = true
	}
	r.plan.ReservedFor = j.Spec.UID
}

// referenceOpenNodes are the nodes that may have room for a task of the window at a horizon.
type referenceOpenNodes struct {
	nodes    []int
	contains []bool // by node
}

// buildOpenNodes prepares the lists of open nodes for the jobs of a window.
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
		o := &r.openNodes[at]
		o.contains = make([]bool, len(r.input.Nodes))
		for i := range r.input.Nodes {
			if r.free[at][i].CountFitting(r.smallestNeed, 1) > 0 {
				o.nodes, o.contains[i] = append(o.nodes, i), true
			}
		}
	}
}

// candidateNodes lists the nodes that may have room at a horizon, and drops those that no longer have.
func (r *referenceCycle) candidateNodes(at horizon) []int {
	o := &r.openNodes[at]
	o.nodes = slices.DeleteFunc(o.nodes, func(i int) bool {
		o.contains[i] = r.free[at][i].CountFitting(r.smallestNeed, 1) > 0
		return !o.contains[i]
	})
	return o.nodes
}

// releaseCapacity adds the room of a task that is stopped to what its node has once it has ended.
func (r *referenceCycle) releaseCapacity(node int, room fleet.Resources) {
	clear(r.maxFit)
	for _, at := range [...]horizon{afterStops, afterBoot} {
		r.free[at][node] = r.free[at][node].Add(room)
		if o := &r.openNodes[at]; !o.contains[node] && r.free[at][node].CountFitting(r.smallestNeed, 1) > 0 {
			o.nodes, o.contains[node] = append(o.nodes, node), true
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

// referenceShape is an equivalence class of jobs at a horizon, as demandShape.
type referenceShape struct {
	horizon                         horizon
	preemptorLevel                  int // of a job that preempts
	need                            fleet.Resources
	machineTypes, zone              string
	allowSpot                       bool
	cannotAwaitBoot, waitedPastBoot bool
	spotUnavailable                 bool
	requiredImage                   string // if only nodes that have it will do
}

// shapeAt returns the shape of a job. ok is false if what fits depends on more.
func (r *referenceCycle) shapeAt(j *Job, at horizon) (shape referenceShape, ok bool) {
	s := j.Spec
	if s.SingleZone || s.SpreadZones || j.AvoidedMachine != "" {
		return shape, false
	}
	shape = referenceShape{
		horizon:         at,
		need:            fleet.TaskResources(s),
		machineTypes:    strings.Join(s.MachineTypes, " "),
		zone:            s.Zone,
		allowSpot:       s.AllowSpot,
		cannotAwaitBoot: j.CannotAwaitBoot,
		waitedPastBoot:  j.WaitedPastBoot,
		spotUnavailable: j.SpotUnavailable,
	}
	if r.imageRequired {
		shape.requiredImage = s.Image
	}
	if at == byPreemption {
		shape.preemptorLevel = j.Level
	}
	return shape, true
}
