package peer

import (
	"context"
	"crypto/tls"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// settings are the limits and timeouts of a connection. Clients and servers use the same ones.
type settings struct {
	maxFrame         int
	maxStreams       int
	window           int
	heartbeat        time.Duration
	heartbeatTimeout time.Duration
	idleTimeout      time.Duration
	dialTimeout      time.Duration
	writeTimeout     time.Duration
	closeTimeout     time.Duration
	tls              *tls.Config
	observeEnd       func(ConnectionEnd)
	// busy reports whether this process is short of processor time; see ticker.Busy.
	busy func() bool
}

func defaultSettings() settings {
	return settings{
		maxFrame:         defaultMaxFrame,
		maxStreams:       defaultMaxStreams,
		window:           defaultWindow,
		heartbeat:        defaultHeartbeat,
		heartbeatTimeout: defaultHeartbeatTimeout,
		idleTimeout:      defaultIdleTimeout,
		dialTimeout:      defaultDialTimeout,
		writeTimeout:     defaultWriteTimeout,
		closeTimeout:     defaultCloseTimeout,
		busy:             ticker.Busy,
	}
}

// dialContext returns a context that ends when a connection should be ready for requests.
func (s settings) dialContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return ticker.WithAwakeTimeout(ctx, s.dialTimeout, errors.Wrapf(ErrDialTimeout, "after %s", s.dialTimeout))
}

// Option sets a limit or timeout of a client or a server.
type Option func(*settings)

// ServerOption configures a Server.
type ServerOption = Option

// ClientOption configures a Client.
type ClientOption = Option

// WithMaxFrame sets the maximum size of a frame in bytes, which also limits the body of a request.
func WithMaxFrame(size int) Option {
	return func(s *settings) { s.maxFrame = size }
}

// WithMaxStreams sets the maximum number of concurrent requests on a connection.
func WithMaxStreams(count int) Option {
	return func(s *settings) { s.maxStreams = count }
}

// WithWindow sets the flow-control window of a stream: how many bytes of an answer may wait for a slow reader.
// Both sides must use the same value.
func WithWindow(size int) Option {
	return func(s *settings) { s.window = size }
}

// WithHeartbeat sets the interval at which an idle connection sends heartbeats, and how long nothing may be received
// before the peer is considered suspended or unreachable.
func WithHeartbeat(interval, timeout time.Duration) Option {
	return func(s *settings) {
		s.heartbeat = interval
		s.heartbeatTimeout = timeout
	}
}

// WithIdleTimeout sets how long a client keeps a connection without requests open.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.idleTimeout = timeout }
}

// WithDialTimeout limits the time to connect and to run the handshake. Time in which this process is suspended or short of processor time
// counts only in part.
func WithDialTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.dialTimeout = timeout }
}

// WithWriteTimeout limits how long a write may make no progress.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.writeTimeout = timeout }
}

// tlsFor returns the TLS configuration for dialling the address. The server's certificate must contain the address as a
// subject alternative name.
//
// Guards against a TLS client without a server name, which rejects every connection: hosts know each other only by address.
func (s settings) tlsFor(to netip.AddrPort) *tls.Config {
	config := s.tls.Clone()
	config.ServerName = to.Addr().Unmap().String()
	return config
}

// WithTLS encrypts connections with TLS. Both sides still prove the shared secret. A client verifies that the server's
// certificate is valid for the address that it dialled.
func WithTLS(config *tls.Config) Option {
	return func(s *settings) { s.tls = config }
}
