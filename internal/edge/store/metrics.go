package store

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts the calls to the store and measures how long they take.
type Metrics struct {
	calls    *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_store_calls_total",
			Help: "Calls of this host to the platform's store by method and whether they were served.",
		}, []string{"method", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "oleandershelf_store_call_seconds",
			Help:    "Time of calls to the platform's store, without watches.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 10),
		}, []string{"method"}),
	}
	registry.MustRegister(m.calls, m.duration)
	return m
}

// recordCall counts a call and records its duration, except for calls that took callTimeout or more, such as watches.
func (m *Metrics) recordCall(method string, took time.Duration, served bool) {
	if m == nil {
		return
	}
	outcome := "served"
	if !served {
		outcome = "refused"
	}
	m.calls.WithLabelValues(method, outcome).Inc()
	if took < callTimeout {
		m.duration.WithLabelValues(method).Observe(took.Seconds())
	}
}
