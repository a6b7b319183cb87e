package call

import (
	"maps"
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
)

const (
	// repeatRetention is how long interruptions of a request count.
	repeatRetention = time.Minute
	// maxRepeated bounds the requests that are remembered.
	maxRepeated = 4096
)

// repeatedRequests remembers at which servers requests were interrupted, for the case that their callers repeat them. It is safe for
// concurrent use.
type repeatedRequests struct {
	mu            sync.Mutex
	interruptions map[string][]interruption
}

// interruption is that of an attempt at a server.
type interruption struct {
	server backend.Key
	at     time.Time
}

// count returns how many servers interrupted earlier attempts of the request and haven't answered since.
func (r *repeatedRequests) count(now time.Time, key string, answeredAfter func(backend.Key, time.Time) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, each := range r.interruptions[key] {
		if now.Sub(each.at) <= repeatRetention && !answeredAfter(each.server, each.at) {
			count++
		}
	}
	return count
}

// add records interruptions of the request. An empty key stands for one that isn't remembered.
func (r *repeatedRequests) add(now time.Time, key string, servers []backend.Server) {
	if key == "" || len(servers) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.interruptions, func(_ string, all []interruption) bool { return now.Sub(all[len(all)-1].at) > repeatRetention })
	if _, known := r.interruptions[key]; !known && len(r.interruptions) >= maxRepeated {
		return
	}
	for _, server := range servers {
		r.interruptions[key] = append(r.interruptions[key], interruption{server: server.Key(), at: now})
	}
}
