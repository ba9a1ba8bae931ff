// Package sched is the scheduling round: a pure function from a picture of
// machines and waiting jobs to the whole jobs that start now.
//
// It follows the window scheduler of the design: of the jobs in the window it
// picks those whose sum of p_j(s_j - c_j) is highest, where p_j is the job's
// priority, s_j is 1 if it starts, and c_j is the number of machines it uses
// over twice the number of all machines. A greedy pass stands in for the
// integer solver.
package sched

import (
	"cmp"
	"math"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// Node is a machine as a round sees it.
type Node struct {
	ID      string
	Type    string
	Zone    string
	Spot    bool
	Cap     fleet.Res
	Free    fleet.Res // usable now; zero for a machine that takes no launches
	Soon    fleet.Res // usable once what is being stopped has ended
	Later   fleet.Res // usable once it is up
	Cache   Cache     // nil for a machine that is not there yet
	Victims []Victim  // running work that may be stopped
	Price   float64   // per hour; 0 if unknown
	Leaving bool      // will be returned unless work that may not use spot machines needs it
	Fixed   bool      // stays for work that may not use spot machines
}

// Cache tells which images a machine has or fetches.
type Cache interface {
	Has(image string) bool
	Pulling() int // images it fetches now; they share its rate
}

// Victim is a task that a job of a higher level may displace.
type Victim struct {
	ID    int // the caller's handle
	Level int
	Need  fleet.Res
	Loss  float64 // seconds of work lost if it is stopped
	Serve bool    // a replica: stopping it is felt at once
}

// Job is a job with tasks that wait.
type Job struct {
	Spec    *wire.Work
	Level   int
	AtMs    int64
	Waiting int            // tasks without an attempt
	Live    int            // attempts that are not provably off
	ByZone  map[string]int // the same by zone
	WaitedS float64
	Fetch   bool    // the fetch of its image may make a start late
	SlackS  float64 // what is left of the time to start after fetch and delivery
	LaxS    float64 // how long it can still wait and be in time
	Overdue bool    // could not wait for a new machine: dearer ones that stay anyway will do
	Tired   bool    // waited as long as a new machine takes: any machine will do
	Dear    bool    // no cheaper machine can be had: waiting for one is in vain
	First   bool    // the first task of a job that should have begun by now
	Avoid   string  // a machine that it is not placed on
}

// Team is what a team uses and may use; a limit of 0 is none.
type Team struct {
	Used, Limit struct{ Cores, Gpus float64 }
}

// Input is the picture of one round.
type Input struct {
	Nodes      []Node
	Jobs       []*Job // in any order
	Teams      map[string]*Team
	Window     int
	ReserveS   float64 // a top job that waited longer than this gets a reservation
	Priorities [5]float64
}

// Place puts Count tasks of a job on a node.
type Place struct {
	Job   *Job
	Node  int
	Count int
}

// Stop is a victim and how long the job that displaces it can wait for it.
type Stop struct {
	ID     int
	SlackS float64
}

// Short is demand that no machine, present or booting, has room for.
type Short struct {
	Job   *Job
	Count int
}

// Plan is the outcome of a round.
type Plan struct {
	Places    []Place
	Stops     []Stop
	Shorts    []Short
	Objective float64
	Window    int // jobs looked at
	Reserved  string
	LeftSoon  []fleet.Res // what the round leaves of each node, by layer
	LeftLater []fleet.Res
}

// DefaultPriorities is p_j by level: each rank outweighs a window full of the
// rank below only when the window is small; order is kept by the pass itself.
var DefaultPriorities = [5]float64{0, 1, 4, 16, 64}

// Order sorts jobs by rank, then by how long they can still wait, then age,
// then id. Work that cannot be in time any more lets the rest of its rank pass,
// but not for ever. First tasks of jobs that should have begun come first, those
// of the oldest job before others.
func Order(jobs []*Job, patienceS float64) {
	late := func(j *Job) int { return b2i(j.LaxS < 0 && j.Spec.Shape == wire.Sweep && j.WaitedS < patienceS) }
	slices.SortFunc(jobs, func(a, b *Job) int {
		if a.First && b.First {
			return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(a.AtMs, b.AtMs), cmp.Compare(a.Spec.UID, b.Spec.UID))
		}
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(b2i(b.First), b2i(a.First)),
			cmp.Compare(late(a), late(b)), cmp.Compare(a.LaxS, b.LaxS),
			cmp.Compare(a.AtMs, b.AtMs), cmp.Compare(a.Spec.UID, b.Spec.UID))
	})
}

