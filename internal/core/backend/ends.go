package backend

import (
	"maps"
	"time"
)

const (
	// endRetention is how long the ends of servers are remembered.
	endRetention = 5 * time.Minute
	// maxRemembered bounds the remembered ends of each pool.
	maxRemembered = 2048
)

// endHistory remembers which servers of each pool have ended without leaving as planned, and when. It is not safe for concurrent use.
type endHistory struct {
	pools map[string]map[Key]time.Time
}

// record adds the end of a server, once for each run of it.
func (h *endHistory) record(now time.Time, pool string, key Key) {
	ends, known := h.pools[pool]
	if !known {
		ends = map[Key]time.Time{}
		h.pools[pool] = ends
	}
	if _, recorded := ends[key]; recorded {
		return
	}
	maps.DeleteFunc(ends, func(_ Key, at time.Time) bool { return now.Sub(at) > endRetention })
	if len(ends) == maxRemembered {
		delete(ends, oldest(ends))
	}
	ends[key] = now
}

// oldest returns the run of a server that ended first.
func oldest(ends map[Key]time.Time) (first Key) {
	var at time.Time
	for key, endedAt := range ends {
		if at.IsZero() || endedAt.Before(at) {
			first, at = key, endedAt
		}
	}
	return first
}

// remove forgets the end of a server that has registered again: its registration had expired, as in an outage of the store.
func (h *endHistory) remove(pool string, key Key) { delete(h.pools[pool], key) }

// contains reports whether the run of the server is known to have ended.
func (h *endHistory) contains(pool string, key Key) bool {
	_, ended := h.pools[pool][key]
	return ended
}

// count returns how many servers of the pool ended in the period, both ends included, that the function accepts.
func (h *endHistory) count(pool string, from, to time.Time, accept func(Key) bool) int {
	count := 0
	for key, at := range h.pools[pool] {
		if !at.Before(from) && !at.After(to) && accept(key) {
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

// RetractEnd takes back the end of a server that is alive after all.
func (b *Balancer) RetractEnd(key Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[key.ID]; ok && state.key == key {
		b.ends.remove(state.server.Pool, key)
	}
}

// recordEnd records the end of a server, unless it was leaving. The caller holds the lock.
func (b *Balancer) recordEnd(now time.Time, state *serverState) {
	if !state.server.Draining {
		b.ends.record(now, state.server.Pool, state.key)
	}
}

// Ends returns how many servers of the pool ended in the period without leaving as planned, of those that the function accepts, and how many run
// now. A server that has ended stays registered for some seconds, and isn't counted with those that run.
func (b *Balancer) Ends(pool string, from, to time.Time, accept func(Key) bool) (ended, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, state := range b.pools[pool] {
		if !b.ends.contains(pool, state.key) {
			running++
		}
	}
	return b.ends.count(pool, from, to, accept), running
}
