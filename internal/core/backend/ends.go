package backend

import (
	"slices"
	"time"
)

const (
	// endRetention is how long the ends of servers are remembered.
	endRetention = 5 * time.Minute
	// maxRemembered bounds the remembered ends of each pool.
	maxRemembered = 2048
)

// serverEnd is the end of one run of a server, as far as its registration or a refused connection showed it.
type serverEnd struct {
	key Key
	at  time.Time
}

// endHistory remembers which servers of each pool have ended without leaving as planned. It is not safe for concurrent use.
type endHistory struct {
	pools map[string][]serverEnd
}

// record adds the end of a server, once for each run of it.
func (h *endHistory) record(now time.Time, pool string, key Key) {
	ends := slices.DeleteFunc(h.pools[pool], func(e serverEnd) bool { return now.Sub(e.at) > endRetention })
	h.pools[pool] = ends
	if !h.contains(pool, key) {
		ends = append(ends, serverEnd{key: key, at: now})
	}
	h.pools[pool] = ends[max(0, len(ends)-maxRemembered):]
}

func (h *endHistory) contains(pool string, key Key) bool {
	return slices.ContainsFunc(h.pools[pool], func(e serverEnd) bool { return e.key == key })
}

// count returns how many servers of the pool ended in the period, both ends included.
func (h *endHistory) count(pool string, from, to time.Time) int {
	count := 0
	for _, e := range h.pools[pool] {
		if !e.at.Before(from) && !e.at.After(to) {
			count++
		}
	}
	return count
}

// RecordEnd records that the server was found to have ended before its registration shows it. A server that is leaving has ended as
// planned.
func (b *Balancer) RecordEnd(now time.Time, key Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[key.ID]; ok && state.key == key {
		b.recordEnd(now, state)
	}
}

// recordEnd records the end of a server, unless it was leaving. The caller holds the lock.
func (b *Balancer) recordEnd(now time.Time, state *serverState) {
	if !state.server.Draining {
		b.ends.record(now, state.server.Pool, state.key)
	}
}

// Ends returns how many servers of the pool ended in the period without leaving as planned, and how many run now. A server that has ended
// stays registered for some seconds, and isn't counted with those that run.
func (b *Balancer) Ends(pool string, from, to time.Time) (ended, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, state := range b.pools[pool] {
		if !b.ends.contains(pool, state.key) {
			running++
		}
	}
	return b.ends.count(pool, from, to), running
}
