package placement

import (
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// Server is a backend server with the address of its agent.
type Server struct {
	HostID           string
	Pool             string
	AvailabilityZone string
	Address          netip.AddrPort
	// Leaving servers take no new work.
	Leaving bool
}

// Probed is the answer of one candidate to a probe.
type Probed struct {
	Server Server
	Load   request.Load
	// Err is set if the probe failed; Load is then void.
	Err error
	// RoundTrip is the time that the probe took.
	RoundTrip time.Duration
}
