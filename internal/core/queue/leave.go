package queue

import (
	"slices"
	"time"
)

// Expire takes out the items whose answer can't come before their deadline any more, and returns them
// with those that made room for others since the last call. None of them ran. It guards against work for
// callers that have given up: under overload that work would take the server's time from others.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	out := q.lost
	q.lost = nil
	late := q.Remove(func(item Item[T]) bool {
		return !item.Deadline.IsZero() && now.Add(q.service(item.Cost)).After(item.Deadline)
	})
	return append(out, late...)
}

// Remove takes out the items for which drop is true, sorted by the time they came.
func (q *Queue[T]) Remove(drop func(Item[T]) bool) []Item[T] {
	var out []ranked[T]
	for _, from := range slices.Clone(q.heap) {
		for at := len(from.items) - 1; at >= 0; at-- {
			candidate := from.items[at]
			if drop(candidate.item) {
				out = append(out, candidate)
				q.remove(from, at)
			}
		}
	}
	slices.SortFunc(out, func(a, b ranked[T]) int { return int(a.sequence) - int(b.sequence) })
	items := make([]Item[T], 0, len(out))
	for _, r := range out {
		items = append(items, r.item)
	}
	return items
}

// Wait estimates how long a new item of the organisation, of typical cost, would wait, from the work that
// goes before it and the pace of the last seconds, one item's turn at least; 0 while nothing waits or
// no pace is known.
func (q *Queue[T]) Wait(now time.Time, organisation string, weight float64) time.Duration {
	return q.wait(now, Item[T]{
		Organisation: organisation,
		Weight:       positive(weight),
		Cost:         q.pace.typicalCost(),
		Enqueued:     now,
	})
}

func (q *Queue[T]) wait(now time.Time, item Item[T]) time.Duration {
	if q.length == 0 {
		return 0
	}
	start, own := q.clock, 0.0
	found := q.lanes[item.Organisation]
	if found != nil {
		own = q.ownAhead(now, found, item)
		start = max(found.start, q.clock) + own/item.Weight
	}
	wait := q.pace.duration(max(own+q.ahead(start, found), q.pace.typicalCost()))
	if q.pace.sure() {
		return wait
	}
	if turns, known := q.turns(now); known {
		return min(wait, turns)
	}
	return wait
}

// turns bounds a new item's wait at a server that works as it did of late: with each turn of the slots, which takes as long as the
// longest item that runs or waits, as many start as there are slots. false if the service time of one isn't known.
//
// Failure: the server stands still for some seconds while an item waits, and works on. The pace is measured while items wait only,
// so that in a queue that is seldom used the stall remains most of what it knows: minutes later calls were refused for a wait of
// seconds that would have taken a fraction of one. The service time is learnt from each item that ends, whether others wait or
// not; and a server that stands still now shows in the age of its items.
func (q *Queue[T]) turns(now time.Time) (time.Duration, bool) {
	if q.slots == nil {
		return 0, false
	}
	longest, known := q.running.longest(now, q.service)
	for _, lane := range q.heap {
		for i := range lane.items {
			took := q.service(lane.items[i].item.Cost)
			longest, known = max(longest, took), known && took > 0
		}
	}
	turns := q.length/max(1, q.slots()) + 1
	return time.Duration(turns) * longest, known
}

// ownAhead is the work of the item's lane that goes before it. Long items that may not start now don't: a
// short call would else be refused for the long jobs of its organisation that it overtakes.
func (q *Queue[T]) ownAhead(now time.Time, lane *lane[T], item Item[T]) float64 {
	long := q.pace.longCost()
	overtakes := item.Cost < long && q.longFull(now)
	rank := q.rank(item)
	work := 0.0
	for i := range lane.items {
		ahead := &lane.items[i]
		if ahead.rank.After(rank) {
			break
		}
		if !overtakes || ahead.item.Cost < long {
			work += ahead.item.Cost
		}
	}
	return work
}

// ahead is the work of the lanes other than own that goes before a virtual start time.
func (q *Queue[T]) ahead(start float64, own *lane[T]) float64 {
	work := 0.0
	for _, other := range q.heap {
		if other != own && other.start <= start {
			first := other.items[0].item.Cost
			work += min(other.cost, max(first, (start-other.start)*other.weight))
		}
	}
	return work
}
