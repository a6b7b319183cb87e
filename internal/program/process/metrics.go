package process

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oleandershelf/oleandershelf/internal/edge/billing"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
)

// gauge registers a metric whose value is read at each scrape.
func (r *runtime) gauge(name, help string, value func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "oleandershelf_" + name, Help: help}, value))
}

// registerHostMetrics registers the metrics of the configuration, the host list and the usage counts, which every process
// has.
func (r *runtime) registerHostMetrics(follower *configuration.Follower, collector *billing.Collector) {
	r.gauge("configuration_ticket", "Last ticket in force at this host.", func() float64 {
		return float64(follower.View().LastTicket())
	})
	r.gauge("configuration_fresh", "1 if keys can be confirmed to be valid, 0 if the host refuses requests.", func() float64 {
		return boolToFloat(follower.Fresh(time.Now()))
	})
	r.gauge("host_list_age_seconds", "Age of the list of hosts.", func() float64 {
		return r.members.Age(time.Now()).Seconds()
	})
	r.gauge("usage_unstored_cells", "Usage counts that the platform is not known to have.", func() float64 {
		return float64(collector.State().Unstored)
	})
}

// registerDutyMetrics registers the number of duties that this entry holds.
func (k *keepers) registerDutyMetrics() {
	k.runtime.gauge("duties_held", "Duties that this host holds under lease.", func() float64 {
		held := 0
		for _, keeper := range k.all() {
			if _, ok := keeper.Held(time.Now()); ok {
				held++
			}
		}
		return float64(held)
	})
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
