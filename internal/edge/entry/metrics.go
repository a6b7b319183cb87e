package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// Metrics holds the metrics of an entry. Labels are organisation and pool names, never keys.
type Metrics struct {
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	settled  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// NewMetrics registers the metrics of an entry.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_entry_answers_total", Help: "Whole answers by pool and organisation.",
		}, []string{"pool", "organisation"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_entry_refusals_total", Help: "Refusals by verdict and reason.",
		}, []string{"verdict", "reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_entry_retries_total", Help: "Requests sent to another agent, by pool.",
		}, []string{"pool"}),
		settled: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_entry_settled_total", Help: "Lost requests by the verdict that settled them.",
		}, []string{"verdict"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleandershelf_entry_latency_seconds", Help: "Time to the whole answer by pool.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 20),
		}, []string{"pool"}),
	}
	registerer.MustRegister(m.answers, m.refusals, m.retries, m.settled, m.latency)
	return m
}

func (m *Metrics) answered(pool, organisation string, took time.Duration) {
	m.answers.WithLabelValues(pool, organisation).Inc()
	m.latency.WithLabelValues(pool).Observe(took.Seconds())
}

func (m *Metrics) refused(refusal *verdict.Refusal) {
	m.refusals.WithLabelValues(refusal.Verdict.String(), string(refusal.Reason)).Inc()
}

func (m *Metrics) retried(pool string) { m.retries.WithLabelValues(pool).Inc() }

func (m *Metrics) settledAs(v verdict.Verdict) { m.settled.WithLabelValues(v.String()).Inc() }
