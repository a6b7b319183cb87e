package engine

import "slices"

// ticket is one request's place in the batch or its queue.
type ticket struct {
	priority int
	running  bool
	started  chan struct{}
}

// batch runs a limited number of requests together; the others wait by priority and arrival.
type batch struct {
	slots   int
	limit   int
	running int
	waiting []*ticket
}

func newBatch(slots, queue int) *batch {
	return &batch{slots: slots, limit: queue}
}

// enter returns false if slots and queue are full.
func (b *batch) enter(priority int) (*ticket, bool) {
	if b.running >= b.slots && len(b.waiting) >= b.limit {
		return nil, false
	}
	entered := &ticket{priority: priority, started: make(chan struct{})}
	b.waiting = append(b.waiting, entered)
	b.fill()
	return entered, true
}

func (b *batch) leave(left *ticket) {
	if left.running {
		b.running--
	} else {
		b.waiting = slices.DeleteFunc(b.waiting, func(t *ticket) bool { return t == left })
	}
	b.fill()
}

// fill starts waiting requests while slots are free.
func (b *batch) fill() {
	slices.SortStableFunc(b.waiting, func(x, y *ticket) int { return x.priority - y.priority })
	for b.running < b.slots && len(b.waiting) > 0 {
		first := b.waiting[0]
		b.waiting = b.waiting[1:]
		first.running = true
		b.running++
		close(first.started)
	}
}
