package queue

import (
	"slices"
	"time"
)

// Expire removes the items whose answer can no longer arrive before their deadline. It returns them together
// with the items evicted since the last call; none of them has run. Without it an overloaded server would
// spend time on callers that have given up, at the expense of the others.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	out := q.evicted
	q.evicted = nil
	expired := q.Remove(func(item Item[T]) bool {
		return !item.Deadline.IsZero() && now.Add(q.service(item.Cost)).After(item.Deadline)
	})
	return append(out, expired...)
}

// Remove removes and returns the items for which drop returns true, in the order in which they were added.
func (q *Queue[T]) Remove(drop func(Item[T]) bool) []Item[T] {
	var out []rankedItem[T]
	for _, from := range slices.Clone(q.heap) {
		for at := len(from.items) - 1; at >= 0; at-- {
			candidate := from.items[at]
			if drop(candidate.item) {
				out = append(out, candidate)
				q.removeAt(from, at)
			}
		}
	}
	slices.SortFunc(out, func(a, b rankedItem[T]) int { return int(a.sequence) - int(b.sequence) })
	items := make([]Item[T], 0, len(out))
	for _, r := range out {
		items = append(items, r.item)
	}
	return items
}

// EstimateWait estimates how long a new item of the organisation, of typical cost, would wait. The estimate is the
// work ahead of it, or one typical item if that is more, at the recent throughput. While the throughput is
// unreliable, serviceTimeBound limits the estimate. It is 0 while the queue is empty or the throughput unknown.
func (q *Queue[T]) EstimateWait(now time.Time, organisation string, weight float64) time.Duration {
	return q.estimateWait(now, Item[T]{
		Organisation: organisation,
		Weight:       positiveOrOne(weight),
		Cost:         q.throughput.typicalCost(),
		Enqueued:     now,
	})
}

func (q *Queue[T]) estimateWait(now time.Time, item Item[T]) time.Duration {
	if q.length == 0 {
		return 0
	}
	start, own := q.virtualTime, 0.0
	found := q.flows[item.Organisation]
	if found != nil {
		own = q.workAheadInFlow(now, found, item)
		start = max(found.start, q.virtualTime) + own/item.Weight
	}
	wait := q.throughput.duration(max(own+q.workAheadInOtherFlows(start, found), q.throughput.typicalCost()))
	if q.throughput.reliable() {
		return wait
	}
	if bound, known := q.serviceTimeBound(now); known {
		return min(wait, bound)
	}
	return wait
}

// serviceTimeBound returns an upper bound on a new item's wait, derived from service times: the queue drains in
// rounds, each of which fills all slots and takes as long as the longest item that is running or queued. It
// returns false if the service time of any of these items is unknown.
//
// It guards against a stall that distorts the throughput: if the server stops for some seconds while an item
// waits, the stall makes up most of the measured time in a queue that is seldom used, because throughput is
// measured only while items wait. Minutes later calls were refused for an estimated wait of several seconds,
// although the real one would have been well below a second. Service times are measured on every item that finishes, whether others wait or
// not, and a server that is stalled now shows in the age of its running items.
func (q *Queue[T]) serviceTimeBound(now time.Time) (time.Duration, bool) {
	if q.slots == nil {
		return 0, false
	}
	longest, known := q.running.longestTime(now, q.service)
	for _, flow := range q.heap {
		for i := range flow.items {
			serviceTime := q.service(flow.items[i].item.Cost)
			longest, known = max(longest, serviceTime), known && serviceTime > 0
		}
	}
	rounds := q.length/max(1, q.slots()) + 1
	return time.Duration(rounds) * longest, known
}

// workAheadInFlow returns the cost of the items in the item's own flow that go before it. It leaves out long
// items that may not start now if the new item is short; otherwise a short call would be refused because of the
// long jobs of its organisation that it overtakes.
func (q *Queue[T]) workAheadInFlow(now time.Time, flow *flow[T], item Item[T]) float64 {
	longCost := q.throughput.longCost()
	overtakes := item.Cost < longCost && q.longSlotsFull(now)
	rank := q.rank(item)
	work := 0.0
	for i := range flow.items {
		ahead := &flow.items[i]
		if ahead.rank.After(rank) {
			break
		}
		if !overtakes || ahead.item.Cost < longCost {
			work += ahead.item.Cost
		}
	}
	return work
}

// workAheadInOtherFlows returns the cost of the items in flows other than own that go before the virtual time start.
func (q *Queue[T]) workAheadInOtherFlows(start float64, own *flow[T]) float64 {
	work := 0.0
	for _, other := range q.heap {
		if other != own && other.start <= start {
			first := other.items[0].item.Cost
			work += min(other.totalCost, max(first, (start-other.start)*other.weight))
		}
	}
	return work
}
