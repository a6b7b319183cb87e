package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// Queue orders waiting requests. It must be used by one goroutine only.
type Queue[T any] struct {
	options
	flows map[string]*flow[T]
	// heap holds the flows that have items.
	heap       flowHeap[T]
	throughput throughput
	// virtualTime is the highest virtual start time of the items popped so far.
	virtualTime float64
	length      int
	sequence    uint64
	// evicted holds the items evicted from a full queue since the last Expire.
	evicted []Item[T]
	// longRunning counts the long items that are running; lastShort is when a short one last arrived.
	longRunning int
	lastShort   time.Time
	// running holds the items at the server; it is used with WithSlots only.
	running runningItems
}

// New returns an empty queue.
func New[T any](opts ...Option) *Queue[T] {
	return &Queue[T]{options: newOptions(opts), flows: map[string]*flow[T]{}}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.length }

// Push adds an item, or returns a *verdict.Refusal with NotRun and the time after which to retry. It refuses
// an item whose answer can't arrive before its deadline or whose wait would take too much of its remaining time,
// an item of an organisation at its bound, and, when the queue is full, an item of the organisation with the most
// queued cost for its weight. If another organisation has more, that one's newest item is evicted; Expire returns it.
func (q *Queue[T]) Push(now time.Time, item Item[T]) error {
	item.Weight = positiveOrOne(item.Weight)
	item.Cost = positiveOrOne(item.Cost)
	if item.Enqueued.IsZero() {
		item.Enqueued = now
	}
	if err := q.checkDeadline(now, item); err != nil {
		return err
	}
	target := q.flow(item.Organisation, item.Weight)
	if err := q.makeRoom(target, item); err != nil {
		q.dropIfIdle(target)
		return err
	}
	q.enqueue(now, target, item)
	return nil
}

func positiveOrOne(value float64) float64 {
	if value > 0 {
		return value
	}
	return 1
}

// checkDeadline refuses at once an item that would expire later or would wait for too much of its remaining
// time, so that the caller can go elsewhere. With the deadline as the only bound, the queue under overload would
// grow as long as callers are willing to wait, and every caller served would have waited almost until its deadline.
func (q *Queue[T]) checkDeadline(now time.Time, item Item[T]) error {
	if item.Deadline.IsZero() {
		return nil
	}
	wait := q.estimateWait(now, item)
	remaining := item.Deadline.Sub(now)
	if overrun := wait + q.service(item.Cost) - remaining; overrun > 0 {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlineUnreachable, overrun,
			"a wait of %v would miss the deadline by %v", wait.Round(time.Millisecond), overrun.Round(time.Millisecond))
	}
	if over := wait - remaining/maxWaitDivisor; over > 0 {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonOverloaded, over,
			"a wait of %v is too long for the time that remains", wait.Round(time.Millisecond))
	}
	return nil
}

// flow returns the organisation's flow, creating it if needed. An empty flow is not in the heap.
func (q *Queue[T]) flow(organisation string, weight float64) *flow[T] {
	found, ok := q.flows[organisation]
	if !ok {
		found = &flow[T]{organisation: organisation, heapIndex: -1, start: q.virtualTime}
		q.flows[organisation] = found
	}
	found.weight = weight
	return found
}

// makeRoom returns nil if there is room for the item. If the queue is full it evicts the newest item of the flow
// with the most queued cost for its weight, or refuses if that is the item's own flow.
func (q *Queue[T]) makeRoom(target *flow[T], item Item[T]) error {
	if len(target.items) >= q.organisationBound {
		return q.refuseFull(target, "the organisation's queue is full")
	}
	if q.length < q.totalBound {
		return nil
	}
	largest := slices.MaxFunc(q.heap, func(a, b *flow[T]) int {
		return cmp.Or(cmp.Compare(a.totalCost/a.weight, b.totalCost/b.weight), cmp.Compare(a.organisation, b.organisation))
	})
	if largest == target || (target.totalCost+item.Cost)/target.weight >= largest.totalCost/largest.weight {
		return q.refuseFull(target, "the server's queue is full")
	}
	q.evicted = append(q.evicted, q.removeAt(largest, largest.newestIndex()))
	return nil
}

// refuseFull returns a refusal with the time until half of the organisation's queued work is done, at least 1 s.
func (q *Queue[T]) refuseFull(target *flow[T], detail string) error {
	after := q.throughput.duration(q.workAheadInOtherFlows(target.start+target.totalCost/target.weight/2, target) + target.totalCost/2)
	return verdict.Refuse(verdict.NotRun, verdict.ReasonOverloaded,
		max(after, time.Second), "%s", detail)
}

