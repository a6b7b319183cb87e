package placement

import "time"

const (
	// beliefTime is how long a server is believed to hold a prefix after it was last seen there.
	beliefTime = time.Minute
	// beliefsKept bounds the memory for prefixes, at some 100 bytes each.
	beliefsKept = 8192
)

// belief is the server that held a prefix last, as far as is known.
type belief struct {
	hostID string
	at     time.Time
}

// beliefs remembers which server holds which prefix. Cache events come late and with gaps, so a belief
// only adds a candidate to probe and ages; it never decides by itself.
type beliefs struct {
	byPrefix map[uint64]belief
	// order holds the prefixes in the order they were first learned, to forget the oldest.
	order []uint64
	next  int
}

func newBeliefs() beliefs { return beliefs{byPrefix: map[uint64]belief{}} }

func (b *beliefs) learn(now time.Time, prefix uint64, hostID string) {
	if prefix == 0 {
		return
	}
	if _, known := b.byPrefix[prefix]; !known {
		b.place(prefix)
	}
	b.byPrefix[prefix] = belief{hostID: hostID, at: now}
}

// place takes a place in the ring; the prefix that had it is forgotten.
func (b *beliefs) place(prefix uint64) {
	if len(b.order) < beliefsKept {
		b.order = append(b.order, prefix)
		return
	}
	delete(b.byPrefix, b.order[b.next])
	b.order[b.next] = prefix
	b.next = (b.next + 1) % beliefsKept
}

// host returns the server believed to hold the prefix.
func (b *beliefs) host(now time.Time, prefix uint64) (string, bool) {
	found, ok := b.byPrefix[prefix]
	if !ok || now.Sub(found.at) > beliefTime {
		return "", false
	}
	return found.hostID, true
}
