package fleet

import "time"

// Server is a backend server of the pool in the availability zone, according to the host list and its last
// load report.
type Server struct {
	HostID string
	// Leaving is set if the host list shows the server as leaving.
	Leaving bool
	// ReportAge is the age of the load report; negative if there is none.
	ReportAge time.Duration
	Running   int
	Queued    int
	// Limit is the number of requests that the server runs at a time.
	Limit int
	// Draining is set if the load report was made after the agent stopped accepting new requests.
	Draining bool
}

// State is the input of a decision.
type State struct {
	AvailabilityZone string
	Pool             string
	MinServers       int
	// MaxServers is 0 if the number of servers isn't limited.
	MaxServers  int
	StartupTime time.Duration
	// HostListAge is the age of the host list.
	HostListAge time.Duration
	Servers     []Server
	// RefusedLoad is the load that was refused for lack of capacity, as the average number of requests that
	// would have been running; 0 if it isn't known.
	RefusedLoad float64
	// Memory is what the previous decision returned; the zero value at the start of a lease.
	Memory Memory
}

// Hold is the reason why a decision leaves the order unchanged.
type Hold string

const (
	// HoldNone means that the decision places an order.
	HoldNone Hold = ""
	// HoldSettled means that the order isn't higher than the highest need of the stabilisation window.
	HoldSettled Hold = "settled"
	// HoldStaleView means that the host list is too old.
	HoldStaleView Hold = "staleView"
	// HoldPartialView means that too many load reports are missing or that the host list has just lost many servers.
	HoldPartialView Hold = "partialView"
	// HoldWarmUp means that it is too soon after the first decision or the last change to lower the order.
	HoldWarmUp Hold = "warmUp"
	// HoldDraining means that the order can't be lowered before a server is drained.
	HoldDraining Hold = "draining"
)

// Decision is the number of servers that the zone should have, and the servers that should accept no new requests.
type Decision struct {
	// Hold is empty if Count is to be ordered.
	Hold Hold
	// Count is the number of servers to order. With a Hold it is the number assumed to be in force.
	Count int
	// Drain are the hosts that should accept no new requests from now on. All others should accept requests, except
	// those that an order has named as drained.
	Drain []string
	// Drained are the hosts that run no requests any more and are stopped by this order.
	Drained []string
	// Need is the number of servers for the forecast load. With an unreliable view it equals Count.
	Need   int
	Memory Memory
}

// Memory is the state of the policy that is passed from one decision to the next.
type Memory struct {
	// StartedAt is the time of the first decision.
	StartedAt time.Time
	// Ordered is the order in force: the number of servers last ordered, or that ran at the first decision.
	Ordered int
	// Level is the smoothed load in requests, and Slope its smoothed growth in requests per second.
	Level float64
	Slope float64
	// LoadAt is when Level and Slope were last updated; zero before the first time.
	LoadAt time.Time
	// Peaks are the needs of the stabilisation window that no later need has exceeded, in the order of time.
	Peaks []Peak
	// Live is the last trusted number of live servers. SuspectSince is when the number fell below half of it;
	// zero if it didn't.
	Live         int
	SuspectSince time.Time
	// RaisedAt and LoweredAt are when the order was last raised and lowered.
	RaisedAt  time.Time
	LoweredAt time.Time
	// Drain are the hosts being drained, sorted.
	Drain []string
	// Stopped are the hosts that an order named as drained and that the host list still shows.
	Stopped []StoppedHost
}

// StoppedHost is a host that an order named as drained.
type StoppedHost struct {
	HostID string
	// At is the time of the order.
	At time.Time
}

// Peak is a need with the time of its decision.
type Peak struct {
	At   time.Time
	Need int
}