func (q *Queue[T]) enqueue(now time.Time, target *flow[T], item Item[T]) {
	if q.length == 0 {
		q.throughput.startWaiting(now)
	}
	q.throughput.observeCost(item.Cost)
	if item.Cost < q.throughput.longCost() {
		q.lastShort = now
	}
	q.sequence++
	target.insert(rankedItem[T]{item: item, rank: q.rank(item), sequence: q.sequence})
	q.length++
	if target.heapIndex < 0 {
		target.start = max(target.start, q.virtualTime)
		heap.Push(&q.heap, target)
	}
}

// rank returns the item's sort key within its flow: its arrival time plus an allowance for priority and cost.
func (q *Queue[T]) rank(item Item[T]) time.Time {
	return item.Enqueued.Add(time.Duration(item.Priority)*priorityDelay + lengthFactor*q.throughput.duration(item.Cost))
}

// Pop removes and returns the item to run next. It returns false if the queue is empty, or if only long items
// are queued and the free slots are reserved for short ones. It doesn't check whether a slot is free.
func (q *Queue[T]) Pop(now time.Time) (Item[T], bool) {
	if q.length == 0 {
		return Item[T]{}, false
	}
	target, at := q.heap[0], 0
	if q.longSlotsFull(now) {
		target, at = q.nextShort()
	}
	if target == nil {
		return Item[T]{}, false
	}
	q.virtualTime = max(q.virtualTime, target.start)
	item := target.items[at].item
	target.start += item.Cost / target.weight
	q.removeAt(target, at)
	q.throughput.observeDeparture(now, item.Enqueued, item.Cost)
	if item.Cost >= q.throughput.longCost() {
		item.long = true
		q.longRunning++
	}
	if q.slots != nil {
		q.running.add(now, item.Cost)
	}
	return item, true
}

// Finished reports that an item, as Pop returned it, has left the server. It is needed with WithSlots only.
func (q *Queue[T]) Finished(item Item[T]) {
	if item.long {
		q.longRunning = max(0, q.longRunning-1)
	}
	q.running.removeOldest(item.Cost)
}

// longSlotsFull reports whether long items hold all the slots that they may have while short items arrive.
func (q *Queue[T]) longSlotsFull(now time.Time) bool {
	if q.slots == nil || now.Sub(q.lastShort) > shortSlotHold {
		return false
	}
	slots := q.slots()
	if slots < 2 {
		return false
	}
	return q.longRunning >= slots-max(1, slots/shortSlotDivisor)
}

// nextShort returns the flow with the earliest start that has a short item, and the item's index. The flow is
// nil if there is none.
func (q *Queue[T]) nextShort() (*flow[T], int) {
	longCost := q.throughput.longCost()
	var best *flow[T]
	index := 0
	for _, candidate := range q.heap {
		if best != nil && candidate.start >= best.start {
			continue
		}
		if at := candidate.firstShortIndex(longCost); at >= 0 {
			best, index = candidate, at
		}
	}
	return best, index
}

// removeAt removes one item from a flow and restores the order of the heap.
func (q *Queue[T]) removeAt(from *flow[T], at int) Item[T] {
	item := from.deleteAt(at)
	q.length--
	if len(from.items) > 0 {
		heap.Fix(&q.heap, from.heapIndex)
		return item
	}
	heap.Remove(&q.heap, from.heapIndex)
	q.dropIfIdle(from)
	return item
}

// dropIfIdle deletes an empty flow unless its start time is ahead of the virtual time. Such a flow is kept;
// otherwise an organisation could reset its record of received service by letting its queue run empty briefly.
func (q *Queue[T]) dropIfIdle(empty *flow[T]) {
	if len(empty.items) == 0 && empty.start <= q.virtualTime {
		delete(q.flows, empty.organisation)
	}
	if len(q.flows) > 2*len(q.heap)+maxIdleFlows {
		q.dropIdleFlows()
	}
}

// maxIdleFlows is how many more idle than active flows there may be before dropIdleFlows is called.
const maxIdleFlows = 64

// dropIdleFlows deletes the empty flows whose start time the virtual time has reached.
func (q *Queue[T]) dropIdleFlows() {
	for name, idle := range q.flows {
		if len(idle.items) == 0 && idle.start <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}
