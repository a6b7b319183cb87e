package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

const (
	metricPrefix = "oleandershelf_agent_"
	// reasonAnswered is the reason label of requests whose answer was delivered completely.
	reasonAnswered = "answered"
)

// metrics holds the counters of the agent.
type metrics struct {
	requests *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, load func() request.Load) *metrics {
	m := &metrics{requests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: metricPrefix + "requests_total",
		Help: "Requests by organisation, verdict and reason.",
	}, []string{"organisation", "verdict", "reason"})}
	if registerer == nil {
		return m
	}
	registerer.MustRegister(m.requests,
		newGauge("queued", "Requests in the queue.", func() float64 { return float64(load().Queued) }),
		newGauge("running", "Requests at the backend server.", func() float64 { return float64(load().Running) }),
		newGauge("limit", "Requests that may run at a time.", func() float64 { return float64(load().Limit) }),
		newGauge("weight_version", "Weight version served.", func() float64 { return float64(load().Version) }),
	)
	return m
}

func newGauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help}, value)
}

// countRequest counts a request. Organisations that are not in the view share one empty label, so that made-up
// names can't increase the number of time series.
func (m *metrics) countRequest(view *ticket.View, organisation string, err error) {
	if _, ok := view.Organisation(organisation); !ok {
		organisation = ""
	}
	if err == nil {
		m.requests.WithLabelValues(organisation, verdict.Ran.String(), reasonAnswered).Inc()
		return
	}
	refusal := verdict.From(err)
	m.requests.WithLabelValues(organisation, refusal.Verdict.String(), string(refusal.Reason)).Inc()
}
