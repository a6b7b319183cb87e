// Package queue holds the requests that wait at an agent for its backend server.
package queue

import "time"

// Option changes a Queue.
type Option func(*options)

type options struct{}

// Queue orders waiting requests. It is owned by one goroutine.
type Queue[T any] struct {
	items []Item[T]
}

// New returns an empty queue.
func New[T any](opts ...Option) *Queue[T] {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	return &Queue[T]{}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds an item, or returns a *verdict.Refusal with NotRun if the queue is full.
func (q *Queue[T]) Push(_ time.Time, item Item[T]) error {
	q.items = append(q.items, item)
	return nil
}

// Pop takes the next item.
func (q *Queue[T]) Pop(_ time.Time) (Item[T], bool) {
	if len(q.items) == 0 {
		return Item[T]{}, false
	}
	item := q.items[0]
	q.items = q.items[1:]
	return item, true
}

// Expire takes out the items that can't be answered in time any more, and those that lost their
// place to a less served organisation since the last call.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	return q.Remove(func(item Item[T]) bool { return !item.Deadline.IsZero() && !now.Before(item.Deadline) })
}

// Remove takes out the items for which drop is true.
func (q *Queue[T]) Remove(drop func(Item[T]) bool) []Item[T] {
	var kept, removed []Item[T]
	for _, item := range q.items {
		if drop(item) {
			removed = append(removed, item)
		} else {
			kept = append(kept, item)
		}
	}
	q.items = kept
	return removed
}

// Wait estimates how long a new item of the organisation would wait.
func (q *Queue[T]) Wait(_ time.Time, _ string, _ float64) time.Duration { return 0 }
