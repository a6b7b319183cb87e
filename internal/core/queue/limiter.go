package queue

import (
	"math"
	"time"
)

// Figures of the limiter.
const (
	// defaultTolerance is how far latency may rise over that of a lightly loaded server.
	defaultTolerance = 1.3
	// backOff is how much one step down takes.
	backOff = 0.9
	// failureBackOff is the step down when requests fail.
	failureBackOff = 0.7
	failurePart    = 0.2
	// floorPart and ceilingFactor bound the limit relative to the one set by the operator.
	floorPart     = 2
	ceilingFactor = 4
	// roundSamples is how many requests at least make a step.
	roundSamples = 4
	// baseDrift is how much a base rises with each request above it, so that a server that has become
	// slower for good, as with larger weights, isn't held at the floor for ever. Ten times as much let
	// the base follow the latency that the limit itself caused, and the limit ran away under long load.
	baseDrift = 0.0002
	// recentShare is the part of a new time in the usual one.
	recentShare = 0.125
	classes     = 32
)

// LimiterOption changes a Limiter.
type LimiterOption func(*Limiter)

// WithTolerance sets how far latency may rise over that of a lightly loaded server.
func WithTolerance(tolerance float64) LimiterOption {
	return func(l *Limiter) { l.tolerance = tolerance }
}

// WithRange sets the least and the greatest limit.
func WithRange(floor, ceiling int) LimiterOption {
	return func(l *Limiter) { l.floor, l.ceiling = float64(floor), float64(ceiling) }
}

// Limiter sets how many requests a backend server runs at a time: one more after a round of
// requests whose latency is near that of a lightly loaded server, a tenth less after a round whose
// latency is over the tolerance (additive increase, multiplicative decrease).
//
// It guards against collapse on long jobs: a job of a thousand tokens isn't slow because it takes a
// thousand times as long. Each latency, for a unit of cost, is compared with the lowest of its own class of cost (powers
// of two) only, and a floor holds in any case. It is owned by one goroutine.
type Limiter struct {
	limit     float64
	floor     float64
	ceiling   float64
	tolerance float64
	// base and recent are the lowest and the usual time for a unit of cost in each class.
	base   [classes]float64
	recent [classes]float64
	// ratios sums up the logarithms of latency over base in this round.
	ratios   float64
	seen     int
	failures int
	used     int
	usedSeen bool
}

// NewLimiter returns a limiter that starts at initial, the operator's concurrency.
func NewLimiter(initial int, opts ...LimiterOption) *Limiter {
	start := float64(max(1, initial))
	l := &Limiter{
		limit:     start,
		floor:     math.Ceil(start / floorPart),
		ceiling:   start * ceilingFactor,
		tolerance: defaultTolerance,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Limit returns the number of requests to run at a time.
func (l *Limiter) Limit() int { return int(l.limit) }

// Used says how many requests run. A limit that isn't reached is not raised: its latency says
// nothing about a higher one. Without a call each limit counts as reached.
func (l *Limiter) Used(running int) {
	l.used = max(l.used, running)
	l.usedSeen = true
}

// Typical is the latency of a request of the cost of late; 0 if none of its class was seen.
func (l *Limiter) Typical(cost float64) time.Duration {
	return time.Duration(l.recent[class(cost)] * max(1, cost) * float64(time.Second))
}

// Observe takes in one finished request: its time at the server, its cost and whether it failed. A
// request that failed at once says nothing about latency.
func (l *Limiter) Observe(_ time.Time, latency time.Duration, cost float64, failed bool) {
	l.seen++
	if failed {
		l.failures++
	} else {
		l.ratios += l.compare(latency, cost)
	}
	if l.seen >= max(roundSamples, int(l.limit)) {
		l.step()
	}
}

// class is the power of two of a cost.
func class(cost float64) int {
	if cost <= 1 {
		return 0
	}
	return min(int(math.Log2(cost)), classes-1)
}

// compare returns the logarithm of the time for a unit of cost over the class's base, and moves the base.
func (l *Limiter) compare(latency time.Duration, cost float64) float64 {
	unit := max(latency, time.Microsecond).Seconds() / max(1, cost)
	at := class(cost)
	if base := l.base[at]; base == 0 || unit < base {
		l.base[at] = unit
	} else {
		l.base[at] += (unit - base) * baseDrift
	}
	if l.recent[at] == 0 {
		l.recent[at] = unit
	}
	l.recent[at] += (unit - l.recent[at]) * recentShare
	return math.Log(unit / l.base[at])
}

// step ends a round.
func (l *Limiter) step() {
	successes := l.seen - l.failures
	switch {
	case float64(l.failures) > failurePart*float64(l.seen):
		l.limit *= failureBackOff
	case successes > 0 && math.Exp(l.ratios/float64(successes)) > l.tolerance:
		l.limit *= backOff
	case !l.usedSeen || l.used >= l.Limit():
		l.limit++
	}
	l.limit = min(max(l.limit, l.floor), l.ceiling)
	l.ratios, l.seen, l.failures, l.used = 0, 0, 0, 0
}
