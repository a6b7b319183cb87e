package queue

import (
	"math"
	"time"
)

const (
	// defaultTolerance is the accepted ratio of latency to that of a lightly loaded server.
	defaultTolerance = 1.3
	// latencyBackoff is the factor by which the limit drops when latency exceeds the tolerance.
	latencyBackoff = 0.9
	// failureBackoff is the factor by which the limit drops when the failed part of a round's requests exceeds failureThreshold.
	failureBackoff   = 0.7
	failureThreshold = 0.2
	// The limit stays between the operator's concurrency divided by floorDivisor and multiplied by ceilingFactor.
	floorDivisor  = 2
	ceilingFactor = 4
	// minRoundSamples is the least number of requests in a round.
	minRoundSamples = 4
	// baselineDrift is the part of the difference by which a baseline rises with each slower request, so that a
	// server that has become slower for good, for example with larger weights, isn't held at the floor for ever.
	// With ten times as much the baseline followed the latency that the limit itself caused, and the limit grew
	// without control under long load.
	baselineDrift = 0.0002
	// latencySmoothing is the weight of a new sample in the moving average of latency.
	latencySmoothing = 0.125
	costClasses      = 32
)

// LimiterOption configures a Limiter.
type LimiterOption func(*Limiter)

// WithTolerance sets the accepted ratio of latency to that of a lightly loaded server.
func WithTolerance(tolerance float64) LimiterOption {
	return func(l *Limiter) { l.tolerance = tolerance }
}

// WithRange sets the lowest and the highest limit.
func WithRange(floor, ceiling int) LimiterOption {
	return func(l *Limiter) { l.floor, l.ceiling = float64(floor), float64(ceiling) }
}

// Limiter sets how many requests a backend server runs at a time, by additive increase and multiplicative
// decrease: the limit rises by one after a round of requests whose latency is near that of a lightly loaded
// server, and drops by a tenth after a round whose latency exceeds the tolerance.
//
// Long jobs must not lower the limit: a job of a thousand tokens isn't a sign of overload because it takes a
// thousand times as long. Latency per unit of cost is therefore compared only with the lowest in the same cost
// class (powers of two), and the limit never drops below its floor. A Limiter must be used by one goroutine only.
type Limiter struct {
	limit     float64
	floor     float64
	ceiling   float64
	tolerance float64
	// baseline and average are the lowest latency and its moving average in each cost class, in seconds per unit of cost.
	baseline [costClasses]float64
	average  [costClasses]float64
	// logRatioSum is the sum of the logarithms of latency over baseline in this round.
	logRatioSum float64
	samples     int
	failures    int
	// maxRunning is the highest concurrency reported in this round; runningReported is set once any was reported.
	maxRunning      int
	runningReported bool
}

// NewLimiter returns a limiter that starts at initial, the operator's concurrency.
func NewLimiter(initial int, opts ...LimiterOption) *Limiter {
	start := float64(max(1, initial))
	l := &Limiter{
		limit:     start,
		floor:     math.Ceil(start / floorDivisor),
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

// ObserveRunning reports how many requests are running. A limit that isn't reached is not raised, because its latency
// says nothing about a higher one. If ObserveRunning is never called, every limit counts as reached.
func (l *Limiter) ObserveRunning(running int) {
	l.maxRunning = max(l.maxRunning, running)
	l.runningReported = true
}

// TypicalLatency returns the recent average latency of requests of this cost; 0 if none of its cost class was observed.
func (l *Limiter) TypicalLatency(cost float64) time.Duration {
	return time.Duration(l.average[costClass(cost)] * max(1, cost) * float64(time.Second))
}

// Observe records one finished request: its time at the server, its cost and whether it failed. The latency
// of a failed request is ignored, since it may have failed at once.
func (l *Limiter) Observe(_ time.Time, latency time.Duration, cost float64, failed bool) {
	l.samples++
	if failed {
		l.failures++
	} else {
		l.logRatioSum += l.compareWithBaseline(latency, cost)
	}
	if l.samples >= max(minRoundSamples, int(l.limit)) {
		l.endRound()
	}
}

// costClass returns the binary logarithm of a cost, rounded down and limited to the highest class.
func costClass(cost float64) int {
	if cost <= 1 {
		return 0
	}
	return min(int(math.Log2(cost)), costClasses-1)
}

// compareWithBaseline updates the baseline and the average of the cost class and returns the logarithm of latency over baseline.
func (l *Limiter) compareWithBaseline(latency time.Duration, cost float64) float64 {
	unitLatency := max(latency, time.Microsecond).Seconds() / max(1, cost)
	class := costClass(cost)
	if baseline := l.baseline[class]; baseline == 0 || unitLatency < baseline {
		l.baseline[class] = unitLatency
	} else {
		l.baseline[class] += (unitLatency - baseline) * baselineDrift
	}
	if l.average[class] == 0 {
		l.average[class] = unitLatency
	}
	l.average[class] += (unitLatency - l.average[class]) * latencySmoothing
	return math.Log(unitLatency / l.baseline[class])
}

// endRound adjusts the limit to the samples of the round and starts the next one.
func (l *Limiter) endRound() {
	successes := l.samples - l.failures
	switch {
	case float64(l.failures) > failureThreshold*float64(l.samples):
		l.limit *= failureBackoff
	case successes > 0 && math.Exp(l.logRatioSum/float64(successes)) > l.tolerance:
		l.limit *= latencyBackoff
	case !l.runningReported || l.maxRunning >= l.Limit():
		l.limit++
	}
	l.limit = min(max(l.limit, l.floor), l.ceiling)
	l.logRatioSum, l.samples, l.failures, l.maxRunning = 0, 0, 0, 0
}
