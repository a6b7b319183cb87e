package ticker

import (
	"runtime/metrics"
	"sync"
	"time"
)

const (
	// slowStart is how long a goroutine waits for its turn in a process that is busy.
	slowStart = 50 * time.Millisecond
	// busyMemory is how long a process counts as busy after that was last noticed, and sampleInterval the least time between two samples.
	busyMemory     = 3 * time.Second
	sampleInterval = 100 * time.Millisecond
	latencyMetric  = "/sched/latencies:seconds"
)

// latencyMonitor notices when goroutines of this process wait long for their turn.
type latencyMonitor struct {
	mu        sync.Mutex
	sample    []metrics.Sample
	sampledAt time.Time
	slow      uint64
	busyUntil time.Time
}

var processLatency = latencyMonitor{sample: []metrics.Sample{{Name: latencyMetric}}}

// Busy reports whether goroutines of this process recently waited long for their turn. A timeout that passes meanwhile says little about
// others: what it waits for may have happened, and the goroutine that would notice waits too.
func Busy() bool { return processLatency.busy(time.Now()) }

func (m *latencyMonitor) busy(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.sampledAt) >= sampleInterval {
		metrics.Read(m.sample)
		m.record(now, slowStarts(m.sample[0].Value))
	}
	return now.Before(m.busyUntil)
}

// record records how many goroutines have waited long since the start of the process.
func (m *latencyMonitor) record(now time.Time, slow uint64) {
	if !m.sampledAt.IsZero() && slow > m.slow {
		m.busyUntil = now.Add(busyMemory)
	}
	m.sampledAt, m.slow = now, slow
}

// slowStarts returns how many of the sampled goroutine starts came after a wait of slowStart or more.
func slowStarts(value metrics.Value) uint64 {
	if value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := value.Float64Histogram()
	var slow uint64
	for i, count := range histogram.Counts {
		if histogram.Buckets[i] >= slowStart.Seconds() {
			slow += count
		}
	}
	return slow
}
