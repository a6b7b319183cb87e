package soak

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// phase is a stage of a run.
type phase string

// The phases in chronological order.
const (
	phaseBefore    phase = "before"
	phaseDisturbed phase = "disturbed"
	phaseAfter     phase = "after"
)

var phases = []phase{phaseBefore, phaseDisturbed, phaseAfter}

// requestKind is the purpose of a request.
type requestKind string

const (
	requestCall       requestKind = "call"
	requestSubmission requestKind = "submission"
	requestRead       requestKind = "read"
	requestBody       requestKind = "body"
	requestEnd        requestKind = "end"
)

// Latencies are recorded with two significant digits, up to a bound above the client timeout.
const (
	maxLatency    = 10 * time.Second
	latencyDigits = 2
	percentile50  = 50
	percentile99  = 99
	latencyUnit   = time.Microsecond
)

// latencyKey identifies a histogram.
type latencyKey struct {
	phase phase
	kind  requestKind
}

// latencies holds the response times of successful requests.
type latencies struct {
	mu         sync.Mutex
	histograms map[latencyKey]*hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histograms: map[latencyKey]*hdrhistogram.Histogram{}}
}

func (l *latencies) record(p phase, k requestKind, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := latencyKey{phase: p, kind: k}
	if l.histograms[key] == nil {
		l.histograms[key] = hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
	}
	// The value is in range because it is cut to maxLatency, so no error can occur.
	_ = l.histograms[key].RecordValue(int64(min(took, maxLatency) / latencyUnit))
}

// Latency summarizes the response times of one kind of request in one phase.
type Latency struct {
	Phase, Kind   string
	Answers       int64
	P50, P99, Max time.Duration
}

// summary returns a row for each histogram, sorted by phase and kind.
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
