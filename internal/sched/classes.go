package sched

import (
	"cmp"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// A round does not look at every machine for every job. Nodes that are alike in all that a
// round weighs but their images are a class: a job looks at classes, and at nodes only in the
// classes that it takes room of. Nodes without room for the least task of the window are in
// no class.

// noClass is the class of a node that is in none.
const noClass = -1

// classKey is what the nodes of a class have in common.
type classKey struct {
	kind    int32
	pulling int32
	room    [layers]fleet.Resources
}

// class is nodes that are alike.
type class struct {
	classKey
	members []int32 // in order; those that have left are passed over
	head    int     // all members before it have left
	size    int     // members that have not left
}

// memory is what a round uses again of the one before: made anew for each round and each
// job, these lists were nearly all that a leader of 2,700 machines allocated.
type memory struct {
	room      [layers][]fleet.Resources
	kind      []int32
	pulling   []int32
	class     []int32
	reserved  []bool
	classes   []class
	index     map[classKey]int32
	members   []int32
	groups    []group
	choices   []choice
	allowed   []bool
	preempted []preemptible
	victims   []Victim           // copies that are put in order
	ordered   map[int32][]Victim // by slot: parts of victims
	bounds    map[bound]int
}

// resized gives a list n zero values, in its old memory if that is large enough.
func resized[T any](list []T, n int) []T {
	if cap(list) < n {
		return make([]T, n, n+n/8)
	}
	list = list[:n]
	clear(list)
	return list
}

// takeNodes takes the nodes of the input into the round.
func (r *round) takeNodes() {
	view, n := r.view, r.view.SlotCount()+len(r.in.Nodes)
	m := &view.memory
	m.kind, m.pulling, m.class, m.reserved = resized(m.kind, n), resized(m.pulling, n), resized(m.class, n), resized(m.reserved, n)
	m.room[now] = resized(m.room[now], n)
	m.room[soon], m.room[later] = make([]fleet.Resources, n), make([]fleet.Resources, n) // the plan keeps these
	m.preempted, m.victims = m.preempted[:0], m.victims[:0]
	if m.ordered == nil {
		m.ordered, m.bounds = map[int32][]Victim{}, map[bound]int{}
	}
	clear(m.ordered)
	clear(m.bounds)
	r.victims, r.bounds = m.ordered, m.bounds
	r.memory, r.room = m, m.room
	for slot := range view.nodes {
		node := &view.nodes[slot]
		m.kind[slot], m.pulling[slot] = node.kind, node.pulling
		for l := range r.room {
			r.room[l][slot] = node.room[l]
		}
	}
	r.lowest = view.lowestVictim()
	for i := range r.in.Nodes {
		node, slot := &r.in.Nodes[i], view.SlotCount()+i
		m.kind[slot], m.pulling[slot] = view.kinds.number(kindOf(node)), int32(node.ActiveFetches)
		r.room[now][slot], r.room[soon][slot], r.room[later][slot] = node.Free, node.FreeAfterStops, node.FreeAfterBoot
		for k := range node.Victims {
			r.lowest = min(r.lowest, node.Victims[k].Level)
		}
	}
	r.kinds = view.kinds.list
	if after := r.in.Previous; after != nil {
		copy(r.room[now], after.FreeAfterStops)
		copy(r.room[soon], after.FreeAfterStops)
		copy(r.room[later], after.FreeAfterBoot)
	}
}

// makeClasses puts the nodes that have room for the least task of a window into classes.
func (r *round) makeClasses(least fleet.Resources) {
	r.least = least
	m := r.memory
	if m.index == nil {
		m.index = map[classKey]int32{}
	}
	clear(m.index)
	m.classes = m.classes[:0]
	for slot := range m.class {
		m.class[slot] = noClass
		if r.empty(slot) {
			continue
		}
		if key := r.keyOf(int32(slot)); r.open(&key) {
			c := r.classOf(key)
			m.class[slot] = c
			m.classes[c].size++
		}
	}
	m.members = resized(m.members, len(m.class))
	used := 0
	for c := range m.classes {
		size := m.classes[c].size
		m.classes[c].members = m.members[used : used : used+size]
		used += size
	}
	for slot, c := range m.class {
		if c != noClass {
			m.classes[c].members = append(m.classes[c].members, int32(slot))
		}
	}
}

// keyOf is the key of the class that a node belongs to as it stands.
func (r *round) keyOf(slot int32) classKey {
	m := r.memory
	return classKey{m.kind[slot], m.pulling[slot], [layers]fleet.Resources{r.room[now][slot], r.room[soon][slot], r.room[later][slot]}}
}

// open reports whether nodes of a class have room for the least task, now or later.
func (r *round) open(key *classKey) bool {
	for l := range key.room {
		if key.room[l].FitsRequested(r.least) {
			return true
		}
	}
	return false
}

// classOf finds or makes the class of a key.
func (r *round) classOf(key classKey) int32 {
	m := r.memory
	c, known := m.index[key]
	if !known {
		c = int32(len(m.classes))
		m.classes = append(m.classes, class{classKey: key})
		m.index[key] = c
		for l := range r.openClasses {
			if key.room[l].FitsRequested(r.least) {
				r.openClasses[l] = append(r.openClasses[l], c)
			}
		}
	}
	return c
}

// move puts a node whose room has changed into the class that it now belongs to.
func (r *round) move(slot int32) {
	m := r.memory
	if old := m.class[slot]; old != noClass {
		m.classes[old].size--
		m.class[slot] = noClass
	}
	key := r.keyOf(slot)
	if m.reserved[slot] || !r.open(&key) {
		return
	}
	c := r.classOf(key)
	m.class[slot] = c
	to := &m.classes[c]
	to.size++
	at, known := slices.BinarySearch(to.members, slot)
	if !known {
		to.members = slices.Insert(to.members, at, slot)
	}
	to.head = min(to.head, at)
}

// group is the nodes of a class that a job weighs alike.
type group struct {
	class    int32
	count    int // tasks that fit on each, at most as many as are wanted
	pulling  int32
	split    bool // only the nodes that have the image, or only those that do not
	image    bool // they have the job's image
	fixed    bool
	price    float64
	headroom float64
}

// weigh lists the groups of nodes on which tasks of a job fit. The list is good until the
// next call.
func (r *round) weigh(j *Job, want int, l layer, zone string) []group {
	m, need := r.memory, fleet.TaskResources(j.Spec)
	groups := m.groups[:0]
	for _, c := range r.openClasses[l] {
		class := &m.classes[c]
		if class.size == 0 || !m.allowed[class.kind] {
			continue
		}
		k := &r.kinds[class.kind]
		if zone != "" && k.zone != zone {
			continue
		}
		free := class.room[l]
		n := free.CountFitting(need, want)
		if n == 0 {
			continue
		}
		g := group{class: c, count: n, pulling: class.pulling, fixed: k.fixed, price: r.price(j, k, need)}
		g.headroom = free.Gpus - float64(n)*need.Gpus + (free.Cores-float64(n)*need.Cores)/max(k.capacity.Cores, 1)
		if need.Gpus == 0 {
			g.headroom = free.Gpus
		}
		g.split = r.imageKnown && k.present
		if !r.warm {
			groups = append(groups, g)
		}
		if g.split {
			g.image, g.pulling = true, 0
			groups = append(groups, g)
		}
	}
	m.groups = groups
	return groups
}

// has reports whether a node has the image of the job that is looked at.
func (r *round) has(slot int32) bool {
	if retained := int32(r.view.SlotCount()); slot >= retained {
		return slices.Contains(r.in.Nodes[slot-retained].Images, r.job.Spec.Image)
	}
	return r.holders != nil && r.holders.Test(uint(slot))
}

// better orders groups: the cheapest for the task first, then those that have the image, then
// those that need the fewest machines, then the tightest fit. The image goes first where its
// fetch alone would make the start late. CPU-only work goes where the fewest GPUs are free.
func better(j *Job, a, b *group) int {
	if !j.FetchDelaysStart && !j.Spec.AllowSpot {
		if order := cmp.Compare(a.price, b.price); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(b2i(b.fixed), b2i(a.fixed)), cmp.Compare(a.headroom, b.headroom),
			cmp.Compare(b2i(b.image), b2i(a.image)), cmp.Compare(a.pulling, b.pulling))
	}
	price, image := cmp.Compare(a.price, b.price), cmp.Compare(b2i(b.image), b2i(a.image))
	if j.FetchDelaysStart {
		price, image = image, price
	}
	return cmp.Or(price, image, cmp.Compare(a.pulling, b.pulling), cmp.Compare(b.count, a.count), cmp.Compare(a.headroom, b.headroom))
}

