package queue

import (
	"cmp"
	"slices"
	"time"
)

// ranked is an item with its place in its lane.
type ranked[T any] struct {
	item     Item[T]
	rank     time.Time
	sequence uint64
}

func compareRanked[T any](a, b ranked[T]) int {
	return cmp.Or(a.rank.Compare(b.rank), cmp.Compare(a.sequence, b.sequence))
}

// lane holds the items of one organisation, sorted by rank.
type lane[T any] struct {
	organisation string
	weight       float64
	// start is the virtual time at which the first item may start.
	start float64
	cost  float64
	items []ranked[T]
	// place is the lane's index in the heap, -1 if it is not in it.
	place int
}

func (l *lane[T]) insert(added ranked[T]) {
	at, _ := slices.BinarySearchFunc(l.items, added, compareRanked[T])
	l.items = slices.Insert(l.items, at, added)
	l.cost += added.item.Cost
}

func (l *lane[T]) take(at int) Item[T] {
	item := l.items[at].item
	l.items = slices.Delete(l.items, at, at+1)
	l.cost -= item.Cost
	if len(l.items) == 0 {
		l.cost = 0
	}
	return item
}

// newest returns the index of the item that came last.
func (l *lane[T]) newest() int {
	newest := 0
	for i := range l.items {
		if l.items[i].sequence > l.items[newest].sequence {
			newest = i
		}
	}
	return newest
}

// firstShort returns the index of the first item below the cost of a long one, or -1.
func (l *lane[T]) firstShort(long float64) int {
	return slices.IndexFunc(l.items, func(r ranked[T]) bool { return r.item.Cost < long })
}

// laneHeap orders the lanes that have items by virtual start time. It implements heap.Interface.
type laneHeap[T any] []*lane[T]

func (h laneHeap[T]) Len() int { return len(h) }

func (h laneHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].organisation < h[j].organisation
}

func (h laneHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place = i
	h[j].place = j
}

// Push adds a lane for heap.Push.
func (h *laneHeap[T]) Push(x any) {
	added, _ := x.(*lane[T])
	added.place = len(*h)
	*h = append(*h, added)
}

// Pop takes the last lane for heap.Pop.
func (h *laneHeap[T]) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	last.place = -1
	return last
}
