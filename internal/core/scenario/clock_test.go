// Package scenario simulates the decision packages of internal/core (admission, queue, placement, rollout and fleet)
// in virtual time: one pool, one model of a backend server and seeded random arrivals. Each test runs the same load
// under simpler baseline policies too and compares the results with a golden table. The package contains tests only.
package scenario

import (
	"container/heap"
	"time"
)

// event is a function to run at a point in virtual time. Events with equal times run in the order of their sequence.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// eventHeap is a heap.Interface with the earliest event on top.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// clock runs scheduled functions in virtual time.
type clock struct {
	now      time.Time
	events   eventHeap
	sequence int
}

// epoch is the virtual time at which every simulation starts.
var epoch = time.Unix(0, 0).UTC()

func newClock() *clock { return &clock{now: epoch} }

// after schedules run for d from now; a negative d counts as 0.
func (c *clock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(max(0, d)), sequence: c.sequence, run: run})
}

// runUntil runs all events up to end, which is measured from the epoch, and sets the clock to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at.Sub(epoch) <= end {
		next, _ := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = epoch.Add(end)
}

// elapsed returns the time since the epoch.
func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }
