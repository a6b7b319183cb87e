package soak

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// phase is a part of a run.
type phase string

// The phases, in their order.
const (
	phaseBefore    phase = "before"
	phaseDisturbed phase = "disturbed"
	phaseAfter     phase = "after"
)

var phases = []phase{phaseBefore, phaseDisturbed, phaseAfter}

// kind is what a request is for.
type kind string

// The kinds of requests.
const (
	kindCall       kind = "call"
	kindSubmission kind = "submission"
	kindRead       kind = "read"
	kindBody       kind = "body"
	kindEnd        kind = "end"
)

// Latencies are kept to two digits, up to a bound above what any client waits.
const (
	maxLatency    = 10 * time.Second
	latencyDigits = 2
	percentile50  = 50
	percentile99  = 99
	latencyUnit   = time.Microsecond
)

// latencyKey names a histogram.
type latencyKey struct {
	phase phase
	kind  kind
}

// latencies are the times to answer of requests that were served.
type latencies struct {
	mu         sync.Mutex
	histograms map[latencyKey]*hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histograms: map[latencyKey]*hdrhistogram.Histogram{}}
}

func (l *latencies) record(p phase, k kind, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := latencyKey{phase: p, kind: k}
	if l.histograms[key] == nil {
		l.histograms[key] = hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
	}
	// Cut to the bound, the value is in range.
	_ = l.histograms[key].RecordValue(int64(min(took, maxLatency) / latencyUnit))
}

// Latency sums up the times to answer of one kind of request in one phase.
type Latency struct {
	Phase, Kind   string
	Answers       int64
	P50, P99, Max time.Duration
}

// summary returns what was recorded, by phase and kind.
func (l *latencies) summary() []Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rows []Latency
	for key, h := range l.histograms {
		rows = append(rows, Latency{
			Phase: string(key.phase), Kind: string(key.kind), Answers: h.TotalCount(),
			P50: time.Duration(h.ValueAtQuantile(percentile50)) * latencyUnit,
			P99: time.Duration(h.ValueAtQuantile(percentile99)) * latencyUnit,
			Max: time.Duration(h.Max()) * latencyUnit,
		})
	}
	slices.SortFunc(rows, func(a, b Latency) int {
		return cmp.Or(
			cmp.Compare(slices.Index(phases, phase(a.Phase)), slices.Index(phases, phase(b.Phase))),
			cmp.Compare(a.Kind, b.Kind),
		)
	})
	return rows
}
