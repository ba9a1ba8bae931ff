package sched

import (
	"cmp"
	stdheap "container/heap"
	"iter"
	"math"
	"slices"
	"strings"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// The round as it was before machines were kept in classes: it looks at every machine for every
// job. It is the oracle that rounds are compared with, and what their speed is measured
// against. It differs from what it was in the form of its input, and in that choices on one
// machine which lose the same have an order.

type refRound struct {
	in       *Input
	plan     *Plan
	room     [layers][]fleet.Resources
	open     [layers]refOpenNodes
	victims  [][]Victim       // by node, the least lost first; nil until one is needed
	lowest   int              // level of the least victim
	least    fleet.Resources  // no task of the window needs less of anything
	bounds   map[refBound]int // how many tasks at most fit, of kinds that were tried
	reserved []bool           // nodes kept for the job that has a reservation
	warm     bool             // only nodes that have the job's image

	// What a job is offered, in memory that the next job uses again: made anew for each
	// job, these lists were nearly all that a leader of 2,700 machines allocated.
	optionsBuffer []refOption
	choicesBuffer []refChoice
}

// Run does one round.
func refRun(in *Input) *Plan {
	r := &refRound{in: in, plan: &Plan{}, lowest: math.MaxInt, bounds: map[refBound]int{}, reserved: make([]bool, len(in.Nodes))}
	for l := range r.room {
		r.room[l] = make([]fleet.Resources, len(in.Nodes))
	}
	for i := range in.Nodes {
		n := &in.Nodes[i]
		r.room[now][i], r.room[soon][i], r.room[later][i] = n.Free, n.FreeAfterStops, n.FreeAfterBoot
		for _, v := range n.Victims {
			r.lowest = min(r.lowest, v.Level)
		}
	}
	window := slices.Clone(in.Jobs)
	SortQueue(window, 4*in.ReserveAfterS)
	if len(window) > in.Window {
		window = window[:in.Window]
	}
	r.plan.JobsConsidered = len(window)
	r.index(window)
	// GPU work first, CPU-only work on what is left; one that waited long
	// keeps its turn.
	cpuOnly := func(j *Job) bool { return j.Spec.Gpus == 0 && j.WaitedS <= in.ReserveAfterS }
	top := true
	for pass := range 2 {
		for _, j := range window {
			if cpuOnly(j) != (pass == 1) {
				continue
			}
			r.job(j, top)
			top = false
		}
	}
	r.plan.FreeAfterStops, r.plan.FreeAfterBoot = r.room[soon], r.room[later]
	return r.plan
}

// job starts what fits of j, and plans for the rest.
func (r *refRound) job(j *Job, top bool) {
	want := r.quota(j)
	if want == 0 {
		return
	}
	left := want
	if j.FetchDelaysStart {
		// Its start would be late on a machine without its image: machines
		// that have it come first, even if lesser work must leave them.
		r.warm = true
		left -= r.fit(j, left, now, true)
		if left > 0 {
			left -= r.fit(j, left, soon, false)
		}
		if left > 0 {
			left -= r.preempt(j, left)
		}
		r.warm = false
		if left == 0 {
			return
		}
	}
	if left -= r.fit(j, left, now, true); left == 0 {
		return
	}
	if left -= r.fit(j, left, soon, false); left == 0 {
		return // room is being made
	}
	if left -= r.preempt(j, left); left == 0 {
		return
	}
	nothing := left == want
	if left -= r.fit(j, left, later, false); left == 0 {
		return // a machine that boots will take it
	}
	if top && nothing && j.WaitedS > r.in.ReserveAfterS {
		r.reserve(j, left)
	}
	r.plan.Shortfalls = append(r.plan.Shortfalls, Shortfall{j, left})
}

// quota is how many waiting tasks the limit of the job's team allows.
func (r *refRound) quota(j *Job) int {
	want := j.PendingTasks
	t := r.in.Teams[j.Spec.Team]
	if t == nil {
		return 0
	}
	for _, q := range [...][3]float64{{t.Limit.Cores, t.Used.Cores, j.Spec.Cores}, {t.Limit.Gpus, t.Used.Gpus, j.Spec.Gpus}} {
		if q[0] > 0 && q[2] > 0 {
			want = min(want, int((q[0]-q[1]+1e-6)/q[2]))
		}
	}
	if want < j.PendingTasks && whole(j) {
		return 0
	}
	return max(want, 0)
}

type refOption struct {
	node     int
	count    int
	image    bool
	pulling  int
	price    float64
	headroom float64
}

// fit finds room for up to want tasks of j in a layer and takes it. With start
// set the tasks are launched; otherwise the room is only kept for them.
func (r *refRound) fit(j *Job, want int, l layer, start bool) int {
	b, bounded := r.bound(j, l)
	if most, ok := r.bounds[b]; bounded && ok && (most == 0 || whole(j) && most < j.PendingTasks) {
		return 0 // one of its like has found no room
	}
	var places []Placement
	if j.Spec.SingleZone {
		places = r.singleZone(j, want, l)
	} else {
		places = r.choose(j, want, l, "")
	}
	n := count(places)
	if bounded && n < want {
		r.bounds[b] = n
	}
	if n == 0 || (whole(j) && n < j.PendingTasks) {
		return 0
	}
	r.take(j, places, start)
	return n
}

// singleZone tries each zone and takes the one that holds most, on the fewest
// machines. A job that has tasks in a zone stays there.
func (r *refRound) singleZone(j *Job, want int, l layer) []Placement {
	for zone, n := range j.LiveByZone {
		if n > 0 {
			return r.choose(j, want, l, zone)
		}
	}
	var best []Placement
	for _, zone := range r.zones() {
		p := r.choose(j, want, l, zone)
		if count(p) > count(best) || (count(p) == count(best) && len(p) < len(best)) {
			best = p
		}
	}
	return best
}

func (r *refRound) zones() []string {
	var zones []string
	for i := range r.in.Nodes {
		if y := r.in.Nodes[i].Zone; !slices.Contains(zones, y) {
			zones = append(zones, y)
		}
	}
	slices.Sort(zones)
	return zones
}

// yardCap is how many more tasks of j each zone may hold.
func refZoneCap(j *Job, zone string) int {
	if !j.Spec.SpreadZones {
		return j.Spec.TaskCount
	}
	return (j.Spec.TaskCount+1)/2 - j.LiveByZone[zone]
}

func (r *refRound) usable(j *Job, i int, zone string) bool {
	n := &r.in.Nodes[i]
	if !n.Spot && !n.RunsOnDemandWork && j.Spec.AllowSpot && !j.SpotUnavailable && (!j.CannotAwaitBoot || n.ScaleInCandidate && !j.WaitedPastBoot) || r.warm && (!n.Registered || !slices.Contains(n.Images, j.Spec.Image)) {
		return false
	}
	return !r.reserved[i] && (zone == "" || n.Zone == zone) &&
		IsEligible(j.Spec, n.Type, n.Zone, n.Spot) && (j.AvoidedMachine == "" || n.ID != j.AvoidedMachine)
}

// taskPrice is what a task's share of the machine costs.
func refTaskPrice(n *Node, need fleet.Resources) float64 {
	share := 0.0
	for _, p := range [...][2]float64{{need.Cores, n.Capacity.Cores}, {need.Gpus, n.Capacity.Gpus}, {need.RAM, n.Capacity.RAM}} {
		if p[1] > 0 {
			share = max(share, p[0]/p[1])
		}
	}
	return n.HourlyPrice * share
}

// price is what placing a task there costs: nothing for work that may be stopped
// and fills the gaps of a machine that stays anyway.
func (r *refRound) price(j *Job, n *Node) float64 {
	if j.Spec.AllowSpot && n.RunsOnDemandWork {
		return 0
	}
	return refTaskPrice(n, fleet.TaskResources(j.Spec))
}

// options lists where tasks of j fit, at most want on each node. The list is good until
// the next call.
func (r *refRound) options(j *Job, want int, l layer, zone string) []refOption {
	need := fleet.TaskResources(j.Spec)
	opts := r.optionsBuffer[:0]
	for _, i := range r.candidates(l) {
		free := r.room[l][i]
		c := free.CountFitting(need, want)
		if c == 0 || !r.usable(j, i, zone) {
			continue
		}
		n := &r.in.Nodes[i]
		headroom := free.Gpus - float64(c)*need.Gpus + (free.Cores-float64(c)*need.Cores)/max(n.Capacity.Cores, 1)
		if need.Gpus == 0 {
			headroom = free.Gpus
		}
		o := refOption{node: i, count: c, price: r.price(j, n), headroom: headroom}
		if n.Registered {
			o.image, o.pulling = slices.Contains(n.Images, j.Spec.Image), n.ActiveFetches
		}
		opts = append(opts, o)
	}
	r.optionsBuffer = opts
	return opts
}

// better orders options: the cheapest for the task first, then those that have
// the image, then those that need the fewest machines, then the tightest fit. The
// image goes first where its fetch alone would make the start late. CPU-only
// work goes where the fewest GPUs are free.
func (r *refRound) better(j *Job) func(a, b refOption) int {
	return func(a, b refOption) int {
		na, nb := &r.in.Nodes[a.node], &r.in.Nodes[b.node]
		price, image := cmp.Compare(a.price, b.price), cmp.Compare(b2i(b.image), b2i(a.image))
		if j.FetchDelaysStart {
			price, image = image, price
		}
		pulls := 0
		if image == 0 && !a.image {
			pulls = cmp.Compare(a.pulling, b.pulling)
		}
		stays, count, headroom := cmp.Compare(b2i(nb.RunsOnDemandWork), b2i(na.RunsOnDemandWork)), cmp.Compare(b.count, a.count), cmp.Compare(a.headroom, b.headroom)
		last := cmp.Or(cmp.Compare(na.ID, nb.ID), cmp.Compare(a.node, b.node))
		if j.FetchDelaysStart || j.Spec.AllowSpot {
			return cmp.Or(price, image, pulls, count, headroom, last)
		}
		return cmp.Or(price, count, stays, headroom, image, pulls, last)
	}
}

// choose picks nodes for up to want tasks, the best first.
func (r *refRound) choose(j *Job, want int, l layer, zone string) []Placement {
	order := refLeast[refOption]{items: r.options(j, want, l, zone), cmp: r.better(j)}
	var places []Placement
	taken := map[string]int{}
	for o := range order.all() {
		y := r.in.Nodes[o.node].Zone
		c := min(o.count, want, refZoneCap(j, y)-taken[y])
		if c <= 0 {
			continue
		}
		places = append(places, Placement{j, o.node, c})
		taken[y] += c
		if want -= c; want == 0 {
			break
		}
	}
	return places
}

// take books the places against every layer, so that nobody later in the
// window uses the room, and against the limit of the team.
func (r *refRound) take(j *Job, places []Placement, start bool) {
	need := fleet.TaskResources(j.Spec)
	n := 0
	for _, p := range places {
		for range p.Count {
			for l := range r.room {
				r.room[l][p.Node] = r.room[l][p.Node].Sub(need)
			}
		}
		n += p.Count
		j.LiveByZone[r.in.Nodes[p.Node].Zone] += p.Count
	}
	j.LiveAttempts += n
	j.PendingTasks -= n
	t := r.in.Teams[j.Spec.Team]
	t.Used.Cores += float64(n) * need.Cores
	t.Used.Gpus += float64(n) * need.Gpus
	if start {
		r.plan.Placements = append(r.plan.Placements, places...)
		c := float64(len(places)) / float64(2*max(1, len(r.in.Nodes)))
		r.plan.Objective += r.in.PriorityWeights[j.Level] * (1 - c)
	}
}

// reserve keeps the machines for j that have most room already, until their
// whole capacity would hold it. Later jobs start only elsewhere.
func (r *refRound) reserve(j *Job, want int) {
	need := fleet.TaskResources(j.Spec)
	var nodes []int
	for i := range r.in.Nodes {
		if r.usable(j, i, "") && r.in.Nodes[i].Capacity.CountFitting(need, 1) > 0 {
			nodes = append(nodes, i)
		}
	}
	slices.SortFunc(nodes, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.room[soon][b].Gpus, r.room[soon][a].Gpus), cmp.Compare(r.room[soon][b].Cores, r.room[soon][a].Cores), cmp.Compare(a, b))
	})
	taken := map[string]int{}
	zone := ""
	for _, i := range nodes {
		if want <= 0 {
			break
		}
		y := r.in.Nodes[i].Zone
		if j.Spec.SingleZone && zone != "" && y != zone {
			continue
		}
		c := min(r.in.Nodes[i].Capacity.CountFitting(need, want), refZoneCap(j, y)-taken[y])
		if c <= 0 {
			continue
		}
		zone = y
		taken[y] += c
		want -= c
		r.reserved[i] = true
	}
	r.plan.ReservedFor = j.Spec.UID
}

