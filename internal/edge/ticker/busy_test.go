package ticker

import (
	"testing"
	"time"
)

// Guards against a process that counts as busy for ever, or because of slow starts long ago.
func TestProcessIsBusyAfterSlowStarts(t *testing.T) {
	start := time.Now()
	m := latencyMonitor{}
	for _, step := range []struct {
		at   time.Duration
		slow uint64
		want bool
	}{
		{at: 0, slow: 5},
		{at: time.Second, slow: 5},
		{at: 2 * time.Second, slow: 6, want: true},
		{at: 2*time.Second + busyMemory/2, slow: 6, want: true},
		{at: 2*time.Second + busyMemory, slow: 6},
	} {
		now := start.Add(step.at)
		m.record(now, step.slow)
		if got := now.Before(m.busyUntil); got != step.want {
			t.Errorf("after %v with %d slow starts: busy %v", step.at, step.slow, got)
		}
	}
}

func TestLatencyMetricExists(t *testing.T) {
	_ = Busy()
	if kind := processLatency.sample[0].Value.Kind(); kind == 0 {
		t.Errorf("no metric %s", latencyMetric)
	}
}
