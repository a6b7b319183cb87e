package view

import (
	"net/netip"
	"sync"
	"time"
)

// offer is the announcement by another entry that it has a revision of a kind.
type offer struct {
	from     netip.AddrPort
	revision uint64
}

// fetchPatience is how long a fetch may take before another entry is asked too: it may be answered by an entry that has just failed.
const fetchPatience = 150 * time.Millisecond

// fetchQueue allows one fetch of each kind at a time, and another one for each that takes longer than fetchPatience. It is safe for
// concurrent use.
//
// An entry hears of a new revision from all its neighbours within a few hundred milliseconds. Without the queue it would fetch the same
// changes from several of them at once.
type fetchQueue struct {
	mu    sync.Mutex
	kinds map[string]*fetchState
}

// fetchState is the state of the fetches of one kind.
type fetchState struct {
	running int
	// began is when the last fetch began, and next the newest offer that came since then, if any.
	began time.Time
	next  offer
}

// begin reports whether to fetch what is offered now. Otherwise a fetch of the kind is under way, and the offer waits for its end.
func (q *fetchQueue) begin(now time.Time, kind string, o offer) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.kinds == nil {
		q.kinds = map[string]*fetchState{}
	}
	state, ok := q.kinds[kind]
	if !ok {
		state = &fetchState{}
		q.kinds[kind] = state
	}
	if state.running > 0 && now.Sub(state.began) < fetchPatience {
		if o.revision > state.next.revision {
			state.next = o
		}
		return false
	}
	state.running++
	state.began = now
	return true
}

// end ends a fetch after which the entry has the known revision. It returns the offer that waited, to be fetched next, if that is newer.
func (q *fetchQueue) end(now time.Time, kind string, known uint64) (offer, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	state := q.kinds[kind]
	state.running--
	next := state.next
	state.next = offer{}
	if next.revision <= known {
		return offer{}, false
	}
	state.running++
	state.began = now
	return next, true
}
