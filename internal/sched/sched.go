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
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// Node is a machine as a round sees it.
type Node struct {
	ID               string
	Type             string
	Zone             string
	Spot             bool
	Capacity         fleet.Resources
	Free             fleet.Resources // usable now; zero for a machine that takes no launches
	FreeAfterStops   fleet.Resources // usable once what is being stopped has ended
	FreeAfterBoot    fleet.Resources // usable once it is up
	Registered       bool            // it is there: it has images, or fetches them
	Images           []string        // images that it has or fetches
	ActiveFetches    int             // images that it fetches now; they share its rate
	Victims          []Victim        // running work that may be stopped, in any order
	HourlyPrice      float64         // per hour; 0 if unknown
	ScaleInCandidate bool            // will be returned unless work that may not use spot machines needs it
	RunsOnDemandWork bool            // stays for work that may not use spot machines
}

// Victim is a task that a job of a higher level may displace, or one within the guarantee of
// another team if this one is beyond that of its own.
type Victim struct {
	Serial        int    // the caller's handle
	JobUID        string // its job's id
	Team          string // its job's team
	Level         int    // below maxLevels
	Need          fleet.Resources
	MaxLossS      float64   // seconds of work lost if it is stopped; the most, if Since is set
	LossGrowsFrom time.Time // if set, the loss grows from then on
	IsReplica     bool      // a replica: stopping it is felt at once
}

// lossS is how many seconds of work are lost if a victim is stopped.
func (v *Victim) lossS(now time.Time) float64 {
	if v.LossGrowsFrom.IsZero() {
		return v.MaxLossS
	}
	return min(now.Sub(v.LossGrowsFrom).Seconds(), v.MaxLossS)
}

// Job is a job with tasks that wait.
type Job struct {
	Spec  *wire.JobSpec
	Level int
	// Guaranteed: it lies within its team's guarantee, and does not wait for other teams.
	WithinQuota      bool
	QueuedSinceMs    int64
	PendingTasks     int            // tasks without an attempt
	LiveAttempts     int            // attempts that are not provably off
	LiveByZone       map[string]int // the same by zone
	WaitedS          float64
	FetchDelaysStart bool    // the fetch of its image may make a start late
	StartSlackS      float64 // what is left of the time to start after fetch and delivery
	LaxityS          float64 // how long it can still wait and be in time
	CannotAwaitBoot  bool    // could not wait for a new machine: dearer ones that stay anyway will do
	WaitedPastBoot   bool    // waited as long as a new machine takes: any machine will do
	SpotUnavailable  bool    // no cheaper machine can be had: waiting for one is in vain
	FirstTaskOverdue bool    // the first task of a job that should have begun by now
	AvoidedMachine   string  // a machine that it is not placed on
}

// Team is what a team uses, may use and is guaranteed; a limit or a guarantee of 0 is none.
type Team struct {
	Used, Limit, Quota struct{ Cores, Gpus float64 }
	// Stopping is what of Used is being stopped. It counts against the limit until it is off,
	// and toward the guarantee no more.
	Stopping struct{ Cores, Gpus float64 }
}

// beyond is how much a team would have beyond its guarantee if some more of it were stopped.
func (t *Team) beyond(more fleet.Resources) fleet.Resources {
	return fleet.Resources{Cores: t.Used.Cores - t.Stopping.Cores - t.Quota.Cores - more.Cores, Gpus: t.Used.Gpus - t.Stopping.Gpus - t.Quota.Gpus - more.Gpus}
}

// Input is the picture of one round. Its nodes are the machines of View, by slot, and then
// Nodes.
type Input struct {
	Now             time.Time
	View            *View  // machines that are kept from round to round; nil if there are none
	Nodes           []Node // of this round only
	Jobs            []*Job // in any order
	Teams           map[string]*Team
	Window          int
	ReserveAfterS   float64 // a top job that waited longer than this gets a reservation
	PriorityWeights [5]float64
	Previous        *Plan // if set, the round begins with the room that this plan has left
	// Guaranteed is the jobs within the guarantees of their teams, by id, those that wait for
	// nothing included; nil if no team has a guarantee.
	WithinQuota map[string]bool
	// PreemptOnlyBelow: work of this level or above is not displaced by any job; 0 leaves it to
	// the levels of the jobs.
	PreemptOnlyBelow int
}

