package sched

// heap is a binary min-heap. It is used instead of sorting because a job usually needs only the first few of
// many items.
type heap[T any] struct {
	items []T
	less  func(a, b *T) bool
}

// newHeap turns a list into a heap in place; the caller must not use the list afterwards.
func newHeap[T any](items []T, less func(a, b *T) bool) *heap[T] {
	h := &heap[T]{items: items, less: less}
	for i := len(items)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
	return h
}

// Len returns the number of items.
func (h *heap[T]) Len() int { return len(h.items) }

// Min returns the least item without removing it.
func (h *heap[T]) Min() *T { return &h.items[0] }

// Pop removes the least item and returns it.
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

// Replace replaces the least item by another one.
func (h *heap[T]) Replace(item T) {
	h.items[0] = item
	h.siftDown(0)
}

// siftDown moves an item down until none of its children is less.
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
