package engine

import (
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

// maxCacheEvents is how many events are kept for readers that lag behind.
const maxCacheEvents = 1024

// cacheEvent is a cache event with the time of its publication.
type cacheEvent struct {
	backendserver.CacheEvent
	publishAt time.Time
}

// cache is an LRU cache of prompt prefixes. It publishes its changes as events after a lag.
type cache struct {
	size int
	lag  time.Duration
	// prefixes are sorted by last use, the least recently used one first.
	prefixes []uint64
	events   []cacheEvent
	sequence uint64
	hits     int
}

func newCache(size int, lag time.Duration) *cache {
	return &cache{size: size, lag: lag}
}

// use reports whether the prefix was cached, and caches it.
func (c *cache) use(prefix uint64, now time.Time) bool {
	if index := slices.Index(c.prefixes, prefix); index >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, index, index+1), prefix)
		c.hits++
		return true
	}
	c.prefixes = append(c.prefixes, prefix)
	c.addEvent(backendserver.CacheStored, prefix, now)
	if len(c.prefixes) > c.size {
		c.addEvent(backendserver.CacheEvicted, c.prefixes[0], now)
		c.prefixes = c.prefixes[1:]
	}
	return false
}

func (c *cache) addEvent(kind backendserver.CacheEventKind, prefix uint64, now time.Time) {
	c.sequence++
	event := backendserver.CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: prefix}
	c.events = append(c.events, cacheEvent{CacheEvent: event, publishAt: now.Add(c.lag)})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// published returns the events after the sequence number that are due by now. Every loseEvery-th event is left out, or none
// if loseEvery is 0.
func (c *cache) published(now time.Time, after uint64, loseEvery int) []backendserver.CacheEvent {
	events := make([]backendserver.CacheEvent, 0)
	for _, event := range c.events {
		lost := loseEvery > 0 && event.Sequence%uint64(loseEvery) == 0
		if event.Sequence > after && !event.publishAt.After(now) && !lost {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}
