// Package routing holds what the operator configured for pools that entries call directly: which request goes to
// which pool, for which organisation, and what may be repeated.
package routing

import "time"

// Kind says what may be done with the requests of a route.
type Kind uint8

// The kinds of routes. The zero value is refused when a configuration is read.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota + 1
	// KindOnce requests run at most once for each attempt of the caller.
	KindOnce
	// KindStream requests are answered by a stream of events; they are repeated only where the route is resumable.
	KindStream
	// KindBatch routes take batch jobs, whose items run later.
	KindBatch
)

// Route is one entry of the routing table.
type Route struct {
	Name string
	// Host is the host name that the route answers to, in lower case and without a port.
	Host string
	// Prefix starts the paths of the route; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Targets are the pools that serve the route, with their shares.
	Targets []Target
	// Timeout is how long a caller is kept waiting at most.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is worth most.
	LatencyObjective time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// MaxAttempts is how many servers one attempt of the caller may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server after the last event received.
	Resumable bool
	// SingleVersion allows only samples that one weight version made.
	SingleVersion bool
	// ItemTimeout is how long after the submission an item of a batch job may be given up.
	ItemTimeout time.Duration
	// ResultDeadline is how long after the submission all results of a batch job are due.
	ResultDeadline time.Duration
}

// Target is a pool with its share of a route's requests.
type Target struct {
	Pool string
	// Weight is the share relative to the other targets.
	Weight float64
}

// Pool returns the pool for a draw from [0, 1).
func (r Route) Pool(draw float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := draw * total
	for _, target := range r.Targets {
		if left < target.Weight {
			return target.Pool
		}
		left -= target.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Pool is a set of backend servers that do the same work.
type Pool struct {
	Name string
	// MaxConnections is what one server accepts from all callers together.
	MaxConnections int
	// Models are the models that the pool's engines serve; empty for plain services.
	Models []string
	// TokensPerEvent is how many tokens one event of a stream carries.
	TokensPerEvent int
	// Scaling bounds the number of servers in each availability zone; nil where the number is fixed.
	Scaling *Scaling
}

// Scaling bounds the number of a pool's servers in each availability zone.
type Scaling struct {
	Min, Max int
	// StartTime is how long a new server takes until it serves.
	StartTime time.Duration
}

// Organisation is a tenant of the deployment.
type Organisation struct {
	Name string
	// Priority goes before the route's priority; 0 goes first.
	Priority int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
