package engine

import "slices"

// queueEntry is the place of a request in the batch or its queue.
type queueEntry struct {
	priority int
	running  bool
	started  chan struct{}
}

// batch runs up to slots requests at once. Further requests wait in a queue, sorted by priority and then by arrival.
type batch struct {
	slots      int
	queueLimit int
	running    int
	waiting    []*queueEntry
}

func newBatch(slots, queue int) *batch {
	return &batch{slots: slots, queueLimit: queue}
}

// admit adds a request to the queue and starts it if a slot is free. It returns false if slots and queue are full.
func (b *batch) admit(priority int) (*queueEntry, bool) {
	if b.running >= b.slots && len(b.waiting) >= b.queueLimit {
		return nil, false
	}
	entry := &queueEntry{priority: priority, started: make(chan struct{})}
	b.waiting = append(b.waiting, entry)
	b.startWaiting()
	return entry, true
}

func (b *batch) leave(entry *queueEntry) {
	if entry.running {
		b.running--
	} else {
		b.waiting = slices.DeleteFunc(b.waiting, func(e *queueEntry) bool { return e == entry })
	}
	b.startWaiting()
}

// startWaiting starts waiting requests while slots are free.
func (b *batch) startWaiting() {
	slices.SortStableFunc(b.waiting, func(x, y *queueEntry) int { return x.priority - y.priority })
	for b.running < b.slots && len(b.waiting) > 0 {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		next.running = true
		b.running++
		close(next.started)
	}
}
