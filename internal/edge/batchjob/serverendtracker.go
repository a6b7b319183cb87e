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
	// suspects maps servers to the suspect item that runs there.
	suspects map[string]string
}

type serverEndCount struct {
	ends batch.ServerEnds
	// changedAt is when the counts last increased.
	changedAt time.Time
}

func newServerEndTracker() *serverEndTracker {
	return &serverEndTracker{counts: map[string]serverEndCount{}, suspects: map[string]string{}}
}

// get returns the counts of an item.
func (t *serverEndTracker) get(item string) batch.ServerEnds {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[item].ends
}

// merge raises the counts of an item to the given ones, and reports whether they increased.
func (t *serverEndTracker) merge(now time.Time, item string, ends batch.ServerEnds) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.counts[item].ends
	merged := known.Merge(ends)
	if merged == known {
		return false
	}
	maps.DeleteFunc(t.counts, func(_ string, c serverEndCount) bool { return now.Sub(c.changedAt) > serverEndRetention })
	t.counts[item] = serverEndCount{ends: merged, changedAt: now}
	return true
}

// shared returns the counts of suspects to send to other entries, the highest and latest ones if there are many.
func (t *serverEndTracker) shared(now time.Time) map[string]batch.ServerEnds {
	t.mu.Lock()
	defer t.mu.Unlock()
	var items []string
	for item, count := range t.counts {
		if count.ends.Suspect() && now.Sub(count.changedAt) <= serverEndRetention {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(x, y string) int {
		a, b := t.counts[x], t.counts[y]
		return cmp.Or(cmp.Compare(b.ends.Item+b.ends.Reward, a.ends.Item+a.ends.Reward), b.changedAt.Compare(a.changedAt), cmp.Compare(x, y))
	})
	shared := map[string]batch.ServerEnds{}
	for _, item := range items[:min(len(items), maxSharedServerEnds)] {
		shared[item] = t.counts[item].ends
	}
	return shared
}

// suspectServers returns the servers at which a suspect other than the item runs, as a set.
func (t *serverEndTracker) suspectServers(item string) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := make(map[string]bool, len(t.suspects))
	for server, suspect := range t.suspects {
		if suspect != item {
			servers[server] = true
		}
	}
	return servers
}

// started records that a suspect runs at the server, ended that the item no longer does.
func (t *serverEndTracker) started(server, item string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects[server] = item
}

func (t *serverEndTracker) ended(server, item string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects[server] == item {
		delete(t.suspects, server)
	}
}
