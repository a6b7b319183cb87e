package process

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

// peerOptions returns the options of the connections between processes: mutual TLS if the settings name certificates, and logs and
// metrics of connections that ended.
func peerOptions(set settings.Settings, registry prometheus.Registerer, log zerolog.Logger) ([]peer.Option, error) {
	observer := peer.WithEndObserver(newPeerMetrics(registry).observer(log))
	if set.TLSCertificateFile == "" {
		return []peer.Option{observer}, nil
	}
	config, err := peerTLS(set)
	if err != nil {
		return nil, err
	}
	return []peer.Option{observer, peer.WithTLS(config)}, nil
}

// peerMetrics counts the connections between processes that ended, and the requests that were open on them.
type peerMetrics struct {
	ended    *prometheus.CounterVec
	requests *prometheus.CounterVec
}

func newPeerMetrics(registry prometheus.Registerer) *peerMetrics {
	labels := []string{"dialled", "reason"}
	m := &peerMetrics{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_peer_connections_ended_total",
			Help: "Connections to other processes that ended, by the reason.",
		}, labels),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_peer_requests_interrupted_total",
			Help: "Requests that were open on connections to other processes that ended, by the reason of the end.",
		}, labels),
	}
	registry.MustRegister(m.ended, m.requests)
	return m
}

// observer returns a function that counts and logs the end of a connection.
func (m *peerMetrics) observer(log zerolog.Logger) func(peer.ConnectionEnd) {
	return func(end peer.ConnectionEnd) {
		labels := prometheus.Labels{"dialled": strconv.FormatBool(end.Dialled), "reason": string(end.Reason)}
		m.ended.With(labels).Inc()
		m.requests.With(labels).Add(float64(end.Requests))
		level := zerolog.DebugLevel
		if end.Requests > 0 {
			level = zerolog.InfoLevel
		}
		log.WithLevel(level).Stringer("peer", end.Peer).Bool("dialled", end.Dialled).Str("reason", string(end.Reason)).
			AnErr("cause", end.Cause).Int("requests", end.Requests).Dur("age", end.Age).Msg("connection to another process ended")
	}
}
