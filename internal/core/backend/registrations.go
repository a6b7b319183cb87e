package backend

import (
	"slices"
	"time"
)

// lapseGrace is how long after an outage of the store a server counts as registered although its registration has expired. Servers that are
// alive register again within about two seconds of the store's return.
const lapseGrace = 2200 * time.Millisecond

// Registrations decides which servers count as registered. It is not safe for concurrent use.
//
// While the store is down servers can't renew their registrations. Some seconds later all of them expire at once, and the list that the
// store returns with is nearly empty although the servers are alive. At this moment the requests that waited for the store arrive together.
// Without the grace they would find a few servers, and all work that was refused in the outage would be late.
type Registrations struct {
	// outageSeen is when the store was last known to be down.
	outageSeen time.Time
	// listed is the list in the store, and lapsed are the servers that count as registered beside it.
	listed, lapsed []Server
}

// StoreIsDown records that no entry reaches the store.
func (r *Registrations) StoreIsDown(now time.Time) { r.outageSeen = now }

// Replace replaces the list in the store.
func (r *Registrations) Replace(now time.Time, listed []Server) {
	if now.Sub(r.outageSeen) >= lapseGrace {
		r.listed, r.lapsed = listed, nil
		return
	}
	previous := r.Servers()
	r.listed, r.lapsed = listed, nil
	present := map[string]bool{}
	for _, server := range listed {
		present[server.ID] = true
	}
	for _, server := range previous {
		// A server that was leaving when the outage began has left.
		if !present[server.ID] && !server.Draining {
			r.lapsed = append(r.lapsed, server)
		}
	}
}

// Expire drops the servers whose grace is over, and reports whether there were any.
func (r *Registrations) Expire(now time.Time) bool {
	if len(r.lapsed) == 0 || now.Sub(r.outageSeen) < lapseGrace {
		return false
	}
	r.lapsed = nil
	return true
}

// Servers returns the servers that count as registered. The caller must not change the slice.
func (r *Registrations) Servers() []Server {
	if len(r.lapsed) == 0 {
		return r.listed
	}
	return slices.Concat(r.listed, r.lapsed)
}

// Lapsed returns the number of servers that count as registered although their registrations have expired.
func (r *Registrations) Lapsed() int { return len(r.lapsed) }
