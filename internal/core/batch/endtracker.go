package batch

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// serverEndRetention is how long counts of ended servers are kept. Items of a step that was not completed come again with later steps.
	serverEndRetention = 5 * time.Minute
	// overLimitRetention is that time for items over the limit, from the last time that a job had them.
	overLimitRetention = time.Hour
	// singleEndShared is how long other entries are sent the counts of items under which one server ended.
	singleEndShared = 10 * time.Second
	// endsWindow is how long before the first and after the last end under an item other ends of its pool count.
	endsWindow = 5 * time.Second
	// suspicionTime is how long after its end a server may turn out to have run an item that ended others too.
	suspicionTime = time.Second
	// maxSharedServerEnds bounds how many counts a heartbeat carries, to some 1,500 bytes.
	maxSharedServerEnds = 16
)

// EndTracker keeps, for the items of all jobs, how many servers ended under them, and where suspects run. It is safe for concurrent
// use.
//
// The same items come again in later jobs, and jobs move from one entry to another. With a count for each job, an item could end three
// servers in each of them.
type EndTracker struct {
	mu     sync.Mutex
	counts map[string]endCount
	// suspects holds the suspects that run at each server.
	suspects map[string]map[string]bool
	// caused holds the servers that likely ended because of items; nil if the counts have changed since.
	caused map[EndID]bool
}

type endCount struct {
	ends ServerEnds
	// firstAt and changedAt are when the first and the last server ended, or when this process learned of it.
	firstAt, changedAt time.Time
	// usedAt is when a job last had the item withheld.
	usedAt time.Time
	// pool and rewardPool are the pools of the servers that ended under the item and its reward call; empty if only other entries know.
	pool, rewardPool string
}

func (c endCount) expired(now time.Time) bool {
	if c.ends.OverLimit() {
		return now.Sub(c.changedAt) > overLimitRetention && now.Sub(c.usedAt) > overLimitRetention
	}
	return now.Sub(c.changedAt) > serverEndRetention
}

// worthSharing reports whether other entries need to know the counts.
func (c endCount) worthSharing(now time.Time) bool {
	return now.Sub(c.changedAt) <= serverEndRetention && (c.ends.Item >= 2 || c.ends.Reward >= 2 || now.Sub(c.changedAt) < singleEndShared)
}

// NewEndTracker returns a tracker without counts.
func NewEndTracker() *EndTracker {
	return &EndTracker{counts: map[string]endCount{}, suspects: map[string]map[string]bool{}}
}

// Get returns the counts of an item.
func (t *EndTracker) Get(now time.Time, item string) ServerEnds { return t.find(now, item).ends }

// At returns a function that returns the counts of items.
func (t *EndTracker) At(now time.Time) func(item string) ServerEnds {
	return func(item string) ServerEnds { return t.Get(now, item) }
}

// find returns what is known of an item, the zero value if that has expired.
func (t *EndTracker) find(now time.Time, item string) endCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.counts[item]
	if known.expired(now) {
		return endCount{}
	}
	return known
}

// Count raises the counts of an item under which a server of the pool ended here.
func (t *EndTracker) Count(now time.Time, item, pool string, reward bool, ends ServerEnds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.raise(now, item, ends) {
		return
	}
	known := t.counts[item]
	if reward {
		known.rewardPool = pool
	} else {
		known.pool = pool
	}
	t.counts[item] = known
}

// Merge raises the counts of an item to the given ones, and reports whether they increased.
func (t *EndTracker) Merge(now time.Time, item string, ends ServerEnds) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.raise(now, item, ends)
}

// raise is merge for callers that hold the lock. Counts whose last end is older than the retention are ignored: two entries would otherwise
// keep sending them to each other.
func (t *EndTracker) raise(now time.Time, item string, ends ServerEnds) bool {
	received := endCount{ends: ends, firstAt: now.Add(-ends.Age), changedAt: now.Add(-ends.Age)}
	if received.expired(now) {
		return false
	}
	known, ok := t.counts[item]
	if !ok || known.expired(now) {
		known = received
		known.ends = ServerEnds{}
	}
	merged := known.ends.Merge(ends)
	if merged == known.ends {
		return false
	}
	if merged.Item > known.ends.Item || merged.Reward > known.ends.Reward {
		known.changedAt = received.changedAt
	}
	known.ends = merged
	maps.DeleteFunc(t.counts, func(_ string, c endCount) bool { return c.expired(now) })
	t.counts[item] = known
	t.caused = nil
	return true
}

