package sched

import (
	stdheap "container/heap"
	"iter"
)

// referenceHeap yields items in order without sorting those that nobody asks for: a job needs a few of many.
type referenceHeap[T any] struct {
	items []T
	cmp   func(a, b T) int
}

func (h *referenceHeap[T]) Len() int           { return len(h.items) }
func (h *referenceHeap[T]) Less(i, k int) bool { return h.cmp(h.items[i], h.items[k]) < 0 }
func (h *referenceHeap[T]) Swap(i, k int)      { h.items[i], h.items[k] = h.items[k], h.items[i] }

// Push adds an item.
func (h *referenceHeap[T]) Push(x any) { h.items = append(h.items, x.(T)) }

// Pop removes the last item.
func (h *referenceHeap[T]) Pop() any {
	x := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return x
}

// all yields the items, the least first.
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
