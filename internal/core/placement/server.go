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
	// Leaving servers accept no new requests.
	Leaving bool
}

// ProbeResult is the result of probing one candidate.
type ProbeResult struct {
	Server Server
	Load   request.Load
	// Err is set if the probe failed; Load is then invalid.
	Err error
	// RoundTrip is the duration of the probe.
	RoundTrip time.Duration
}
