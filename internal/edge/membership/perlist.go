package membership

import (
	"sync/atomic"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// ListCache caches a value that is computed from a list of hosts, until it is called with another list. The zero value is
// an empty cache. It is safe for concurrent use.
//
// Each host looks up several times a second which entries are relays or may contend for a duty, among 380 entries that
// change about once a minute. Ranking them each time caused two thirds of the memory that an idle entry allocates, and the
// garbage collections that followed took a good part of its processor time.
type ListCache[T any] struct {
	last atomic.Pointer[cacheEntry[T]]
}

// cacheEntry is a list and the value computed from it. It keeps the list reachable, so that no other list can get
// the same address in memory and be mistaken for it.
type cacheEntry[T any] struct {
	hosts []platform.Host
	value T
}

// GetOrCompute returns the value that compute returns for the hosts. Neither the list, once published, nor the value may be changed.
// Concurrent callers may each compute the value.
func (c *ListCache[T]) GetOrCompute(hosts []platform.Host, compute func([]platform.Host) T) T {
	if last := c.last.Load(); last != nil && isSameList(last.hosts, hosts) {
		return last.value
	}
	next := &cacheEntry[T]{hosts: hosts, value: compute(hosts)}
	c.last.Store(next)
	return next.value
}

// isSameList reports whether both slices are the same memory, which is enough because a published list never changes.
func isSameList(a, b []platform.Host) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
