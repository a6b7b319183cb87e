package admission

import (
	"math"
	"time"
)

const (
	// minLatencyPeriod is the length of a measuring period. Latencies older than two periods are dropped, so that
	// requests are admitted again to measure.
	minLatencyPeriod = 5 * time.Second
	// minLatencySamples is how many requests must have finished for the minimum to be used.
	minLatencySamples = 8
	costClasses       = 32
)

// minLatency is the lowest latency of a request in the current and the previous period.
type minLatency struct {
	periodStart     time.Time
	current         time.Duration
	previous        time.Duration
	currentSamples  int
	previousSamples int
}

// costClass returns the binary logarithm of a cost, rounded down and limited to the highest class.
func costClass(cost float64) int {
	if cost <= 1 {
		return 0
	}
	return min(int(math.Log2(cost)), costClasses-1)
}

// rollPeriod starts a new period if the current one is over.
func (m *minLatency) rollPeriod(now time.Time) {
	age := now.Sub(m.periodStart)
	if age < minLatencyPeriod {
		return
	}
	if age < 2*minLatencyPeriod {
		m.previous, m.previousSamples = m.current, m.currentSamples
	} else {
		m.previous, m.previousSamples = 0, 0
	}
	m.periodStart, m.current, m.currentSamples = now, 0, 0
}

func (m *minLatency) observe(now time.Time, latency time.Duration) {
	m.rollPeriod(now)
	if m.currentSamples == 0 || latency < m.current {
		m.current = latency
	}
	m.currentSamples++
}

// value returns the lowest latency; false if too few requests finished in both periods.
func (m *minLatency) value(now time.Time) (time.Duration, bool) {
	m.rollPeriod(now)
	switch {
	case m.currentSamples+m.previousSamples < minLatencySamples:
		return 0, false
	case m.currentSamples == 0:
		return m.previous, true
	case m.previousSamples == 0:
		return m.current, true
	}
	return min(m.current, m.previous), true
}
