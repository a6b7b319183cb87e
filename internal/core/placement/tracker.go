// Package placement decides at an entry which backend server runs a request.
package placement

import (
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// Option changes a Tracker.
type Option func(*Tracker)

// Tracker remembers what an entry knows about backend servers. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
}

// NewTracker returns a tracker that knows nothing.
func NewTracker(opts ...Option) *Tracker {
	t := &Tracker{}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Candidates returns the servers to probe for a request, best first. prefix is the hash of the
// prompt's prefix, 0 for none; exclude holds hosts that have already refused the request.
func (t *Tracker) Candidates(_ time.Time, servers []Server, _ uint64, exclude map[string]bool) []Server {
	var out []Server
	for _, s := range servers {
		if !s.Leaving && !exclude[s.HostID] {
			out = append(out, s)
		}
	}
	return out[:min(len(out), 3)]
}

// Choose returns the probed server at which a request of the cost starts soonest.
func (t *Tracker) Choose(_ time.Time, probed []Probed, _ float64) (Server, bool) {
	for _, p := range probed {
		if p.Err == nil && !p.Load.Leaving {
			return p.Server, true
		}
	}
	return Server{}, false
}

// Observe takes in a load that a server reported.
func (t *Tracker) Observe(_ time.Time, _ string, _ request.Load) {}

// Finished takes in a finished request: the time it took at the server and whether the server failed.
func (t *Tracker) Finished(_ time.Time, _ string, _ time.Duration, _ bool) {}
