package process

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/pace"
)

const (
	// maxSpeeds is how many summaries of server speeds a heartbeat carries: about 40 bytes each, 5 KB/s at 16 heartbeats a second.
	maxSpeeds = 8
	// maxSpeedMetrics is up to how many servers the speed of each one is exported; beyond that only quantiles are.
	maxSpeedMetrics = 64
)

// speeds returns the summaries of server speeds for a heartbeat.
func (h *gossipHandler) speeds(now time.Time, listDiffers bool) []pace.Summary {
	h.logUnevenPools(now)
	if listDiffers {
		return h.gateway.balancer.SpeedSummariesInTurn(now, maxSpeeds)
	}
	return h.gateway.balancer.SpeedSummaries(now, maxSpeeds)
}

// logUnevenPools logs which pools became uneven or are no longer uneven.
func (h *gossipHandler) logUnevenPools(now time.Time) {
	uneven := h.gateway.balancer.UnevenPools()
	h.mu.Lock()
	former := h.unevenPools
	h.unevenPools = uneven
	h.mu.Unlock()
	if slices.Equal(former, uneven) {
		return
	}
	for _, pool := range h.gateway.balancer.SpeedState(now).Pools {
		if slices.Contains(former, pool.Pool) != slices.Contains(uneven, pool.Pool) {
			logPoolSpeeds(h.gateway.log, pool)
		}
	}
}

func logPoolSpeeds(log zerolog.Logger, pool pace.PoolState) {
	log.Info().Str("pool", pool.Pool).Bool("uneven", pool.Uneven).Int("servers", pool.Known).Float64("fastest", pool.Fastest).
		Float64("slowest", pool.Slowest).Float64("loadEffect", pool.LoadEffect).Float64("interference", pool.Interference).Msg("server speeds compared")
}

// speedCollector exports what the entry knows of the speed of servers.
type speedCollector struct{ balancer *backend.Balancer }

var (
	speedLabels        = []string{"server", "quantile"}
	lastingDescription = prometheus.NewDesc("oleandershelf_server_lasting_factor",
		"Time that work takes at the server divided by that of its pool's median server, by server, or quantiles if there are many servers.", speedLabels, nil)
	reportedDescription = prometheus.NewDesc("oleandershelf_server_reported_slowdown",
		"Slowdown that the server reported last, 1 is usual, by server, or quantiles if there are many servers.", speedLabels, nil)
	paceAgeDescription = prometheus.NewDesc("oleandershelf_server_pace_age_seconds",
		"Age of the last observation behind the lasting factor, by server, or quantiles if there are many servers.", speedLabels, nil)
	unevenDescription = prometheus.NewDesc("oleandershelf_pool_uneven",
		"1 if the servers of the pool were shown to differ in speed, otherwise 0.", []string{"pool"}, nil)
)

// Describe sends the descriptions of the metrics.
func (c speedCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{lastingDescription, reportedDescription, paceAgeDescription, unevenDescription} {
		descriptions <- description
	}
}

// Collect sends the current values of the metrics.
func (c speedCollector) Collect(metrics chan<- prometheus.Metric) {
	state := c.balancer.SpeedState(time.Now())
	for _, pool := range state.Pools {
		metrics <- prometheus.MustNewConstMetric(unevenDescription, prometheus.GaugeValue, boolToFloat(pool.Uneven), pool.Pool)
	}
	isKnown := func(s pace.ServerState) bool { return s.Samples > 0 }
	sendSpeeds(metrics, lastingDescription, state.Servers, isKnown, func(s pace.ServerState) float64 { return s.Lasting })
	sendSpeeds(metrics, paceAgeDescription, state.Servers, isKnown, func(s pace.ServerState) float64 { return s.AgeSeconds })
	sendSpeeds(metrics, reportedDescription, state.Servers, func(s pace.ServerState) bool { return s.Reported > 0 },
		func(s pace.ServerState) float64 { return s.Reported })
}

// sendSpeeds sends the value of each server that has one, or quantiles of the values if these are many.
func sendSpeeds(metrics chan<- prometheus.Metric, description *prometheus.Desc, servers []pace.ServerState,
	has func(pace.ServerState) bool, value func(pace.ServerState) float64) {
	var ids []string
	var values []float64
	for _, server := range servers {
		if has(server) {
			ids, values = append(ids, server.ID), append(values, value(server))
		}
	}
	if len(values) <= maxSpeedMetrics {
		for i, id := range ids {
			metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, values[i], id, "")
		}
		return
	}
	slices.Sort(values)
	for _, quantile := range []struct {
		name  string
		share float64
	}{{"0", 0}, {"0.1", 0.1}, {"0.5", 0.5}, {"0.9", 0.9}, {"1", 1}} {
		position := int(quantile.share * float64(len(values)-1))
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, values[position], "", quantile.name)
	}
}