// Clear records that a run of the item or its reward call has survived.
func (t *EndTracker) Clear(now time.Time, item string, reward bool, cleared ServerEnds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raise(now, item, cleared)
	known, ok := t.counts[item]
	if !ok {
		return
	}
	known.ends.Clear(reward)
	t.counts[item] = known
	t.caused = nil
}

// Retract records that an end under the item or its reward call was taken back, which left the given counts.
func (t *EndTracker) Retract(now time.Time, item string, reward bool, left ServerEnds) {
	if count, rewards := left.Uncleared(); !reward && count == 0 || reward && rewards == 0 {
		t.Clear(now, item, reward, left)
		return
	}
	t.Merge(now, item, left)
}

// Touch records that a job has the item withheld.
func (t *EndTracker) Touch(now time.Time, item string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.counts[item]; ok {
		known.usedAt = now
		t.counts[item] = known
	}
}

// Runs reports whether the item runs in any job.
func (t *EndTracker) Runs(item string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, suspects := range t.suspects {
		if suspects[item] {
			return true
		}
	}
	return false
}

// Explained returns which of the withheld items may run first of those whose ends other items explain; empty if there is none.
func (t *EndTracker) Explained(withheld []string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[string]ServerEnds{}
	for item, count := range t.counts {
		known[item] = count.ends
	}
	for _, item := range ExplainedByOthers(known) {
		if slices.Contains(withheld, item) {
			return item
		}
	}
	return ""
}

// PoolEnds returns the ends in the pool of the servers that ended under the item, or in the given one if it isn't known, around those under the
// item. Ends returns how many servers of a pool ended in a period, of those that a function accepts, and how many run.
func (t *EndTracker) PoolEnds(
	now time.Time, item, pool string, ends func(pool string, from, to time.Time, accept func(EndID) bool) (ended, running int),
) PoolEnds {
	known := t.find(now, item)
	pool = cmp.Or(known.pool, known.rewardPool, pool)
	from, to := known.firstAt.Add(-endsWindow), known.changedAt.Add(endsWindow)
	all, _ := ends(pool, from, to, func(EndID) bool { return true })
	if settled := now.Add(-suspicionTime); to.After(settled) {
		to = settled
	}
	caused := t.causedEnds()
	byChance, running := ends(pool, from, to, func(id EndID) bool { return !caused[id] })
	return t.recordPool(item, PoolEnds{Ended: all, ByChance: byChance, Running: running})
}

// recordPool returns the given ends of a pool, or those that came with the item's counts if another entry knew of more.
func (t *EndTracker) recordPool(item string, pool PoolEnds) PoolEnds {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.counts[item]
	if !ok {
		return pool
	}
	if known.ends.Pool.Ended > pool.Ended {
		return known.ends.Pool
	}
	known.ends.Pool = pool
	t.counts[item] = known
	return pool
}

// causedEnds returns the servers that likely ended because of items, as a set that isn't changed.
func (t *EndTracker) causedEnds() map[EndID]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.caused == nil {
		known := map[string]ServerEnds{}
		for item, count := range t.counts {
			if count.ends.Suspect() {
				known[item] = count.ends
			}
		}
		t.caused = likelyCauses(known)
	}
	return t.caused
}

// Shared returns the counts of items under which servers ended, to send to other entries: the highest counts first, then the latest.
func (t *EndTracker) Shared(now time.Time) map[string]ServerEnds {
	t.mu.Lock()
	defer t.mu.Unlock()
	var items []string
	for item, count := range t.counts {
		if count.worthSharing(now) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(x, y string) int {
		a, b := t.counts[x], t.counts[y]
		return cmp.Or(cmp.Compare(b.ends.TotalUncleared(), a.ends.TotalUncleared()), b.changedAt.Compare(a.changedAt), cmp.Compare(x, y))
	})
	shared := map[string]ServerEnds{}
	for _, item := range items[:min(len(items), maxSharedServerEnds)] {
		ends := t.counts[item].ends
		ends.Age = now.Sub(t.counts[item].changedAt)
		shared[item] = ends
	}
	return shared
}

// SuspectServers returns the servers at which a suspect other than the item runs, as a set.
func (t *EndTracker) SuspectServers(item string) map[string]bool {
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

// Started records that a suspect runs at the server.
func (t *EndTracker) Started(server, item string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects[server] == nil {
		t.suspects[server] = map[string]bool{}
	}
	t.suspects[server][item] = true
}

// Ended records that a suspect no longer runs at the server.
func (t *EndTracker) Ended(server, item string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspects[server], item)
	if len(t.suspects[server]) == 0 {
		delete(t.suspects, server)
	}
}
