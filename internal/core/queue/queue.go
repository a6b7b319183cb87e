package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// Queue orders waiting requests. It is owned by one goroutine.
type Queue[T any] struct {
	options
	lanes map[string]*lane[T]
	heap  laneHeap[T]
	pace  pace
	// clock is the virtual time: the start of the item popped last.
	clock    float64
	length   int
	sequence uint64
	// lost are the items that made room since the last Expire.
	lost []Item[T]
	// long counts the long items that run; shortSeen is when a short one came last.
	long      int
	shortSeen time.Time
	// running are the items at the server; they are kept with WithSlots only.
	running running
}

// New returns an empty queue.
func New[T any](opts ...Option) *Queue[T] {
	return &Queue[T]{options: newOptions(opts), lanes: map[string]*lane[T]{}}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.length }

// Push adds an item, or returns a *verdict.Refusal with NotRun and the time to come back: when the
// answer can't come before the deadline, or when the queue is full and the organisation has the
// most work in it. If another organisation has more, its newest item makes room; Expire returns it.
func (q *Queue[T]) Push(now time.Time, item Item[T]) error {
	item.Weight = positive(item.Weight)
	item.Cost = positive(item.Cost)
	if item.Enqueued.IsZero() {
		item.Enqueued = now
	}
	if err := q.checkDeadline(now, item); err != nil {
		return err
	}
	target := q.lane(item.Organisation, item.Weight)
	if err := q.makeRoom(target, item); err != nil {
		q.forget(target)
		return err
	}
	q.add(now, target, item)
	return nil
}

func positive(value float64) float64 {
	if value > 0 {
		return value
	}
	return 1
}

// checkDeadline refuses at once what would be given up later or would wait for most of its time, so
// that the caller can go elsewhere. It guards against a queue as long as the callers' patience: under
// overload the deadline alone would bound it, and all who are served would have waited almost until then.
func (q *Queue[T]) checkDeadline(now time.Time, item Item[T]) error {
	if item.Deadline.IsZero() {
		return nil
	}
	wait := q.wait(now, item)
	remaining := item.Deadline.Sub(now)
	if late := wait + q.service(item.Cost) - remaining; late > 0 {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlineUnreachable, late,
			"a wait of %v would miss the deadline by %v", wait.Round(time.Millisecond), late.Round(time.Millisecond))
	}
	if over := wait - remaining/waitPart; over > 0 {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonOverloaded, over,
			"a wait of %v is too long for the time that remains", wait.Round(time.Millisecond))
	}
	return nil
}

// lane returns the organisation's lane; it may be new and is not in the heap while it is empty.
func (q *Queue[T]) lane(organisation string, weight float64) *lane[T] {
	found, ok := q.lanes[organisation]
	if !ok {
		found = &lane[T]{organisation: organisation, place: -1, start: q.clock}
		q.lanes[organisation] = found
	}
	found.weight = weight
	return found
}

// makeRoom returns nil if there is room for the item, taking out the newest item of the largest lane if need be.
func (q *Queue[T]) makeRoom(target *lane[T], item Item[T]) error {
	if len(target.items) >= q.laneBound {
		return q.full(target, "the organisation's queue is full")
	}
	if q.length < q.totalBound {
		return nil
	}
	largest := slices.MaxFunc(q.heap, func(a, b *lane[T]) int {
		return cmp.Or(cmp.Compare(a.cost/a.weight, b.cost/b.weight), cmp.Compare(a.organisation, b.organisation))
	})
	if largest == target || (target.cost+item.Cost)/target.weight >= largest.cost/largest.weight {
		return q.full(target, "the server's queue is full")
	}
	q.lost = append(q.lost, q.remove(largest, largest.newest()))
	return nil
}

// full refuses, to come back when half of what the organisation has in the queue is done.
func (q *Queue[T]) full(target *lane[T], detail string) error {
	after := q.pace.duration(q.ahead(target.start+target.cost/target.weight/2, target) + target.cost/2)
	return verdict.Refuse(verdict.NotRun, verdict.ReasonOverloaded,
		max(after, time.Second), "%s", detail)
}

