package backend

import (
	"net/netip"
	"time"
)

// Server is a backend server as it registered itself.
type Server struct {
	// ID identifies one run of the server, unless it restarts under its old ID; see Started.
	ID               string
	Pool             string
	Address          netip.AddrPort
	AvailabilityZone string
	// Slots is how many requests the server runs at once.
	Slots int
	// Draining servers take no new request.
	Draining bool
	// Started is when the process of the server started.
	Started time.Time
	// Models are the weight versions that the server holds, by model.
	Models map[string]int
}

// Key returns the identity of this run of the server: one that restarts under its old ID is a different one, without
// its former state.
func (s Server) Key() Key { return Key{ID: s.ID, Started: s.Started.UnixMilli()} }

// Key identifies one run of a server.
type Key struct {
	ID string
	// Started is the Unix time of the start in milliseconds.
	Started int64
}
