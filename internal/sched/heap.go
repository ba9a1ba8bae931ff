package sched

// heap gives items in order without sorting those that nobody asks for: a job needs a few of
// many. It works in the memory of the list that it is made of.
type heap[T any] struct {
	items  []T
	before func(a, b *T) bool
}

func newHeap[T any](items []T, before func(a, b *T) bool) *heap[T] {
	h := &heap[T]{items, before}
	for i := len(items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
	return h
}

// Len is the number of items.
func (h *heap[T]) Len() int { return len(h.items) }

// Least is the first item in order.
func (h *heap[T]) Least() *T { return &h.items[0] }

// Pop takes the first item off.
func (h *heap[T]) Pop() T {
	last := len(h.items) - 1
	first := h.items[0]
	h.items[0] = h.items[last]
	h.items = h.items[:last]
	h.down(0)
	return first
}

// Push adds an item.
func (h *heap[T]) Push(item T) {
	h.items = append(h.items, item)
	for i := len(h.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.before(&h.items[i], &h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

// Replace puts an item in the place of the first one.
func (h *heap[T]) Replace(item T) {
	h.items[0] = item
	h.down(0)
}

// down moves an item to its place among those below it.
func (h *heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.before(&h.items[child+1], &h.items[child]) {
			child++
		}
		if !h.before(&h.items[child], &h.items[i]) {
			return
		}
		h.items[i], h.items[child] = h.items[child], h.items[i]
		i = child
	}
}