func (q *Queue[T]) add(now time.Time, target *lane[T], item Item[T]) {
	if q.length == 0 {
		q.pace.waiting(now)
	}
	q.pace.learn(item.Cost)
	if item.Cost < q.pace.longCost() {
		q.shortSeen = now
	}
	q.sequence++
	target.insert(ranked[T]{item: item, rank: q.rank(item), sequence: q.sequence})
	q.length++
	if target.place < 0 {
		target.start = max(target.start, q.clock)
		heap.Push(&q.heap, target)
	}
}

// rank is the item's place in its lane: its arrival with an allowance for priority and length.
func (q *Queue[T]) rank(item Item[T]) time.Time {
	return item.Enqueued.Add(time.Duration(item.Priority)*priorityStep + lengthStretch*q.pace.duration(item.Cost))
}

// Pop takes the item to run next. It returns false if none waits, or if only long items wait and
// the slots left are kept for short ones.
func (q *Queue[T]) Pop(now time.Time) (Item[T], bool) {
	if q.length == 0 {
		return Item[T]{}, false
	}
	target, at := q.heap[0], 0
	if q.longFull(now) {
		target, at = q.nextShort()
	}
	if target == nil {
		return Item[T]{}, false
	}
	q.clock = max(q.clock, target.start)
	item := target.items[at].item
	target.start += item.Cost / target.weight
	q.remove(target, at)
	q.pace.left(now, item.Enqueued, item.Cost)
	if item.Cost >= q.pace.longCost() {
		item.long = true
		q.long++
	}
	if q.slots != nil {
		q.running.began(now, item.Cost)
	}
	return item, true
}

// Finished says that an item, as Pop returned it, has left the server; it is needed with WithSlots only.
func (q *Queue[T]) Finished(item Item[T]) {
	if item.long {
		q.long = max(0, q.long-1)
	}
	q.running.ended(item.Cost)
}

// longFull says that long items have all slots they may have while there are short items.
func (q *Queue[T]) longFull(now time.Time) bool {
	if q.slots == nil || now.Sub(q.shortSeen) > shortMemory {
		return false
	}
	slots := q.slots()
	if slots < 2 {
		return false
	}
	return q.long >= slots-max(1, slots/shortReserve)
}

// nextShort returns the lane with the earliest start that has a short item, and the item's index.
func (q *Queue[T]) nextShort() (*lane[T], int) {
	long := q.pace.longCost()
	var best *lane[T]
	place := 0
	for _, candidate := range q.heap {
		if best != nil && candidate.start >= best.start {
			continue
		}
		if at := candidate.firstShort(long); at >= 0 {
			best, place = candidate, at
		}
	}
	return best, place
}

// remove takes one item out of a lane and puts the lane in its new place.
func (q *Queue[T]) remove(from *lane[T], at int) Item[T] {
	item := from.take(at)
	q.length--
	if len(from.items) > 0 {
		heap.Fix(&q.heap, from.place)
		return item
	}
	heap.Remove(&q.heap, from.place)
	q.forget(from)
	return item
}

// forget drops an empty lane that owes nothing. One that ran ahead of the clock is kept, else an
// organisation could leave its queue empty for a moment to be rid of what it was served.
func (q *Queue[T]) forget(empty *lane[T]) {
	if len(empty.items) == 0 && empty.start <= q.clock {
		delete(q.lanes, empty.organisation)
	}
	if len(q.lanes) > 2*len(q.heap)+lanesKept {
		q.sweep()
	}
}

// lanesKept is how many idle lanes are kept before a sweep.
const lanesKept = 64

// sweep drops the idle lanes that the clock has caught up with.
func (q *Queue[T]) sweep() {
	for name, idle := range q.lanes {
		if len(idle.items) == 0 && idle.start <= q.clock {
			delete(q.lanes, name)
		}
	}
}
