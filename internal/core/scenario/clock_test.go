// Package scenario drives the decision modules in virtual time: one pool, one model of a server,
// seeded arrivals, and two baselines in the same run. It holds tests only.
package scenario

import (
	"container/heap"
	"time"
)

// event is something that happens at a time; equal times keep their order.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

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

// clock runs events in virtual time.
type clock struct {
	now      time.Time
	events   eventHeap
	sequence int
}

var epoch = time.Unix(0, 0).UTC()

func newClock() *clock { return &clock{now: epoch} }

func (c *clock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(max(0, d)), sequence: c.sequence, run: run})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at.Sub(epoch) <= end {
		next, _ := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = epoch.Add(end)
}

func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }
