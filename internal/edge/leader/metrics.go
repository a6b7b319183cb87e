package leader

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/oleandershelf/oleandershelf/internal/core/weights"
)

// Metrics counts the servers that were assigned to another model.
type Metrics struct {
	changes *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{changes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oleandershelf_server_assignments_total",
		Help: "Servers that were assigned to another model, by kind of change.",
	}, []string{"kind"})}
	registry.MustRegister(m.changes)
	return m
}

func (m *Metrics) countChange(change weights.Change) {
	kind := "move"
	if change.ExchangedFor != "" {
		kind = "exchange"
	}
	m.changes.WithLabelValues(kind).Inc()
}
