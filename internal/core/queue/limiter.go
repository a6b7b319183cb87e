package queue

import (
	"math"
	"time"
)

// Figures of the limiter.
const (
	// defaultTolerance is how far latency may rise over that of a lightly loaded server.
	defaultTolerance = 2.0
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
	// slower for good, as with larger weights, isn't held at the floor for ever.
	baseDrift = 0.002
	classes   = 32
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
// thousand times as long. Each latency is compared with the lowest of its own class of cost (powers
// of two) only, and a floor holds in any case. It is owned by one goroutine.
type Limiter struct {
	limit     float64
	floor     float64
	ceiling   float64
	tolerance float64
	base      [classes]time.Duration
	recent    [classes]time.Duration
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

// Typical is the latency of a request of the cost of late; 0 if none was seen.
func (l *Limiter) Typical(cost float64) time.Duration { return l.recent[class(cost)] }

// Observe takes in one finished request: its time at the server, its cost and whether it failed. A
// request that failed at once says nothing about latency.
func (l *Limiter) Observe(_ time.Time, latency time.Duration, cost float64, failed bool) {
	l.seen++
	if failed {
		l.failures++
	} else {
		l.ratios += l.compare(class(cost), latency)
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

// compare returns the logarithm of latency over the class's base, and moves the base.
func (l *Limiter) compare(class int, latency time.Duration) float64 {
	latency = max(latency, time.Microsecond)
	base := l.base[class]
	if base == 0 || latency < base {
		l.base[class] = latency
	} else {
		l.base[class] += time.Duration(float64(latency-base) * baseDrift)
	}
	if l.recent[class] == 0 {
		l.recent[class] = latency
	}
	l.recent[class] += (latency - l.recent[class]) / 8
	return math.Log(float64(latency) / float64(l.base[class]))
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
