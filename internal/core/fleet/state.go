package fleet

import "time"

// Server is a backend server of the pool in the availability zone, as the host list and its last
// load report show it.
type Server struct {
	HostID  string
	Leaving bool
	// ReportAge is the age of the load report; negative if there is none.
	ReportAge time.Duration
	Running   int
	Queued    int
	// Limit is the number of requests that it runs at a time.
	Limit int
	// Draining says that the load report was made after the agent began to take no new work.
	Draining bool
}

// State is what a decision rests on.
type State struct {
	AvailabilityZone string
	Pool             string
	MinServers       int
	MaxServers       int
	StartupTime      time.Duration
	// ViewAge is the age of the host list.
	ViewAge time.Duration
	Servers []Server
	// Refused is the work turned away for want of capacity, as the average number of requests that
	// would have been running; 0 if it isn't known.
	Refused float64
	// Memory is what the decision before returned; the zero value at the start of a lease.
	Memory Memory
}

// Hold says why a decision changes nothing.
type Hold string

// The reasons to leave the order as it is.
const (
	HoldNone        Hold = ""
	HoldSettled     Hold = "settled"
	HoldStaleView   Hold = "staleView"
	HoldPartialView Hold = "partialView"
	HoldWarmUp      Hold = "warmUp"
	HoldDraining    Hold = "draining"
)

// Decision is how many servers the zone is to have, and which of them are to take no new work.
type Decision struct {
	// Hold is empty if Count is to be ordered.
	Hold Hold
	// Count is the number of servers to order; with a Hold it's the number believed in force.
	Count int
	// Drain names the hosts that take no new work from now on; all others take work, but for those
	// that an order has named as drained.
	Drain []string
	// Drained names the hosts that serve nothing any more and are stopped by this order.
	Drained []string
	// Need is the number of servers for the work forecast.
	Need   int
	Memory Memory
}

// Memory is carried from one decision to the next.
type Memory struct {
	// Since is when the first decision was taken.
	Since time.Time
	// Ordered is the count of the last order; 0 before the first.
	Ordered int
	// Level and Slope are the smoothed work, in requests running or waiting, and its growth a second.
	Level float64
	Slope float64
	At    time.Time
	// Peaks are the needs of the time that counts for going down, decreasing.
	Peaks []Peak
	// Live is the number of live servers seen last, SuspectSince when it fell suddenly.
	Live         int
	SuspectSince time.Time
	// Raised and Lowered are when the order was last raised and lowered.
	Raised  time.Time
	Lowered time.Time
	// Drain are the hosts being drained, sorted.
	Drain []string
	// Stopped are the hosts that an order named as drained and that the host list still shows.
	Stopped []Stop
}

// Stop is a host that an order named as drained.
type Stop struct {
	HostID string
	At     time.Time
}

// Peak is a need seen at a time.
type Peak struct {
	At   time.Time
	Need int
}