// choose picks nodes for up to want tasks, the best first.
func (r *round) choose(j *Job, want int, l layer, zone string) []Placement {
	groups := newHeap(r.weigh(j, want, l, zone), func(a, b *group) bool { return better(j, a, b) < 0 })
	var places []Placement
	var taken map[string]int // by zone
	if j.Spec.SpreadZones {
		taken = map[string]int{}
	}
	var alike []cursor
	for want > 0 && groups.Len() > 0 {
		first := groups.Pop()
		alike = append(alike[:0], r.cursor(&first))
		for groups.Len() > 0 && better(j, &first, groups.Least()) == 0 {
			g := groups.Pop()
			alike = append(alike, r.cursor(&g))
		}
		for slot := r.next(alike, j); slot >= 0 && want > 0; slot = r.next(alike, j) {
			c := min(first.count, want)
			if j.Spec.SpreadZones {
				z := r.zone(slot)
				if c = min(c, zoneRoom(j, z)-taken[z]); c <= 0 {
					continue
				}
				taken[z] += c
			}
			places = append(places, Placement{j, int(slot), c})
			want -= c
		}
	}
	return places
}

// cursor goes through the nodes of a group.
type cursor struct {
	class        *class
	number       int32
	at           int
	split, image bool
}

func (r *round) cursor(g *group) cursor {
	c := &r.memory.classes[g.class]
	for c.head < len(c.members) && r.memory.class[c.members[c.head]] != g.class {
		c.head++
	}
	return cursor{class: c, number: g.class, at: c.head, split: g.split, image: g.image}
}