// refOpenNodes are the nodes of a layer that may have room for a task of the
// window.
type refOpenNodes struct {
	nodes []int
	in    []bool // by node
}

// index prepares the lists of open nodes for the jobs of a window.
func (r *refRound) index(window []*Job) {
	if len(window) == 0 {
		return
	}
	least := fleet.TaskResources(window[0].Spec)
	for _, j := range window[1:] {
		n := fleet.TaskResources(j.Spec)
		least = fleet.Resources{Cores: min(least.Cores, n.Cores), Gpus: min(least.Gpus, n.Gpus), RAM: min(least.RAM, n.RAM)}
	}
	r.least = least
	for l := range r.open {
		o := &r.open[l]
		o.in = make([]bool, len(r.in.Nodes))
		for i := range r.in.Nodes {
			if r.room[l][i].CountFitting(least, 1) > 0 {
				o.nodes, o.in[i] = append(o.nodes, i), true
			}
		}
	}
}

// candidates lists the nodes of a layer that may have room, and drops those
// that no longer have.
func (r *refRound) candidates(l layer) []int {
	o := &r.open[l]
	o.nodes = slices.DeleteFunc(o.nodes, func(i int) bool {
		o.in[i] = r.room[l][i].CountFitting(r.least, 1) > 0
		return !o.in[i]
	})
	return o.nodes
}

