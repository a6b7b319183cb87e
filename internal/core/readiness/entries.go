package readiness

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entryRetention is how long an entry that is no longer alive still counts for the majority. It is longer than most partitions; an entry
// that failed for good delays nothing, as only more than half of the entries have to be alive.
const entryRetention = 30 * time.Second

// reserveDivisor sets the part of a server's limit, a tenth rounded up, that is left to orders to load weights and to requests that are on
// their way when another entry is selected.
const reserveDivisor = 10

// entryList is the list of living entries, from which each derives which one of them uses a cold server.
type entryList struct {
	self string
	// alive is empty until the list has settled.
	alive   []string
	runners map[string][]string
	// seen holds when each entry was last alive.
	seen map[string]time.Time
}

// update replaces the list.
func (l *entryList) update(now time.Time, alive []string, runners map[string][]string) {
	l.alive, l.runners = alive, runners
	for _, host := range alive {
		l.seen[host] = now
	}
	for host, at := range l.seen {
		if now.Sub(at) > entryRetention {
			delete(l.seen, host)
		}
	}
}

// hasMajority reports whether more than half of the entries that were alive recently are alive.
func (l *entryList) hasMajority() bool { return 2*len(l.alive) > len(l.seen) }

// allowance returns how many requests this entry may send to a cold server in any second. Requests of batch jobs come from the entries that
// run the jobs of a model, and one of these by rank may use a server that serves the model. Other requests come from all entries, each of
// which has few: as many entries as the limit allows may send one each.
func (l *entryList) allowance(server, model string, perSecond int) int {
	if !l.hasMajority() {
		return 0
	}
	if model != "" {
		if !l.isAmongFirst(server, l.runners[model], 1) {
			return 0
		}
		return max(1, perSecond-(perSecond+reserveDivisor-1)/reserveDivisor)
	}
	senders := min(perSecond, len(l.alive))
	if !l.isAmongFirst(server, l.alive, senders) {
		return 0
	}
	return max(1, perSecond/max(1, senders))
}

// isAmongFirst reports whether this entry is one of the first count hosts in the order of their ranks for the server.
func (l *entryList) isAmongFirst(server string, hosts []string, count int) bool {
	if !slices.Contains(hosts, l.self) {
		return false
	}
	own, preceding := rank(server, l.self), 0
	for _, host := range hosts {
		if host != l.self && rank(server, host) < own {
			preceding++
		}
	}
	return preceding < count
}

// rank returns the position of a host, or of a model, in an order that differs between servers and is the same at all entries.
func rank(server, name string) uint64 { return xxhash.Sum64String(server + "\x00" + name) }
