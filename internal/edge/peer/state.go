package peer

import (
	"net/netip"
	"slices"
	"time"
)

// ClientState is the debug state of a client.
type ClientState struct {
	Connections []ConnectionState `json:"connections"`
	// Failures lists the addresses whose last dial failed.
	Failures []FailureState `json:"failures"`
}

// FailureState describes the last failed dial of an address: the connection or the handshake failed.
type FailureState struct {
	Address netip.AddrPort `json:"address"`
	At      time.Time      `json:"at"`
	Error   string         `json:"error"`
}

// ConnectionState is the debug state of a client's connection.
type ConnectionState struct {
	Address netip.AddrPort `json:"address"`
	// Open is false while the connection is being opened.
	Open bool `json:"open"`
	// Requests is the number of requests that are running or about to be sent.
	Requests int `json:"requests"`
	// Sent is the number of requests sent so far.
	Sent     uint64 `json:"sent"`
	Draining bool   `json:"leaving"`
}

// ServerState is the debug state of a server.
type ServerState struct {
	Connections int  `json:"connections"`
	Running     int  `json:"running"`
	Draining    bool `json:"leaving"`
	// Rejected is the number of connections that failed the handshake, and LastRejected the address and error of the last one.
	Rejected     int    `json:"rejected"`
	LastRejected string `json:"lastRejected,omitempty"`
}

// State returns the debug state of the client, sorted by address.
func (c *Client) State() ClientState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := ClientState{
		Connections: make([]ConnectionState, 0, len(c.conns)),
		Failures:    make([]FailureState, 0, len(c.dialFailures)),
	}
	for address, shared := range c.conns {
		state.Connections = append(state.Connections, shared.state(address))
	}
	for address, failure := range c.dialFailures {
		state.Failures = append(state.Failures, FailureState{Address: address, At: failure.at, Error: failure.message})
	}
	slices.SortFunc(state.Connections, func(a, b ConnectionState) int { return a.Address.Compare(b.Address) })
	slices.SortFunc(state.Failures, func(a, b FailureState) int { return a.Address.Compare(b.Address) })
	return state
}

func (c *sharedConn) state(address netip.AddrPort) ConnectionState {
	state := ConnectionState{Address: address}
	select {
	case <-c.ready:
	default:
		return state
	}
	if c.conn == nil {
		return state
	}
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	state.Open = true
	state.Requests = c.conn.reserved
	state.Sent = c.conn.lastStreamID
	state.Draining = c.conn.draining
	return state
}

// State returns the debug state of the server.
func (s *Server) State() ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServerState{Connections: len(s.conns), Running: s.running, Draining: s.draining, Rejected: s.rejected, LastRejected: s.lastRejected}
}
