package batch

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// ServerRun is one run of a server.
type ServerRun struct {
	ID      string
	Started int64
}

func (s ServerRun) endID() EndID { return NewEndID(s.ID, time.UnixMilli(s.Started), false) }

// endHistory holds when servers ended.
type endHistory map[EndID]time.Time

// in returns how many servers ended in the period, of those that the function accepts.
func (h endHistory) in(from, to time.Time, accept func(EndID) bool) int {
	count := 0
	for id, at := range h {
		if !at.Before(from) && !at.After(to) && accept(id) {
			count++
		}
	}
	return count
}

// modelRule applies the counts of an entry to its items, as the entry's review of withheld items does.
type modelRule struct {
	tracker  *EndTracker
	pool     endHistory
	released map[string]int
	reviewed map[string]time.Time
	withheld map[string]bool
	// byChance holds the items that ran again after runs without progress, since each server of the pool had ended by chance.
	byChance map[string]bool
}

func newModelRule() *modelRule {
	return &modelRule{
		tracker: NewEndTracker(), pool: endHistory{}, released: map[string]int{}, reviewed: map[string]time.Time{}, withheld: map[string]bool{},
		byChance: map[string]bool{},
	}
}

// ended records that a server ended under a run of the item.
func (r *modelRule) ended(now time.Time, item string, run EndedRun) {
	if _, known := r.pool[run.Server]; !known {
		r.pool[run.Server] = now
	}
	ends := r.tracker.Get(now, item)
	ends.add(run)
	r.tracker.Count(now, item, "p", false, ends)
}

// poolEnded records that a server of the pool ended, whatever ran there.
func (r *modelRule) poolEnded(now time.Time, server ServerRun) { r.pool[server.endID()] = now }

// received records that a run has brought as many events, or its last one.
func (r *modelRule) received(now time.Time, item string, events int, completed bool) {
	ends := r.tracker.Get(now, item)
	if completed || events == ends.SurvivedAfter() {
		ends.Clear(false)
		r.tracker.Clear(now, item, false, ends)
	}
}

func (r *modelRule) poolEnds(now time.Time, item string, running int) PoolEnds {
	return r.tracker.PoolEnds(now, item, "p", func(_ string, from, to time.Time, accept func(EndID) bool) (int, int) {
		return r.pool.in(from, to, accept), running
	})
}

// merge applies what other entries or pages tell.
func (r *modelRule) merge(now time.Time, known map[string]ServerEnds) {
	for item, ends := range known {
		r.tracker.Merge(now, item, ends)
	}
}

// permit returns whether a run may begin, and the limit at which it is to be ended.
func (r *modelRule) permit(now time.Time, item string, poolSize int) (bool, RunLimit) {
	ends := r.tracker.Get(now, item)
	limit := ends.RunLimit(r.poolEnds(now, item, poolSize))
	if !ends.OverLimit() || ends.Item == r.released[item] {
		return true, limit
	}
	r.withheld[item] = true
	if now.Sub(r.reviewed[item]) < reviewDelay {
		return false, RunLimit{}
	}
	r.reviewed[item] = now
	explained := r.tracker.Explained(slices.Sorted(maps.Keys(r.withheld))) == item
	if !explained && !ends.MayRunAgain(r.poolEnds(now, item, poolSize)) {
		return false, RunLimit{}
	}
	r.released[item] = ends.Item
	delete(r.withheld, item)
	r.byChance[item] = r.byChance[item] || !explained && ends.Stalled >= maxStalledEnds
	return true, limit
}

// describe returns what is known of an item.
func (r *modelRule) describe(now time.Time, item string, poolSize int) string {
	return fmt.Sprintf("%+v in %+v", r.tracker.Get(now, item), r.poolEnds(now, item, poolSize))
}
