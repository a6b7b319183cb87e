package peer

import (
	"crypto/tls"
	"net/netip"
	"time"
)

// settings are the bounds and timeouts of a connection, the same on both sides.
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
	}
}

// Option sets a bound or timeout of clients and servers alike.
type Option func(*settings)

// ServerOption configures a Server.
type ServerOption = Option

// ClientOption configures a Client.
type ClientOption = Option

// WithMaxFrame bounds one frame, and with it a request's body; in bytes.
func WithMaxFrame(size int) Option {
	return func(s *settings) { s.maxFrame = size }
}

// WithMaxStreams bounds the requests that run at once on a connection.
func WithMaxStreams(count int) Option {
	return func(s *settings) { s.maxStreams = count }
}

// WithWindow bounds the bytes of one answer that wait for a slow reader. Both sides must agree.
func WithWindow(size int) Option {
	return func(s *settings) { s.window = size }
}

// WithHeartbeat sets how often a quiet connection carries a heartbeat, and after how long a silence
// the peer is taken for frozen or cut off.
func WithHeartbeat(interval, timeout time.Duration) Option {
	return func(s *settings) {
		s.heartbeat = interval
		s.heartbeatTimeout = timeout
	}
}

// WithIdleTimeout sets after how long without a request a client closes a connection.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.idleTimeout = timeout }
}

// WithDialTimeout bounds connecting and the handshake together.
func WithDialTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.dialTimeout = timeout }
}

// WithWriteTimeout bounds how long a write may make no progress.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.writeTimeout = timeout }
}

// tlsFor returns the configuration for dialling the address.
//
// Guard: hosts know each other by address alone, and a client that names nobody to verify refuses every
// connection. The server's certificate must hold the address as a subject alternative name.
func (s settings) tlsFor(to netip.AddrPort) *tls.Config {
	config := s.tls.Clone()
	config.ServerName = to.Addr().Unmap().String()
	return config
}

// WithTLS puts the frames inside TLS; the secret is proved all the same. A client verifies that the server's
// certificate is for the address that it dialled.
func WithTLS(config *tls.Config) Option {
	return func(s *settings) { s.tls = config }
}
