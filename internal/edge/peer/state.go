package peer

import (
	"net/netip"
	"slices"
	"time"
)

// ClientState is the dump of a client.
type ClientState struct {
	Connections []ConnectionState `json:"connections"`
	// Failures are the addresses whose last dial failed.
	Failures []FailureState `json:"failures"`
}

// FailureState is an address that could not be reached or did not prove who it is.
type FailureState struct {
	Address netip.AddrPort `json:"address"`
	At      time.Time      `json:"at"`
	Error   string         `json:"error"`
}

// ConnectionState is one connection of a client in a dump.
type ConnectionState struct {
	Address netip.AddrPort `json:"address"`
	// Open is false while the connection is being opened.
	Open bool `json:"open"`
	// Requests are open or about to be sent.
	Requests int `json:"requests"`
	// Sent is the number of requests sent so far.
	Sent    uint64 `json:"sent"`
	Leaving bool   `json:"leaving"`
}

// ServerState is the dump of a server.
type ServerState struct {
	Connections int  `json:"connections"`
	Running     int  `json:"running"`
	Leaving     bool `json:"leaving"`
	// Rejected is the number of connections that failed the handshake, and LastRejected why the last of them did.
	Rejected     int    `json:"rejected"`
	LastRejected string `json:"lastRejected,omitempty"`
}

// State returns the dump of the client, sorted by address.
func (c *Client) State() ClientState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := ClientState{
		Connections: make([]ConnectionState, 0, len(c.peers)),
		Failures:    make([]FailureState, 0, len(c.failed)),
	}
	for address, d := range c.peers {
		state.Connections = append(state.Connections, d.state(address))
	}
	for address, failed := range c.failed {
		state.Failures = append(state.Failures, FailureState{Address: address, At: failed.at, Error: failed.text})
	}
	slices.SortFunc(state.Connections, func(a, b ConnectionState) int { return a.Address.Compare(b.Address) })
	slices.SortFunc(state.Failures, func(a, b FailureState) int { return a.Address.Compare(b.Address) })
	return state
}

func (d *dialling) state(address netip.AddrPort) ConnectionState {
	state := ConnectionState{Address: address}
	select {
	case <-d.ready:
	default:
		return state
	}
	if d.channel == nil {
		return state
	}
	d.channel.mu.Lock()
	defer d.channel.mu.Unlock()
	state.Open = true
	state.Requests = d.channel.reserved
	state.Sent = d.channel.next
	state.Leaving = d.channel.leaving
	return state
}

// State returns the dump of the server.
func (s *Server) State() ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServerState{Connections: len(s.sessions), Running: s.running, Leaving: s.draining, Rejected: s.rejected, LastRejected: s.lastRejected}
}
