package queue

import (
	"testing"
	"time"
)

// observe reports n finished requests, whose latency per unit of cost is unitLatency, at full concurrency.
func observe(l *Limiter, n int, cost float64, unitLatency time.Duration, failed bool) {
	for range n {
		l.ObserveRunning(l.Limit())
		l.Observe(start, time.Duration(cost)*unitLatency, cost, failed)
	}
}

// Guards against a limit that falls because jobs are long. A pool serves calls of a hundred tokens, then jobs of
// ten thousand. A limit based on latency per request would treat them as a hundredfold slowdown and fall to its floor,
// leaving the server half idle while callers are refused.
func TestLimiterKeepsLimitOnLongJobs(t *testing.T) {
	l := NewLimiter(8)
	observe(l, 100, 100, time.Millisecond, false)
	before := l.Limit()
	observe(l, 500, 10000, time.Millisecond, false)
	if l.Limit() < before {
		t.Errorf("limit fell from %d to %d on long jobs", before, l.Limit())
	}
}

func TestLimiterFollowsLatency(t *testing.T) {
	tests := []struct {
		name        string
		unitLatency time.Duration
		failed      bool
		minLimit    int
		maxLimit    int
	}{
		{name: "steady latency raises the limit to the ceiling", unitLatency: time.Millisecond, minLimit: 32, maxLimit: 32},
		{name: "twice the latency lowers the limit to the floor", unitLatency: 2 * time.Millisecond, minLimit: 4, maxLimit: 4},
		{name: "failures lower the limit to the floor", unitLatency: time.Millisecond, failed: true, minLimit: 4, maxLimit: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLimiter(8)
			observe(l, 50, 100, time.Millisecond, false)
			observe(l, 1500, 100, tt.unitLatency, tt.failed)
			if got := l.Limit(); got < tt.minLimit || got > tt.maxLimit {
				t.Errorf("limit %d, want %d to %d", got, tt.minLimit, tt.maxLimit)
			}
		})
	}
}