// layer picks which of a node's amounts a fit uses.
type layer int

const (
	now layer = iota
	soon
	later
	layers
)

type round struct {
	in       *Input
	plan     *Plan
	room     [layers][]fleet.Res
	open     [layers]openNodes
	victims  [][]Victim    // by node, the least lost first; nil until one is needed
	lowest   int           // level of the least victim
	least    fleet.Res     // no task of the window needs less of anything
	bounds   map[bound]int // how many tasks at most fit, of kinds that were tried
	reserved []bool        // nodes kept for the job that has a reservation
	warm     bool          // only nodes that have the job's image

	// What a job is offered, in memory that the next job uses again: made anew for each
	// job, these lists were nearly all that a leader of 2,700 machines allocated.
	optionsBuffer []option
	choicesBuffer []choice
}

// Run does one round.
func Run(in *Input) *Plan {
	r := &round{in: in, plan: &Plan{}, lowest: math.MaxInt, bounds: map[bound]int{}, reserved: make([]bool, len(in.Nodes))}
	for l := range r.room {
		r.room[l] = make([]fleet.Res, len(in.Nodes))
	}
	for i := range in.Nodes {
		n := &in.Nodes[i]
		r.room[now][i], r.room[soon][i], r.room[later][i] = n.Free, n.Soon, n.Later
		for _, v := range n.Victims {
			r.lowest = min(r.lowest, v.Level)
		}
	}
	window := slices.Clone(in.Jobs)
	Order(window, 4*in.ReserveS)
	if len(window) > in.Window {
		window = window[:in.Window]
	}
	r.plan.Window = len(window)
	r.index(window)
	// GPU work first, CPU-only work on what is left; one that waited long
	// keeps its turn.
	cpuOnly := func(j *Job) bool { return j.Spec.Gpus == 0 && j.WaitedS <= in.ReserveS }
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
	r.plan.LeftSoon, r.plan.LeftLater = r.room[soon], r.room[later]
	return r.plan
}

