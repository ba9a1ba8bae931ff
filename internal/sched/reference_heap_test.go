package sched

import (
	stdheap "container/heap"
	"iter"
)

// referenceHeap is a min-heap. It is used instead of sorting because a job usually needs only a few of many items.
type referenceHeap[T any] struct {
	items   []T
	compare func(a, b T) int
}

func (h *referenceHeap[T]) Len() int           { return len(h.items) }
func (h *referenceHeap[T]) Less(i, k int) bool { return h.compare(h.items[i], h.items[k]) < 0 }
func (h *referenceHeap[T]) Swap(i, k int)      { h.items[i], h.items[k] = h.items[k], h.items[i] }

// Push implements heap.Interface: it appends an item.
func (h *referenceHeap[T]) Push(x any) { h.items = append(h.items, x.(T)) }

// Pop implements heap.Interface: it removes the last item of the list.
func (h *referenceHeap[T]) Pop() any {
	x := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return x
}

// all removes the items and yields them in order, the least first.
func (h *referenceHeap[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		stdheap.Init(h)
		for len(h.items) > 0 {
			if !yield(stdheap.Pop(h).(T)) {
				return
			}
		}
	}
}
