package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// Metrics holds the latencies and refusals of callers' requests.
type Metrics struct {
	latency  *prometheus.HistogramVec
	refusals *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "oleandershelf_gateway_request_seconds",
			Help:    "Time of answered requests of callers by the kind of their route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 11),
		}, []string{"kind"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_gateway_refusals_total",
			Help: "Refused requests of callers by verdict and reason.",
		}, []string{"verdict", "reason"}),
	}
	registry.MustRegister(m.latency, m.refusals)
	return m
}

// kindLabels are the label values of the kinds of routes.
var kindLabels = map[routing.Kind]string{
	routing.KindIdempotent: "idempotent",
	routing.KindOnce:       "once",
	routing.KindStream:     "stream",
	routing.KindBatch:      "batch",
}

func (m *Metrics) observeLatency(kind routing.Kind, latency time.Duration) {
	m.latency.WithLabelValues(kindLabels[kind]).Observe(latency.Seconds())
}

func (m *Metrics) countRefusal(refusal *verdict.Refusal) {
	m.refusals.WithLabelValues(refusal.Verdict.String(), string(refusal.Reason)).Inc()
}