// next takes the first node in order of several groups that a job weighs alike; -1 if there
// is none.
func (r *round) next(alike []cursor, j *Job) int32 {
	best := -1
	for i := range alike {
		if !r.settle(&alike[i], j) {
			continue
		}
		if best < 0 || alike[i].slot() < alike[best].slot() {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	slot := alike[best].slot()
	alike[best].at++
	return slot
}

func (c *cursor) slot() int32 { return c.class.members[c.at] }

// settle moves a cursor on to a node that is in its group; false if there is none.
func (r *round) settle(c *cursor, j *Job) bool {
	for ; c.at < len(c.class.members); c.at++ {
		slot := c.slot()
		if r.memory.class[slot] != c.number || c.split && r.has(slot) != c.image || r.avoided(j, slot) {
			continue
		}
		return true
	}
	return false
}

// avoided reports whether a job is not to be placed on a node that it may use otherwise.
func (r *round) avoided(j *Job, slot int32) bool {
	return j.AvoidedMachine != "" && r.id(slot) == j.AvoidedMachine
}

func (r *round) id(slot int32) string {
	if retained := int32(r.view.SlotCount()); slot >= retained {
		return r.in.Nodes[slot-retained].ID
	}
	return r.view.nodes[slot].id
}

func (r *round) zone(slot int32) string { return r.kinds[r.memory.kind[slot]].zone }
