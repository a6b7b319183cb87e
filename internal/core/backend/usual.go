package backend

import (
	"math"
	"time"
)

const (
	// usualShare is the part of a new call in what is usual for its route.
	usualShare = 0.05
	// usualUnit is what a call that takes as long as usual for its route counts as.
	usualUnit = 100 * time.Millisecond
)

// Called takes in the time that a whole call of a route took at the server. Servers are compared by how much longer than usual for the route
// their calls take.
//
// Load pattern: one pool answers short calls of callers and reward calls that take eight times as long.
//
// Without it: the server that happens to get more of the long calls is taken for slow and avoided, and so is the next one.
func (b *Book) Called(now time.Time, id, route string, took time.Duration) {
	b.mu.Lock()
	logTook := math.Log(max(took, time.Millisecond).Seconds())
	usual, known := b.usual[route]
	if !known {
		usual = logTook
	}
	b.usual[route] = usual + usualShare*(logTook-usual)
	b.mu.Unlock()
	b.Served(now, id, time.Duration(math.Exp(logTook-usual)*float64(usualUnit)))
}