// grow gives a node the room of a task that is stopped, once it has ended.
func (r *refRound) grow(node int, room fleet.Resources) {
	clear(r.bounds)
	for _, l := range [...]layer{soon, later} {
		r.room[l][node] = r.room[l][node].Add(room)
		if o := &r.open[l]; !o.in[node] && r.room[l][node].CountFitting(r.least, 1) > 0 {
			o.nodes, o.in[node] = append(o.nodes, node), true
		}
	}
}

// leastDisruption gives, for each node, the victims in the order in which they are
// stopped.
func (r *refRound) leastDisruption() [][]Victim {
	if r.victims == nil {
		r.victims = make([][]Victim, len(r.in.Nodes))
		for i := range r.in.Nodes {
			r.victims[i] = slices.SortedFunc(slices.Values(r.in.Nodes[i].Victims), func(a, b Victim) int {
				return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(a.lossS(r.in.Now), b.lossS(r.in.Now)), cmp.Compare(a.Serial, b.Serial))
			})
		}
	}
	return r.victims
}

// bound names a kind of job and a layer. Room only shrinks in a round, but for
// what is stopped: of a kind that fitted so many times, no more fit later.
type refBound struct {
	layer                   layer
	level                   int // of a job that displaces
	need                    fleet.Resources
	machineTypes, zone      string
	spot                    bool
	overdue, waitedPastBoot bool
	dear                    bool
	image                   string // if only nodes that have it will do
}

