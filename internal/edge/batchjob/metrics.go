package batchjob

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// basis is the ground on which a read of results was answered.
type basis string

// The grounds of answers to reads.
const (
	// basisListed: results are listed at the position; they never change.
	basisListed basis = "listed"
	// basisStore: nothing is listed, since the store has no further page or all items are listed.
	basisStore basis = "store"
	// basisUnsure: the store could not be asked, and the read was refused.
	basisUnsure basis = "unsure"
)

// rewardOutcome is how a reward call ended.
type rewardOutcome string

// The ends of reward calls.
const (
	rewardScored rewardOutcome = "scored"
	// rewardFailed: the server answered with a failure.
	rewardFailed rewardOutcome = "failed"
	// rewardNoAnswer: no server ran the call, or no answer came whole.
	rewardNoAnswer rewardOutcome = "noAnswer"
	// rewardNoRoute: no route serves the call.
	rewardNoRoute rewardOutcome = "noRoute"
)

// Metrics counts the runs of items, the pages written and the reads of results.
type Metrics struct {
	reads *prometheus.CounterVec
	runs  *prometheus.CounterVec
	took  prometheus.Histogram
	pages *prometheus.CounterVec
	// rewards counts reward calls, rewardTook is their time.
	rewards    *prometheus.CounterVec
	rewardTook prometheus.Histogram
}

// NewMetrics returns metrics that are shown by the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_batch_reads_total",
			Help: "Reads of results by the ground on which they were answered.",
		}, []string{"basis"}),
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_batch_item_runs_total",
			Help: "Runs of batch items at backend servers by outcome.",
		}, []string{"outcome"}),
		took: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "oleandershelf_batch_item_run_seconds",
			Help:    "Time of the runs of batch items.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 9),
		}),
		pages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_batch_pages_total",
			Help: "Tries to write a page of results, and whether the store answered that it was written.",
		}, []string{"outcome"}),
	}
	m.rewards = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oleandershelf_batch_reward_calls_total",
		Help: "Reward calls of batch items by outcome.",
	}, []string{"outcome"})
	m.rewardTook = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "oleandershelf_batch_reward_call_seconds",
		Help:    "Time of reward calls over all their attempts.",
		Buckets: prometheus.ExponentialBuckets(0.02, 2, 9),
	})
	registry.MustRegister(m.reads, m.runs, m.took, m.pages, m.rewards, m.rewardTook)
	return m
}

func (m *Metrics) ran(got outcome, took time.Duration) {
	m.runs.WithLabelValues(got.String()).Inc()
	m.took.Observe(took.Seconds())
}

func (m *Metrics) scored(got rewardOutcome) { m.rewards.WithLabelValues(string(got)).Inc() }

func (m *Metrics) scoring(took time.Duration) { m.rewardTook.Observe(took.Seconds()) }

func (m *Metrics) read(ground basis) { m.reads.WithLabelValues(string(ground)).Inc() }

func (m *Metrics) written(ok bool) {
	outcome := "written"
	if !ok {
		outcome = "notWritten"
	}
	m.pages.WithLabelValues(outcome).Inc()
}
