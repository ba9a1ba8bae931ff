package sched

// heap is a binary heap. A job needs the first few of many items, so they are not sorted as a whole. It
// works in the memory of the list that it is made of.
type heap[T any] struct {
	items []T
	less  func(a, b *T) bool
}

// newHeap makes a heap of a list, whose memory it uses.
func newHeap[T any](items []T, less func(a, b *T) bool) *heap[T] {
	h := &heap[T]{items: items, less: less}
	for i := len(items)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
	return h
}

// Len returns the number of items.
func (h *heap[T]) Len() int { return len(h.items) }

// Min returns the first item in order, which stays in the heap.
func (h *heap[T]) Min() *T { return &h.items[0] }

// Pop removes the first item and returns it.
func (h *heap[T]) Pop() T {
	last := len(h.items) - 1
	first := h.items[0]
	h.items[0] = h.items[last]
	h.items = h.items[:last]
	h.siftDown(0)
	return first
}

// Push adds an item.
func (h *heap[T]) Push(item T) {
	h.items = append(h.items, item)
	for i := len(h.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.less(&h.items[i], &h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

// Replace replaces the first item by another one.
func (h *heap[T]) Replace(item T) {
	h.items[0] = item
	h.siftDown(0)
}

// siftDown moves an item to its place among those below it.
func (h *heap[T]) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(&h.items[child+1], &h.items[child]) {
			child++
		}
		if !h.less(&h.items[child], &h.items[i]) {
			return
		}
		h.items[i], h.items[child] = h.items[child], h.items[i]
		i = child
	}
}
