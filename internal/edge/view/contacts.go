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
	// followers is how many entries follow the configuration by watches; the others hear from them. Two, so that one that dies holds
	// nobody up. One follows the other kinds, whose changes may come a second later, and whose watches are most of all calls.
	followers      = 2
	otherFollowers = 1
	// probePause is how often a follower makes sure that it reaches the store. A probe costs a tenth of a call.
	probePause   = 400 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// contactTime is how old the last contact of a follower may be. A new configuration must be in force within two seconds, also
	// if all followers are cut off right before it: the next ones begin after this time, and news takes half a second to spread.
	contactTime = time.Second
	// standbys is how many entries, in order, begin after contactTime; the others begin after contactMost. News of a follower's
	// contact takes up to two intervals of the gossip to the farthest of some dozen entries, which would begin to follow again and again. The
	// standbys are neighbours of the followers, and hear from them directly.
	standbys    = 4
	contactMost = 1800 * time.Millisecond
	// outageTime is how long no entry reached the store when it is taken for down: some probes in a row failed everywhere.
	outageTime = 2500 * time.Millisecond
	// restPause is how often an entry that doesn't follow looks whether it is to.
	restPause = 100 * time.Millisecond
	// outageFollowers is how many entries try for the store at the usual pace when nobody reaches it; the others try each
	// outagePause, since each call is paid for, refused ones too.
	outageFollowers = 4
	outagePause     = 2 * time.Second
	// toldContact is for how long others are told of a contact: as long as it counts for anything.
	toldContact = 3 * time.Second
	// forgetContact is when an entry that reached the store last is forgotten.
	forgetContact = 20 * time.Second
)

// contacts remembers which entries reached the store lately. It is safe for concurrent use.
type contacts struct {
	self string
	mu   sync.Mutex
	// reached is when each entry was last known to reach the store.
	reached map[string]time.Time
	failed  bool
	// failures counts the failed calls of this entry.
	failures int
}

func newContacts(self string) *contacts {
	return &contacts{self: self, reached: map[string]time.Time{}}
}

// note takes in how a call of this entry ended.
func (c *contacts) note(now time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = err != nil
	if err == nil {
		c.reached[c.self] = now
		return
	}
	c.failures++
}

func (c *contacts) failing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// lost returns how many calls of this entry failed so far, and whether the last one did.
func (c *contacts) lost() (failures int, failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures, c.failed
}

// age is the time since this entry reached the store.
func (c *contacts) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.reached[c.self])
}

// ages returns the time since each entry reached the store, in milliseconds. Ages, not times, go over the wire: clocks differ.
func (c *contacts) ages(now time.Time) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := make(map[string]int64, len(c.reached))
	for host, at := range c.reached {
		if age := now.Sub(at); age < toldContact {
			ages[host] = age.Milliseconds()
		}
	}
	return ages
}

func (c *contacts) merge(now time.Time, ages map[string]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, age := range ages {
		if at := now.Add(-time.Duration(age) * time.Millisecond); host != c.self && at.After(c.reached[host]) {
			c.reached[host] = at
		}
	}
	maps.DeleteFunc(c.reached, func(_ string, at time.Time) bool { return now.Sub(at) > forgetContact })
}

// chosen says whether this entry is to follow the store: it is, unless enough entries that come before it reach it. The order is
// by hash, so that the work isn't always with the first hosts of the first availability zone; place is how many living entries come before
// this one, and wanted how many are to follow.
//
// Guard: an entry that the store turns away, or that is cut off, has no fresh contact, and the next in order begins.
func (c *contacts) chosen(now time.Time, place, wanted int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := contactTime
	if place >= standbys {
		allowed = contactMost
	}
	before := 0
	for host, at := range c.reached {
		if host != c.self && now.Sub(at) < allowed && cmp.Compare(rank(host), rank(c.self)) < 0 {
			before++
		}
	}
	return before < wanted
}

// fresh says whether the entry reached the store lately.
func (c *contacts) fresh(now time.Time, host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.reached[host]) < outageTime
}

// outage says whether no entry reached the store lately.
func (c *contacts) outage(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.reached {
		if now.Sub(at) < outageTime {
			return false
		}
	}
	return true
}

// patience is the pause after a failed call: longer where others try as well and nobody reaches the store.
func (c *contacts) patience(now time.Time, pause time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := append(slices.Collect(maps.Keys(c.reached)), c.self)
	before := 0
	for _, host := range hosts {
		if now.Sub(c.reached[host]) < contactTime {
			return pause
		}
		if rank(host) < rank(c.self) {
			before++
		}
	}
	if before >= outageFollowers {
		return outagePause
	}
	return pause
}

func rank(host string) uint64 { return xxhash.Sum64String(host) }