// job starts what fits of j, and plans for the rest.
func (r *round) job(j *Job, top bool) {
	want := r.quota(j)
	if want == 0 {
		return
	}
	left := want
	if j.Fetch {
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
	if top && nothing && j.WaitedS > r.in.ReserveS {
		r.reserve(j, left)
	}
	r.plan.Shorts = append(r.plan.Shorts, Short{j, left})
}

// quota is how many waiting tasks the limit of the job's team allows.
func (r *round) quota(j *Job) int {
	want := j.Waiting
	t := r.in.Teams[j.Spec.Crew]
	if t == nil {
		return 0
	}
	for _, q := range [...][3]float64{{t.Limit.Cores, t.Used.Cores, j.Spec.Cores}, {t.Limit.Gpus, t.Used.Gpus, j.Spec.Gpus}} {
		if q[0] > 0 && q[2] > 0 {
			want = min(want, int((q[0]-q[1]+1e-6)/q[2]))
		}
	}
	if want < j.Waiting && whole(j) {
		return 0
	}
	return max(want, 0)
}

// whole reports whether the job starts with all its tasks or not at all. A job
// that runs already only gets back what it lost.
func whole(j *Job) bool {
	return (j.Spec.Shape != wire.Sweep || j.Spec.Together) && j.Live == 0
}

// Allowed reports whether a job may use a machine of this kind at all.
func Allowed(w *wire.Work, rig, yard string, standby bool) bool {
	return (len(w.Rigs) == 0 || slices.Contains(w.Rigs, rig)) && (w.Yard == "" || w.Yard == yard) && (!standby || w.Standby)
}

type option struct {
	node    int
	count   int
	image   bool
	pulling int
	price   float64
	spare   float64
}

// fit finds room for up to want tasks of j in a layer and takes it. With start
// set the tasks are launched; otherwise the room is only kept for them.
func (r *round) fit(j *Job, want int, l layer, start bool) int {
	b, bounded := r.bound(j, l)
	if most, ok := r.bounds[b]; bounded && ok && (most == 0 || whole(j) && most < j.Waiting) {
		return 0 // one of its like has found no room
	}
	var places []Place
	if j.Spec.Together {
		places = r.together(j, want, l)
	} else {
		places = r.choose(j, want, l, "")
	}
	n := count(places)
	if bounded && n < want {
		r.bounds[b] = n
	}
	if n == 0 || (whole(j) && n < j.Waiting) {
		return 0
	}
	r.take(j, places, start)
	return n
}

func count(places []Place) int {
	n := 0
	for _, p := range places {
		n += p.Count
	}
	return n
}

// together tries each zone and takes the one that holds most, on the fewest
// machines. A job that has tasks in a zone stays there.
func (r *round) together(j *Job, want int, l layer) []Place {
	for yard, n := range j.ByZone {
		if n > 0 {
			return r.choose(j, want, l, yard)
		}
	}
	var best []Place
	for _, yard := range r.yards() {
		p := r.choose(j, want, l, yard)
		if count(p) > count(best) || (count(p) == count(best) && len(p) < len(best)) {
			best = p
		}
	}
	return best
}

func (r *round) yards() []string {
	var yards []string
	for i := range r.in.Nodes {
		if y := r.in.Nodes[i].Zone; !slices.Contains(yards, y) {
			yards = append(yards, y)
		}
	}
	slices.Sort(yards)
	return yards
}

// yardCap is how many more tasks of j each zone may hold.
func yardCap(j *Job, yard string) int {
	if !j.Spec.Scatter {
		return j.Spec.Legs
	}
	return (j.Spec.Legs+1)/2 - j.ByZone[yard]
}

func (r *round) usable(j *Job, i int, yard string) bool {
	n := &r.in.Nodes[i]
	if !n.Spot && !n.Fixed && j.Spec.Standby && !j.Dear && (!j.Overdue || n.Leaving && !j.Tired) || r.warm && (n.Cache == nil || !n.Cache.Has(j.Spec.Rollout)) {
		return false
	}
	return !r.reserved[i] && (yard == "" || n.Zone == yard) &&
		Allowed(j.Spec, n.Type, n.Zone, n.Spot) && (j.Avoid == "" || n.ID != j.Avoid)
}

// taskPrice is what a task's share of the machine costs.
func taskPrice(n *Node, need fleet.Res) float64 {
	share := 0.0
	for _, p := range [...][2]float64{{need.Cores, n.Cap.Cores}, {need.Gpus, n.Cap.Gpus}, {need.RAM, n.Cap.RAM}} {
		if p[1] > 0 {
			share = max(share, p[0]/p[1])
		}
	}
	return n.Price * share
}

// price is what placing a task there costs: nothing for work that may be stopped
// and fills the gaps of a machine that stays anyway.
func (r *round) price(j *Job, n *Node) float64 {
	if j.Spec.Standby && n.Fixed {
		return 0
	}
	return taskPrice(n, fleet.Need(j.Spec))
}

// options lists where tasks of j fit, at most want on each node. The list is good until
// the next call.
func (r *round) options(j *Job, want int, l layer, yard string) []option {
	need := fleet.Need(j.Spec)
	opts := r.optionsBuffer[:0]
	for _, i := range r.candidates(l) {
		free := r.room[l][i]
		c := free.Count(need, want)
		if c == 0 || !r.usable(j, i, yard) {
			continue
		}
		n := &r.in.Nodes[i]
		spare := free.Gpus - float64(c)*need.Gpus + (free.Cores-float64(c)*need.Cores)/max(n.Cap.Cores, 1)
		if need.Gpus == 0 {
			spare = free.Gpus
		}
		o := option{node: i, count: c, price: r.price(j, n), spare: spare}
		if n.Cache != nil {
			o.image, o.pulling = n.Cache.Has(j.Spec.Rollout), n.Cache.Pulling()
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
func (r *round) better(j *Job) func(a, b option) int {
	return func(a, b option) int {
		na, nb := &r.in.Nodes[a.node], &r.in.Nodes[b.node]
		price, image := cmp.Compare(a.price, b.price), cmp.Compare(b2i(b.image), b2i(a.image))
		if j.Fetch {
			price, image = image, price
		}
		pulls := 0
		if image == 0 && !a.image {
			pulls = cmp.Compare(a.pulling, b.pulling)
		}
		stays, count, spare := cmp.Compare(b2i(nb.Fixed), b2i(na.Fixed)), cmp.Compare(b.count, a.count), cmp.Compare(a.spare, b.spare)
		last := cmp.Or(cmp.Compare(na.ID, nb.ID), cmp.Compare(a.node, b.node))
		if j.Fetch || j.Spec.Standby {
			return cmp.Or(price, image, pulls, count, spare, last)
		}
		return cmp.Or(price, count, stays, spare, image, pulls, last)
	}
}

// choose picks nodes for up to want tasks, the best first.
func (r *round) choose(j *Job, want int, l layer, yard string) []Place {
	order := least[option]{items: r.options(j, want, l, yard), cmp: r.better(j)}
	var places []Place
	taken := map[string]int{}
	for o := range order.all() {
		y := r.in.Nodes[o.node].Zone
		c := min(o.count, want, yardCap(j, y)-taken[y])
		if c <= 0 {
			continue
		}
		places = append(places, Place{j, o.node, c})
		taken[y] += c
		if want -= c; want == 0 {
			break
		}
	}
	return places
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// take books the places against every layer, so that nobody later in the
// window uses the room, and against the limit of the team.
func (r *round) take(j *Job, places []Place, start bool) {
	need := fleet.Need(j.Spec)
	n := 0
	for _, p := range places {
		for range p.Count {
			for l := range r.room {
				r.room[l][p.Node] = r.room[l][p.Node].Sub(need)
			}
		}
		n += p.Count
		j.ByZone[r.in.Nodes[p.Node].Zone] += p.Count
	}
	j.Live += n
	j.Waiting -= n
	t := r.in.Teams[j.Spec.Crew]
	t.Used.Cores += float64(n) * need.Cores
	t.Used.Gpus += float64(n) * need.Gpus
	if start {
		r.plan.Places = append(r.plan.Places, places...)
		c := float64(len(places)) / float64(2*max(1, len(r.in.Nodes)))
		r.plan.Objective += r.in.Priorities[j.Level] * (1 - c)
	}
}

// reserve keeps the machines for j that have most room already, until their
// whole capacity would hold it. Later jobs start only elsewhere.
func (r *round) reserve(j *Job, want int) {
	need := fleet.Need(j.Spec)
	var nodes []int
	for i := range r.in.Nodes {
		if r.usable(j, i, "") && r.in.Nodes[i].Cap.Count(need, 1) > 0 {
			nodes = append(nodes, i)
		}
	}
	slices.SortFunc(nodes, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.room[soon][b].Gpus, r.room[soon][a].Gpus), cmp.Compare(r.room[soon][b].Cores, r.room[soon][a].Cores), cmp.Compare(a, b))
	})
	taken := map[string]int{}
	yard := ""
	for _, i := range nodes {
		if want <= 0 {
			break
		}
		y := r.in.Nodes[i].Zone
		if j.Spec.Together && yard != "" && y != yard {
			continue
		}
		c := min(r.in.Nodes[i].Cap.Count(need, want), yardCap(j, y)-taken[y])
		if c <= 0 {
			continue
		}
		yard = y
		taken[y] += c
		want -= c
		r.reserved[i] = true
	}
	r.plan.Reserved = j.Spec.UID
}
