package backend

import (
	"net/netip"
	"reflect"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/pace"
	"github.com/oleandershelf/oleandershelf/internal/core/readiness"
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
	// ColdLeft is how long the server was going to stay cold when it wrote its registration: for some seconds after its start it bears few
	// requests a second.
	ColdLeft time.Duration
	// Revision is the store's revision of the registration.
	Revision uint64
	// Models are the weight versions that the server holds, by model.
	Models map[string]int
}

// readinessRecord returns what decides whether the server may get a request.
func (s Server) readinessRecord() readiness.Record {
	return readiness.Record{
		ID:               s.ID,
		Pool:             s.Pool,
		AvailabilityZone: s.AvailabilityZone,
		Started:          s.Started,
		Revision:         s.Revision,
		ColdLeft:         s.ColdLeft,
		Models:           s.Models,
	}
}

// DiffersInWeightsOnly reports whether two registrations are equal except for their weight versions and revisions. Those of a cold server
// count as different, because its weight versions decide which entry may use it.
func (s Server) DiffersInWeightsOnly(other Server) bool {
	s.Models, s.Revision = other.Models, other.Revision
	return s.ColdLeft == 0 && reflect.DeepEqual(s, other)
}

// Key returns the identity of this run of the server: one that restarts under its old ID is a different one, without
// its former state.
func (s Server) Key() Key { return Key{ID: s.ID, Started: s.Started.UnixMilli()} }

// Key identifies one run of a server.
type Key = pace.Key
