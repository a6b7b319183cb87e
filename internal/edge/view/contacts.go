package view

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// configurationFollowers is the number of entries that watch the configuration and the evacuations in the store; all others
	// receive these from them. There are two, so that the failure of one delays nobody. Only one entry watches each other kind:
	// those changes may arrive a second later, and their watches make up most of the store calls.
	configurationFollowers = 2
	otherFollowers         = 1
	// probeInterval is how often a follower checks that it can reach the store. A probe costs a tenth of a normal call.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// maxContactAge is the age of a follower's last contact with the store from which the standbys replace it. A new
	// configuration must be in force within two seconds even if all followers lose the store right before it is written: their
	// replacements start after this time, and a change takes half a second to spread.
	maxContactAge = time.Second
	// standbys is how many entries, in follow order, start to follow after maxContactAge; all others wait for
	// maxDistantContactAge. A follower's contact takes up to two gossip intervals to reach the most distant of a dozen or more
	// entries, so that with the shorter limit those would repeatedly start to follow. The standbys are gossip neighbours of
	// the followers and hear from them directly.
	standbys             = 4
	maxDistantContactAge = 1800 * time.Millisecond
	// outageThreshold is the time without any contact after which the store counts as down: by then several consecutive probes
	// of all followers have failed.
	outageThreshold = 2500 * time.Millisecond
	// idlePollInterval is how often an entry that does not follow the store checks whether it should.
	idlePollInterval = 100 * time.Millisecond
	// outageRetriers is how many entries retry at the normal rate while no entry reaches the store. The others retry every
	// outageRetryPause, since every call is billed, including refused ones.
	outageRetriers   = 4
	outageRetryPause = 2 * time.Second
	// maxSharedContactAge is the age up to which a contact is sent to other entries. An older one has no effect on any
	// decision.
	maxSharedContactAge = 3 * time.Second
	// contactRetention is the age after which a contact is deleted.
	contactRetention = 20 * time.Second
)

// contactTracker records when each entry last reached the store. It is safe for concurrent use.
type contactTracker struct {
	self string
	mu   sync.Mutex
	// lastContact is when each entry, by host ID, last reached the store.
	lastContact map[string]time.Time
	lastFailed  bool
	// failures counts the failed store calls of this entry.
	failures int
}

func newContactTracker(self string) *contactTracker {
	return &contactTracker{self: self, lastContact: map[string]time.Time{}}
}

// record stores the outcome of a store call by this entry.
func (c *contactTracker) record(now time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFailed = err != nil
	if err == nil {
		c.lastContact[c.self] = now
		return
	}
	c.failures++
}

// failing reports whether the last store call of this entry failed.
func (c *contactTracker) failing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastFailed
}

// failureState returns the number of failed store calls of this entry and whether the last one failed.
func (c *contactTracker) failureState() (failures int, failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures, c.lastFailed
}

// sinceLastContact returns the time since this entry last reached the store.
func (c *contactTracker) sinceLastContact(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastContact[c.self])
}

// ages returns the time in milliseconds since each entry last reached the store. Entries exchange ages, not timestamps,
// because their clocks differ.
func (c *contactTracker) ages(now time.Time) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := make(map[string]int64, len(c.lastContact))
	for host, at := range c.lastContact {
		if age := now.Sub(at); age < maxSharedContactAge {
			ages[host] = age.Milliseconds()
		}
	}
	return ages
}

// merge adds contacts received from another entry, as ages in milliseconds, and deletes expired ones.
func (c *contactTracker) merge(now time.Time, ages map[string]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, age := range ages {
		if at := now.Add(-time.Duration(age) * time.Millisecond); host != c.self && at.After(c.lastContact[host]) {
			c.lastContact[host] = at
		}
	}
	maps.DeleteFunc(c.lastContact, func(_ string, at time.Time) bool { return now.Sub(at) > contactRetention })
}

// shouldFollow reports whether this entry should follow the store: it should unless enough entries that precede it in hash
// order reach the store. The order is by hash so that the work does not always fall to the first hosts of the first
// availability zone. The position is the number of live entries that precede this one, and wanted is the number of followers
// needed.
//
// An entry that the store refuses or that is cut off has no recent contact, so that the next one in order takes over.
func (c *contactTracker) shouldFollow(now time.Time, position, wanted int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	maxAge := maxContactAge
	if position >= standbys {
		maxAge = maxDistantContactAge
	}
	preceding := 0
	for host, at := range c.lastContact {
		if host != c.self && now.Sub(at) < maxAge && cmp.Compare(hashRank(host), hashRank(c.self)) < 0 {
			preceding++
		}
	}
	return preceding < wanted
}

// firstFollower returns the first host in follow order, other than this one, that reached the store recently. It follows the server list.
func (c *contactTracker) firstFollower(now time.Time) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, found := "", false
	for host, at := range c.lastContact {
		if host != c.self && now.Sub(at) < maxDistantContactAge && (!found || hashRank(host) < hashRank(first)) {
			first, found = host, true
		}
	}
	return first, found
}

// reachesStore reports whether the host reached the store recently.
func (c *contactTracker) reachesStore(now time.Time, host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastContact[host]) < outageThreshold
}

// outage reports whether no entry reached the store recently.
func (c *contactTracker) outage(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.lastContact {
		if now.Sub(at) < outageThreshold {
			return false
		}
	}
	return true
}

// retryDelay returns how long to wait after a failed call: longer than pause if no entry reaches the store and enough other
// entries retry already.
func (c *contactTracker) retryDelay(now time.Time, pause time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := append(slices.Collect(maps.Keys(c.lastContact)), c.self)
	preceding := 0
	for _, host := range hosts {
		if now.Sub(c.lastContact[host]) < maxContactAge {
			return pause
		}
		if hashRank(host) < hashRank(c.self) {
			preceding++
		}
	}
	if preceding >= outageRetriers {
		return outageRetryPause
	}
	return pause
}

// hashRank returns the position of a host in the order in which entries follow the store.
func hashRank(host string) uint64 { return xxhash.Sum64String(host) }
