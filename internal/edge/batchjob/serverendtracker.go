package batchjob

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
)

const (
	// serverEndRetention is how long counts of ended servers are kept. Items of a step that was not completed come again with later steps.
	serverEndRetention = 5 * time.Minute
	// maxSharedServerEnds bounds how many counts a heartbeat carries, to some 500 bytes.
	maxSharedServerEnds = 16
)

// serverEndTracker keeps, for the items of all jobs, how many servers ended under them, and where suspects run. It is safe for concurrent
// use.
//
// The same items come again in later jobs, and jobs move from one entry to another. With a count for each job, an item could end three
// servers in each of them.
type serverEndTracker struct {
	mu     sync.Mutex
	counts map[string]serverEndCount
	// suspects holds the suspects that run at each server.
	suspects map[string]map[string]bool
}

type serverEndCount struct {
	ends batch.ServerEnds
	// firstAt and changedAt are when the first and the last server ended, or when this process learned of it.
	firstAt, changedAt time.Time
	// pool and rewardPool are the pools of the servers that ended under the item and its reward call; empty if only other entries know.
	pool, rewardPool string
}

func (c serverEndCount) expired(now time.Time) bool { return now.Sub(c.changedAt) > serverEndRetention }

func newServerEndTracker() *serverEndTracker {
	return &serverEndTracker{counts: map[string]serverEndCount{}, suspects: map[string]map[string]bool{}}
}

// get returns the counts of an item.
func (t *serverEndTracker) get(item string) batch.ServerEnds { return t.find(item).ends }

// find returns what is known of an item, the zero value if that has expired.
func (t *serverEndTracker) find(item string) serverEndCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.counts[item]
	if known.expired(time.Now()) {
		return serverEndCount{}
	}
	return known
}

// count raises the counts of an item under which a server ended here.
func (t *serverEndTracker) count(now time.Time, use serverUse, ends batch.ServerEnds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.raise(now, use.item, ends) {
		return
	}
	known := t.counts[use.item]
	if use.reward {
		known.rewardPool = use.pool
	} else {
		known.pool = use.pool
	}
	t.counts[use.item] = known
}

// merge raises the counts of an item to the given ones, and reports whether they increased.
func (t *serverEndTracker) merge(now time.Time, item string, ends batch.ServerEnds) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.raise(now, item, ends)
}

// raise is merge for callers that hold the lock. Counts whose last end is older than the retention are ignored: two entries would otherwise
// keep sending them to each other.
func (t *serverEndTracker) raise(now time.Time, item string, ends batch.ServerEnds) bool {
	received := serverEndCount{firstAt: now.Add(-ends.Age), changedAt: now.Add(-ends.Age)}
	if received.expired(now) {
		return false
	}
	known, ok := t.counts[item]
	if !ok || known.expired(now) {
		known = received
	}
	merged := known.ends.Merge(ends)
	if merged == known.ends {
		return false
	}
	if merged.Item > known.ends.Item || merged.Reward > known.ends.Reward {
		known.changedAt = received.changedAt
	}
	known.ends = merged
	maps.DeleteFunc(t.counts, func(_ string, c serverEndCount) bool { return c.expired(now) })
	t.counts[item] = known
	return true
}

// dueForIsolatedRun reports whether a withheld item may have an isolated run: it has waited for as long as its counts require, and runs
// nowhere. An item whose counts have expired may.
func (t *serverEndTracker) dueForIsolatedRun(now time.Time, item string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.counts[item]
	if !ok || known.expired(now) {
		return true
	}
	for _, suspects := range t.suspects {
		if suspects[item] {
			return false
		}
	}
	return now.Sub(known.changedAt) >= known.ends.RetryDelay()
}

// shared returns the counts of items under which at least as many servers ended as make a suspect, to send to other entries: suspects first,
// then the highest and latest counts.
func (t *serverEndTracker) shared(now time.Time) map[string]batch.ServerEnds {
	t.mu.Lock()
	defer t.mu.Unlock()
	var items []string
	for item, count := range t.counts {
		if count.ends.WorthSharing() && !count.expired(now) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(x, y string) int {
		a, b := t.counts[x], t.counts[y]
		return cmp.Or(cmp.Compare(b.ends.TotalUnexplained(), a.ends.TotalUnexplained()), b.changedAt.Compare(a.changedAt), cmp.Compare(x, y))
	})
	shared := map[string]batch.ServerEnds{}
	for _, item := range items[:min(len(items), maxSharedServerEnds)] {
		ends := t.counts[item].ends
		ends.Age = now.Sub(t.counts[item].changedAt)
		shared[item] = ends
	}
	return shared
}

// suspectServers returns the servers at which a suspect other than the item runs, as a set.
func (t *serverEndTracker) suspectServers(item string) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := make(map[string]bool, len(t.suspects))
	for server, suspects := range t.suspects {
		if len(suspects) > 1 || !suspects[item] {
			servers[server] = true
		}
	}
	return servers
}

// started records that a suspect runs at the server, ended that the item no longer does.
func (t *serverEndTracker) started(server, item string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects[server] == nil {
		t.suspects[server] = map[string]bool{}
	}
	t.suspects[server][item] = true
}

func (t *serverEndTracker) ended(server, item string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspects[server], item)
	if len(t.suspects[server]) == 0 {
		delete(t.suspects, server)
	}
}