// Placement puts Count tasks of a job on a node.
type Placement struct {
	Job   *Job
	Node  int
	Count int
}

// Preemption is a victim and how long the job that displaces it can wait for it.
type Preemption struct {
	Node        int
	Serial      int
	StartSlackS float64
}

// Shortfall is demand that no machine, present or booting, has room for.
type Shortfall struct {
	Job   *Job
	Count int
}

// Plan is the outcome of a round.
type Plan struct {
	Placements     []Placement
	Preemptions    []Preemption
	Shortfalls     []Shortfall
	Objective      float64
	JobsConsidered int // jobs looked at
	ReservedFor    string
	FreeAfterStops []fleet.Resources // what the round leaves of each node, by layer
	FreeAfterBoot  []fleet.Resources
}

// DefaultPriorityWeights is p_j by level: each rank outweighs a window full of the
// rank below only when the window is small; order is kept by the pass itself.
var DefaultPriorityWeights = [5]float64{0, 1, 4, 16, 64}

// SortQueue sorts jobs by whether their team's guarantee covers them, then by rank, then by how long they can still wait, then age,
// then id. Work that cannot be in time any more lets the rest of its rank pass,
// but not for ever. First tasks of jobs that should have begun come first, those
// of the oldest job before others.
func SortQueue(jobs []*Job, patienceS float64) {
	late := func(j *Job) int { return b2i(j.LaxityS < 0 && j.Spec.Kind == wire.JobArray && j.WaitedS < patienceS) }
	slices.SortFunc(jobs, func(a, b *Job) int {
		if a.FirstTaskOverdue && b.FirstTaskOverdue {
			return cmp.Or(cmp.Compare(b2i(b.WithinQuota), b2i(a.WithinQuota)), cmp.Compare(b.Level, a.Level), cmp.Compare(a.QueuedSinceMs, b.QueuedSinceMs), cmp.Compare(a.Spec.UID, b.Spec.UID))
		}
		return cmp.Or(cmp.Compare(b2i(b.WithinQuota), b2i(a.WithinQuota)), cmp.Compare(b.Level, a.Level), cmp.Compare(b2i(b.FirstTaskOverdue), b2i(a.FirstTaskOverdue)),
			cmp.Compare(late(a), late(b)), cmp.Compare(a.LaxityS, b.LaxityS),
			cmp.Compare(a.QueuedSinceMs, b.QueuedSinceMs), cmp.Compare(a.Spec.UID, b.Spec.UID))
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

// round is one round at work.
type round struct {
	in          *Input
	view        *View
	memory      *memory
	plan        *Plan
	kinds       []kind
	room        [layers][]fleet.Resources
	openClasses [layers][]int32    // classes that had room for the least task when they were made
	least       fleet.Resources    // no task of the window needs less of anything
	lowest      int                // level of the least victim
	victims     map[int32][]Victim // by node, the least lost first: those that were asked for
	bounds      map[bound]int      // how many tasks at most fit, of kinds of jobs that were tried
	warm        bool               // only nodes that have the job's image
	holders     *bitset.BitSet     // slots that have the image of the job that the round looks at
	imageKnown  bool               // some node may have that image
	job         *Job               // that the round looks at
	jobBound    bound              // the kind of that job
	bounded     bool               // what fits of that job depends on its kind only
}

// Run does one round.
func Run(in *Input) *Plan {
	r := &round{in: in, view: in.View, plan: &Plan{}}
	if r.view == nil {
		r.view = NewView()
	}
	if in.Previous == nil { // the slots of a plan are those of its round
		r.view.prepare()
	}
	r.takeNodes()
	window := slices.Clone(in.Jobs)
	SortQueue(window, 4*in.ReserveAfterS)
	if len(window) > in.Window {
		window = window[:in.Window]
	}
	r.plan.JobsConsidered = len(window)
	if len(window) > 0 {
		r.makeClasses(leastNeed(window))
	}
	// GPU work first, CPU-only work on what is left; one that waited long
	// keeps its turn.
	cpuOnly := func(j *Job) bool { return j.Spec.Gpus == 0 && j.WaitedS <= in.ReserveAfterS }
	top := true
	for pass := range 2 {
		for _, j := range window {
			if cpuOnly(j) != (pass == 1) {
				continue
			}
			r.place(j, top)
			top = false
		}
	}
	r.plan.FreeAfterStops, r.plan.FreeAfterBoot = r.room[soon], r.room[later]
	return r.plan
}

// leastNeed is the least of each resource that any job's tasks need.
func leastNeed(window []*Job) fleet.Resources {
	least := fleet.TaskResources(window[0].Spec)
	for _, j := range window[1:] {
		n := fleet.TaskResources(j.Spec)
		least = fleet.Resources{Cores: min(least.Cores, n.Cores), Gpus: min(least.Gpus, n.Gpus), RAM: min(least.RAM, n.RAM)}
	}
	return least
}

// place starts what fits of j, and plans for the rest.
func (r *round) place(j *Job, top bool) {
	want := r.quota(j)
	if want == 0 {
		return
	}
	r.consider(j)
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
func (r *round) quota(j *Job) int {
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

// whole reports whether the job starts with all its tasks or not at all. A job
// that runs already only gets back what it lost.
func whole(j *Job) bool {
	return (j.Spec.Kind != wire.JobArray || j.Spec.SingleZone) && j.LiveAttempts == 0
}

// IsEligible reports whether a job may use a machine of this kind at all.
func IsEligible(w *wire.JobSpec, machineType, zone string, spot bool) bool {
	return (len(w.MachineTypes) == 0 || slices.Contains(w.MachineTypes, machineType)) && (w.Zone == "" || w.Zone == zone) && (!spot || w.AllowSpot)
}

// fit finds room for up to want tasks of j in a layer and takes it. With start
// set the tasks are launched; otherwise the room is only kept for them.
func (r *round) fit(j *Job, want int, l layer, start bool) int {
	b := r.boundIn(l)
	if r.foundNoRoom(j, b) {
		return 0
	}
	var places []Placement
	if j.Spec.SingleZone {
		places = r.singleZone(j, want, l)
	} else {
		places = r.choose(j, want, l, "")
	}
	n := count(places)
	if r.bounded && n < want {
		r.bounds[b] = n
	}
	if n == 0 || (whole(j) && n < j.PendingTasks) {
		return 0
	}
	r.take(j, places, start)
	return n
}

func count(places []Placement) int {
	n := 0
	for _, p := range places {
		n += p.Count
	}
	return n
}

// singleZone tries each zone and takes the one that holds most, on the fewest
// machines. A job that has tasks in a zone stays there.
func (r *round) singleZone(j *Job, want int, l layer) []Placement {
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

func (r *round) zones() []string {
	var zones []string
	for i := range r.kinds {
		if z := r.kinds[i].zone; !slices.Contains(zones, z) {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones)
	return zones
}

// zoneRoom is how many more tasks of j each zone may hold.
func zoneRoom(j *Job, zone string) int {
	if !j.Spec.SpreadZones {
		return j.Spec.TaskCount
	}
	return (j.Spec.TaskCount+1)/2 - j.LiveByZone[zone]
}

// mayUse reports whether a job may use machines of a kind.
func mayUse(j *Job, k *kind) bool {
	if !k.spot && !k.fixed && j.Spec.AllowSpot && !j.SpotUnavailable && (!j.CannotAwaitBoot || k.leaving && !j.WaitedPastBoot) {
		return false
	}
	return IsEligible(j.Spec, k.machineType, k.zone, k.spot)
}

// usable reports whether a job may use a node, whatever room it has.
func (r *round) usable(j *Job, slot int32) bool {
	m := r.memory
	if !m.allowed[m.kind[slot]] || m.reserved[slot] || r.avoided(j, slot) {
		return false
	}
	return !r.warm || r.kinds[m.kind[slot]].present && r.has(slot)
}

// taskPrice is what a task's share of the machine costs.
func taskPrice(k *kind, need fleet.Resources) float64 {
	share := 0.0
	for _, p := range [...][2]float64{{need.Cores, k.capacity.Cores}, {need.Gpus, k.capacity.Gpus}, {need.RAM, k.capacity.RAM}} {
		if p[1] > 0 {
			share = max(share, p[0]/p[1])
		}
	}
	return k.price * share
}

// price is what placing a task there costs: nothing for work that may be stopped
// and fills the gaps of a machine that stays anyway.
func (r *round) price(j *Job, k *kind, need fleet.Resources) float64 {
	if j.Spec.AllowSpot && k.fixed {
		return 0
	}
	return taskPrice(k, need)
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// take books the places against every layer, so that nobody later in the
// window uses the room, and against the limit of the team.
func (r *round) take(j *Job, places []Placement, start bool) {
	need := fleet.TaskResources(j.Spec)
	n := 0
	for _, p := range places {
		for l := range r.room {
			for range p.Count {
				r.room[l][p.Node] = r.room[l][p.Node].Sub(need)
			}
		}
		r.move(int32(p.Node))
		n += p.Count
		j.LiveByZone[r.zone(int32(p.Node))] += p.Count
	}
	j.LiveAttempts += n
	j.PendingTasks -= n
	t := r.in.Teams[j.Spec.Team]
	t.Used.Cores += float64(n) * need.Cores
	t.Used.Gpus += float64(n) * need.Gpus
	if start {
		r.plan.Placements = append(r.plan.Placements, places...)
		machines := r.view.MachineCount() + len(r.in.Nodes)
		c := float64(len(places)) / float64(2*max(1, machines))
		r.plan.Objective += r.in.PriorityWeights[j.Level] * (1 - c)
	}
}

// reserve keeps the machines for j that have most room already, until their
// whole capacity would hold it. Later jobs start only elsewhere.
func (r *round) reserve(j *Job, want int) {
	need := fleet.TaskResources(j.Spec)
	var nodes []int32
	for slot := range r.memory.kind {
		if r.empty(slot) || !r.usable(j, int32(slot)) {
			continue
		}
		if r.kinds[r.memory.kind[slot]].capacity.CountFitting(need, 1) > 0 {
			nodes = append(nodes, int32(slot))
		}
	}
	roomier := newHeap(nodes, func(a, b *int32) bool {
		x, y := r.room[soon][*a], r.room[soon][*b]
		return cmp.Or(cmp.Compare(y.Gpus, x.Gpus), cmp.Compare(y.Cores, x.Cores), cmp.Compare(*a, *b)) < 0
	})
	taken := map[string]int{}
	zone := ""
	for want > 0 && roomier.Len() > 0 {
		slot := roomier.Pop()
		z := r.zone(slot)
		if j.Spec.SingleZone && zone != "" && z != zone {
			continue
		}
		c := min(r.kinds[r.memory.kind[slot]].capacity.CountFitting(need, want), zoneRoom(j, z)-taken[z])
		if c <= 0 {
			continue
		}
		zone = z
		taken[z] += c
		want -= c
		r.memory.reserved[slot] = true
		r.move(slot)
	}
	r.plan.ReservedFor = j.Spec.UID
}

// empty reports whether there is no machine in a slot.
func (r *round) empty(slot int) bool {
	return slot < r.view.SlotCount() && r.view.nodes[slot].id == ""
}
