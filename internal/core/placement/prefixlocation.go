package placement

import "time"

const (
	// locationTTL is how long a server counts as holding a prefix after the prefix was last seen there.
	locationTTL = time.Minute
	// maxLocations bounds the number of remembered prefixes, each of which takes about 100 bytes.
	maxLocations = 8192
)

// prefixLocation is the server that last held a prefix, as far as the entry knows.
type prefixLocation struct {
	hostID string
	seenAt time.Time
}

// prefixLocations remembers which server holds which prefix. Cache events are delayed and some are lost, so a location
// expires and only adds a candidate to probe; it never decides the placement on its own.
type prefixLocations struct {
	byPrefix map[uint64]prefixLocation
	// ring holds the prefixes in the order in which they were first recorded; the oldest one is evicted first.
	ring []uint64
	next int
}

func newPrefixLocations() prefixLocations {
	return prefixLocations{byPrefix: map[uint64]prefixLocation{}}
}

func (l *prefixLocations) record(now time.Time, prefix uint64, hostID string) {
	if prefix == 0 {
		return
	}
	if _, known := l.byPrefix[prefix]; !known {
		l.insert(prefix)
	}
	l.byPrefix[prefix] = prefixLocation{hostID: hostID, seenAt: now}
}

// insert adds a prefix to the ring and evicts the oldest one if the ring is full.
func (l *prefixLocations) insert(prefix uint64) {
	if len(l.ring) < maxLocations {
		l.ring = append(l.ring, prefix)
		return
	}
	delete(l.byPrefix, l.ring[l.next])
	l.ring[l.next] = prefix
	l.next = (l.next + 1) % maxLocations
}

// lookup returns the server that last held the prefix; false if none is known or the location has expired.
func (l *prefixLocations) lookup(now time.Time, prefix uint64) (string, bool) {
	location, ok := l.byPrefix[prefix]
	if !ok || now.Sub(location.seenAt) > locationTTL {
		return "", false
	}
	return location.hostID, true
}