// bound names the job's kind. ok is false if what fits depends on more.
func (r *refRound) bound(j *Job, l layer) (b refBound, ok bool) {
	s := j.Spec
	if s.SingleZone || s.SpreadZones || j.AvoidedMachine != "" {
		return b, false
	}
	b = refBound{layer: l, need: fleet.TaskResources(s), machineTypes: strings.Join(s.MachineTypes, " "), zone: s.Zone, spot: s.AllowSpot, overdue: j.CannotAwaitBoot, waitedPastBoot: j.WaitedPastBoot, dear: j.SpotUnavailable}
	if r.warm {
		b.image = s.Image
	}
	if l == preempted {
		b.level = j.Level
	}
	return b, true
}

// least gives items in order without sorting those that nobody asks for: a job
// needs a few of many.
type refLeast[T any] struct {
	items []T
	cmp   func(a, b T) int
}

func (h *refLeast[T]) Len() int           { return len(h.items) }
func (h *refLeast[T]) Less(i, k int) bool { return h.cmp(h.items[i], h.items[k]) < 0 }
func (h *refLeast[T]) Swap(i, k int)      { h.items[i], h.items[k] = h.items[k], h.items[i] }

// Push adds an item.
func (h *refLeast[T]) Push(x any) { h.items = append(h.items, x.(T)) }

// Pop takes the last item off.
func (h *refLeast[T]) Pop() any {
	x := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return x
}

// all gives the items, the least first.
func (h *refLeast[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		stdheap.Init(h)
		for len(h.items) > 0 {
			if !yield(stdheap.Pop(h).(T)) {
				return
			}
		}
	}
}

// choice is room for one task on a node once some of its victims are stopped.
type refChoice struct {
	node     int
	from, to int // its victims are among these
	loss     float64
}

