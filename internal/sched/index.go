package sched

import (
	"cmp"
	"container/heap"
	"iter"
	"slices"
	"strings"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// What follows spares a round work that cannot change its outcome. At a
// thousand machines and hundreds of waiting jobs, looking at every machine for
// every job took longer than the interval: every round overran, and an overrun
// starts nothing.

// openNodes are the nodes of a layer that may have room for a task of the
// window.
type openNodes struct {
	nodes []int
	in    []bool // by node
}

// index prepares the lists of open nodes for the jobs of a window.
func (r *round) index(window []*Job) {
	if len(window) == 0 {
		return
	}
	least := fleet.Need(window[0].Spec)
	for _, j := range window[1:] {
		n := fleet.Need(j.Spec)
		least = fleet.Res{Cores: min(least.Cores, n.Cores), Gpus: min(least.Gpus, n.Gpus), RAM: min(least.RAM, n.RAM)}
	}
	r.least = least
	for l := range r.open {
		o := &r.open[l]
		o.in = make([]bool, len(r.in.Nodes))
		for i := range r.in.Nodes {
			if r.room[l][i].Count(least, 1) > 0 {
				o.nodes, o.in[i] = append(o.nodes, i), true
			}
		}
	}
}

// candidates lists the nodes of a layer that may have room, and drops those
// that no longer have.
func (r *round) candidates(l layer) []int {
	o := &r.open[l]
	o.nodes = slices.DeleteFunc(o.nodes, func(i int) bool {
		o.in[i] = r.room[l][i].Count(r.least, 1) > 0
		return !o.in[i]
	})
	return o.nodes
}

// grow gives a node the room of a task that is stopped, once it has ended.
func (r *round) grow(node int, room fleet.Res) {
	clear(r.bounds)
	for _, l := range [...]layer{soon, later} {
		r.room[l][node] = r.room[l][node].Add(room)
		if o := &r.open[l]; !o.in[node] && r.room[l][node].Count(r.least, 1) > 0 {
			o.nodes, o.in[node] = append(o.nodes, node), true
		}
	}
}

// leastLost gives, for each node, the victims in the order in which they are
// stopped.
func (r *round) leastLost() [][]Victim {
	if r.victims == nil {
		r.victims = make([][]Victim, len(r.in.Nodes))
		for i := range r.in.Nodes {
			r.victims[i] = slices.SortedFunc(slices.Values(r.in.Nodes[i].Victims), func(a, b Victim) int {
				return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(a.Loss, b.Loss), cmp.Compare(a.ID, b.ID))
			})
		}
	}
	return r.victims
}

// displaced stands for the room that a job finds by displacing others.
const displaced = layers

// bound names a kind of job and a layer. Room only shrinks in a round, but for
// what is stopped: of a kind that fitted so many times, no more fit later.
type bound struct {
	layer          layer
	level          int // of a job that displaces
	need           fleet.Res
	rigs, yard     string
	standby        bool
	overdue, tired bool
	dear           bool
	image          string // if only nodes that have it will do
}

// bound names the job's kind. ok is false if what fits depends on more.
func (r *round) bound(j *Job, l layer) (b bound, ok bool) {
	s := j.Spec
	if s.Together || s.Scatter || j.Avoid != "" {
		return b, false
	}
	b = bound{layer: l, need: fleet.Need(s), rigs: strings.Join(s.Rigs, " "), yard: s.Yard, standby: s.Standby, overdue: j.Overdue, tired: j.Tired, dear: j.Dear}
	if r.warm {
		b.image = s.Rollout
	}
	if l == displaced {
		b.level = j.Level
	}
	return b, true
}

// least gives items in order without sorting those that nobody asks for: a job
// needs a few of many.
type least[T any] struct {
	items []T
	cmp   func(a, b T) int
}

func (h *least[T]) Len() int           { return len(h.items) }
func (h *least[T]) Less(i, k int) bool { return h.cmp(h.items[i], h.items[k]) < 0 }
func (h *least[T]) Swap(i, k int)      { h.items[i], h.items[k] = h.items[k], h.items[i] }

// Push adds an item.
func (h *least[T]) Push(x any) { h.items = append(h.items, x.(T)) }

// Pop takes the last item off.
func (h *least[T]) Pop() any {
	x := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return x
}

// all gives the items, the least first.
func (h *least[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		heap.Init(h)
		for len(h.items) > 0 {
			if !yield(heap.Pop(h).(T)) {
				return
			}
		}
	}
}
