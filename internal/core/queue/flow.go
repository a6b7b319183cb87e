package queue

import (
	"cmp"
	"slices"
	"time"
)

// rankedItem is an item with its sort key within its flow.
type rankedItem[T any] struct {
	item     Item[T]
	rank     time.Time
	sequence uint64
}

func compareRank[T any](a, b rankedItem[T]) int {
	return cmp.Or(a.rank.Compare(b.rank), cmp.Compare(a.sequence, b.sequence))
}

// flow holds the queued items of one organisation, sorted by rank.
type flow[T any] struct {
	organisation string
	weight       float64
	// start is the virtual start time of the first item.
	start     float64
	totalCost float64
	items     []rankedItem[T]
	// heapIndex is the flow's index in the heap, -1 if it is not in it.
	heapIndex int
}

func (f *flow[T]) insert(added rankedItem[T]) {
	at, _ := slices.BinarySearchFunc(f.items, added, compareRank[T])
	f.items = slices.Insert(f.items, at, added)
	f.totalCost += added.item.Cost
}

func (f *flow[T]) deleteAt(at int) Item[T] {
	item := f.items[at].item
	f.items = slices.Delete(f.items, at, at+1)
	f.totalCost -= item.Cost
	if len(f.items) == 0 {
		f.totalCost = 0
	}
	return item
}

// newestIndex returns the index of the item that was added last.
func (f *flow[T]) newestIndex() int {
	newest := 0
	for i := range f.items {
		if f.items[i].sequence > f.items[newest].sequence {
			newest = i
		}
	}
	return newest
}

// firstShortIndex returns the index of the first item that costs less than longCost, or -1.
func (f *flow[T]) firstShortIndex(longCost float64) int {
	return slices.IndexFunc(f.items, func(r rankedItem[T]) bool { return r.item.Cost < longCost })
}

// flowHeap orders the flows that have items by virtual start time. It implements heap.Interface.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].organisation < h[j].organisation
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends a flow; it is called by heap.Push.
func (h *flowHeap[T]) Push(x any) {
	added, _ := x.(*flow[T])
	added.heapIndex = len(*h)
	*h = append(*h, added)
}

// Pop removes the last flow; it is called by heap.Pop and heap.Remove.
func (h *flowHeap[T]) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	last.heapIndex = -1
	return last
}