// preempt stops work of lower levels so that up to want tasks of j fit, and
// keeps the room for them. It never stops work for nothing: a job that starts
// whole gets all its room or none. Replicas are only displaced for a job that
// waited as long as a new machine takes.
func (r *refRound) preempt(j *Job, want int) int {
	if r.lowest >= j.Level {
		return 0
	}
	b, bounded := r.bound(j, preempted)
	if most, ok := r.bounds[b]; bounded && ok && (most == 0 || whole(j) && most < j.PendingTasks) {
		return 0
	}
	choices := r.preemptions(j, want)
	places, chosen := r.leastHarm(j, want, choices)
	if bounded && len(places) < want {
		r.bounds[b] = len(places)
	}
	if len(places) == 0 || (whole(j) && len(places) < j.PendingTasks) {
		return 0
	}
	r.stopVictims(j, chosen)
	r.take(j, places, false)
	return len(places)
}

// mayPreempt reports whether a job may displace running work.
func refMayPreempt(j *Job, v *Victim) bool {
	return v.Level < j.Level && (!v.IsReplica || j.CannotAwaitBoot)
}

// preemptions lists, by node, the room that there is for tasks of a job, and that there
// would be if work that it may displace were stopped, what loses least first.
func (r *refRound) preemptions(j *Job, want int) []refChoice {
	need := fleet.TaskResources(j.Spec)
	choices := r.choicesBuffer[:0]
	for i, victims := range r.leastDisruption() {
		if !r.couldHold(j, need, i, victims) || !r.usable(j, i, "") {
			continue
		}
		room := r.room[soon][i]
		for range room.CountFitting(need, want) {
			choices = append(choices, refChoice{node: i})
			room = room.Sub(need)
		}
		c := refChoice{node: i}
		for k := range victims {
			v := &victims[k]
			if !refMayPreempt(j, v) {
				continue
			}
			room = room.Add(v.Need)
			c.to = k + 1
			c.loss += v.lossS(r.in.Now) + 1
			if room.Fits(need) {
				choices = append(choices, c)
				c = refChoice{node: i, from: c.to}
				room = room.Sub(need)
			}
		}
	}
	r.choicesBuffer = choices
	return choices
}

// couldHold reports whether a node holds a task of a job once all that it may displace is
// stopped.
func (r *refRound) couldHold(j *Job, need fleet.Resources, node int, victims []Victim) bool {
	gain := r.room[soon][node]
	if gain.Fits(need) {
		return true
	}
	for k := range victims {
		if refMayPreempt(j, &victims[k]) {
			gain = gain.Add(victims[k].Need)
		}
	}
	return gain.Fits(need)
}

// leastHarm takes the choices with the least loss that the job's zones allow, for up to want
// tasks.
func (r *refRound) leastHarm(j *Job, want int, choices []refChoice) (places []Placement, chosen []refChoice) {
	order := refLeast[refChoice]{items: choices, cmp: func(a, b refChoice) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.node, b.node), cmp.Compare(a.from, b.from))
	}}
	zone := ""
	for z, n := range j.LiveByZone {
		if j.Spec.SingleZone && n > 0 {
			zone = z
		}
	}
	taken := map[string]int{}
	for c := range order.all() {
		z := r.in.Nodes[c.node].Zone
		if (j.Spec.SingleZone && zone != "" && z != zone) || refZoneCap(j, z)-taken[z] <= 0 {
			continue
		}
		if j.Spec.SingleZone {
			zone = z
		}
		taken[z]++
		places = append(places, Placement{j, c.node, 1})
		chosen = append(chosen, c)
		if len(places) == want {
			break
		}
	}
	return places, chosen
}

// stopVictims stops the work that choices displace, and gives the job their room.
func (r *refRound) stopVictims(j *Job, chosen []refChoice) {
	stopped := map[int]bool{}
	for _, c := range chosen {
		for _, v := range r.victims[c.node][c.from:c.to] {
			if refMayPreempt(j, &v) {
				stopped[v.Serial] = true
				r.plan.Preemptions = append(r.plan.Preemptions, Preemption{c.node, v.Serial, j.StartSlackS})
				r.grow(c.node, v.Need)
			}
		}
	}
	for _, c := range chosen {
		r.victims[c.node] = slices.DeleteFunc(r.victims[c.node], func(v Victim) bool { return stopped[v.Serial] })
	}
}
