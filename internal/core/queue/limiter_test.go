package queue

import (
	"testing"
	"time"
)

// observe reports requests of a server whose time for a unit of cost is unit.
func observe(l *Limiter, n int, cost float64, unit time.Duration, failed bool) {
	for range n {
		l.Used(l.Limit())
		l.Observe(start, time.Duration(cost)*unit, cost, failed)
	}
}

// A pool serves calls of a hundred tokens; then jobs of ten thousand come. A limit that follows plain
// latency takes the jobs for a slowdown of a hundred times and falls to its floor, so that the
// server stands half idle while callers are refused. The limit must not fall.
func TestLimiterLongJobs(t *testing.T) {
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
		name   string
		unit   time.Duration
		failed bool
		least  int
		most   int
	}{
		{name: "steady latency raises it to the ceiling", unit: time.Millisecond, least: 32, most: 32},
		{name: "twice the latency lowers it to the floor", unit: 2 * time.Millisecond, least: 4, most: 4},
		{name: "failures lower it to the floor", unit: time.Millisecond, failed: true, least: 4, most: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLimiter(8)
			observe(l, 50, 100, time.Millisecond, false)
			observe(l, 1500, 100, tt.unit, tt.failed)
			if got := l.Limit(); got < tt.least || got > tt.most {
				t.Errorf("limit %d, want %d to %d", got, tt.least, tt.most)
			}
		})
	}
}
