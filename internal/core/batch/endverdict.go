package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxStalledEnds is the number of ends in a row without progress from which an item over the limit has no further run, unless each server of
	// the pool has ended by chance.
	maxStalledEnds = 2
	// maxAgeRatio is the ratio up to which two times after which servers ended count as alike.
	maxAgeRatio = 1.25
	// waveEnds is how many servers end for each of a pool in a wave, and maxWaveEnds how many may end under an item then.
	waveEnds    = 2
	maxWaveEnds = MaxServerEnds + 1
	// maxEarlyEnds is how many ends before the limits of short runs don't count towards the limit in a pool in which no others end.
	maxEarlyEnds = 1
	// defaultWatchTime is how long servers are watched after short runs if it isn't known how long those lived that ended, maxWatchTime how long
	// at most.
	defaultWatchTime = time.Second
	minWatchTime     = 500 * time.Millisecond
	maxWatchTime     = 2500 * time.Millisecond
	// minSurvivedEvents is how many events a run brings at least, beyond twice those of the longest run that ended its server, before it counts
	// as survived.
	minSurvivedEvents = 10
)

// PoolEnds is how many servers of a pool ended while those of an item did, how many of these by chance, and how many run. An end is by chance if no
// item that was at the server is likely its cause.
type PoolEnds struct {
	Ended    int `json:"ended" msgpack:"e"`
	ByChance int `json:"byChance" msgpack:"c"`
	Running  int `json:"running" msgpack:"r"`
}

// perServer returns how many ends by chance each server of the pool had on average.
func (p PoolEnds) perServer() float64 { return float64(p.ByChance) / float64(max(1, p.Running)) }

// allowance returns how many ends of one item chance may account for, the expected number and two standard deviations.
func (p PoolEnds) allowance() int {
	expected := p.perServer()
	return int(expected + 2*math.Sqrt(expected))
}

// quiet reports whether so few servers of the pool ended by chance that it doesn't account for the ends of a suspect.
func (p PoolEnds) quiet() bool { return p.allowance() < suspectServerEnds }

// wave reports whether each server of the pool ended so often that no few items can be the cause.
func (p PoolEnds) wave(own int) bool { return p.Ended-own >= waveEnds*p.Running }

// alike reports whether the item's servers ended about as long after its runs began as one another, as those of an item do that is the cause.
func (e ServerEnds) alike() bool {
	return e.Shortest > 0 && e.Longest <= time.Duration(maxAgeRatio*float64(e.Shortest))
}

// MayRunAgain reports whether an item over the limit may have another run.
//
// From the second end on, runs are short unless chance accounts for the ends. A server that ends nevertheless, although the run was cut off or without
// progress, ends as under an item that is the cause. One that ends before the limit of a short run doesn't.
func (e ServerEnds) MayRunAgain(pool PoolEnds) bool {
	item, reward := e.Uncleared()
	early := maxEarlyEnds
	if !pool.quiet() {
		early = max(early+1, pool.allowance())
	}
	ends := item - min(e.Early, early)
	switch {
	case reward >= MaxServerEnds:
		return false
	case ends < MaxServerEnds:
		return true
	case e.Stalled > maxStalledEnds || item >= maxKnownServers:
		return false
	case e.Stalled == maxStalledEnds:
		return pool.perServer() >= 1 && ends <= pool.allowance()
	case e.alike():
		return pool.perServer() >= waveEnds && ends <= pool.allowance()
	case pool.wave(e.Item):
		return ends <= max(maxWaveEnds, pool.allowance())
	case pool.quiet():
		return false
	default:
		return ends <= max(MaxServerEnds, pool.allowance())
	}
}

// RunLimit bounds a run of a suspect: it is ended before any run that made progress ended its server, but not before its first event. The zero
// value doesn't bound it.
type RunLimit struct {
	Events int
	Time   time.Duration
}

// RunLimit returns the bounds of the next run.
func (e ServerEnds) RunLimit(pool PoolEnds) RunLimit {
	item, _ := e.Uncleared()
	if item < suspectServerEnds || e.Least == 0 || item < MaxServerEnds && !pool.quiet() && !e.alike() {
		return RunLimit{}
	}
	return e.shortRun()
}

func (e ServerEnds) shortRun() RunLimit {
	return RunLimit{Events: max(1, e.Least/2), Time: e.Shortest / 2}
}

// WatchTime returns from when and until when after its beginning a short run's server is watched for an end, although the run was cut off.
func (e ServerEnds) WatchTime(pool PoolEnds) (from, until time.Duration) {
	switch {
	case e.Longest == 0:
		return 0, defaultWatchTime
	case pool.quiet():
		return 0, min(maxWatchTime, max(minWatchTime, e.Longest+e.Longest/2))
	default:
		return time.Duration(float64(e.Shortest) / maxAgeRatio), min(maxWatchTime, time.Duration(maxAgeRatio*float64(e.Longest)))
	}
}

// SurvivedAfter returns the number of events after which a run shows that the item isn't what ended the servers before; 0 if none ended.
func (e ServerEnds) SurvivedAfter() int {
	if item, _ := e.Uncleared(); item == 0 {
		return 0
	}
	return 2*e.Most + minSurvivedEvents
}

// stalledOut reports whether the item is over the limit and its last runs ended their servers without progress, as those of an item do that
// ends its servers.
func (e ServerEnds) stalledOut() bool {
	item, reward := e.Uncleared()
	return item >= MaxServerEnds && e.Stalled >= maxStalledEnds || reward >= MaxServerEnds
}

// strength returns how strongly the ends point to the item as their cause.
func (e ServerEnds) strength() int {
	switch {
	case e.stalledOut():
		return 2
	case e.alike():
		return 1
	default:
		return 0
	}
}

// spread returns the ratio of the times after which the item's servers ended.
func (e ServerEnds) spread() float64 { return float64(e.Longest) / float64(max(1, e.Shortest)) }

// likelyCauses returns the servers, as a set, that ended under suspects which are likely the cause: their servers ended without progress or after like
// times, and two or more of these ends have no other likely cause.
func likelyCauses(suspects map[string]ServerEnds) map[EndID]bool {
	var candidates []string
	for item, ends := range suspects {
		if ends.strength() > 0 {
			candidates = append(candidates, item)
		}
	}
	slices.Sort(candidates)
	causes := map[EndID]bool{}
	for len(candidates) > 0 {
		next := strongest(candidates, suspects, causes)
		candidates = slices.DeleteFunc(candidates, func(item string) bool { return item == next })
		if suspects[next].unexplainedBy(causes) < suspectServerEnds {
			continue
		}
		for _, id := range suspects[next].Servers {
			causes[id.Server()] = true
		}
	}
	return causes
}

// strongest returns the candidate whose ends point most strongly to it as the cause of those that have none yet.
func strongest(candidates []string, known map[string]ServerEnds, causes map[EndID]bool) string {
	return slices.MaxFunc(candidates, func(a, b string) int {
		x, y := known[a], known[b]
		return cmp.Or(
			cmp.Compare(x.strength(), y.strength()), cmp.Compare(x.unexplainedBy(causes), y.unexplainedBy(causes)),
			cmp.Compare(x.Stalled, y.Stalled), cmp.Compare(y.spread(), x.spread()), cmp.Compare(b, a),
		)
	})
}

// ExplainedByOthers returns the items over the limit of which each end is also one of another item that ended more servers, or more of them
// without progress; those that made most progress come first.
func ExplainedByOthers(known map[string]ServerEnds) []string {
	var candidates, explained []string
	for item, ends := range known {
		if ends.OverLimit() {
			candidates = append(candidates, item)
		}
	}
	slices.Sort(candidates)
	causes := map[EndID]bool{}
	for len(candidates) > 0 {
		next := strongest(candidates, known, causes)
		candidates = slices.DeleteFunc(candidates, func(item string) bool { return item == next })
		ends := known[next]
		if item, _ := ends.Uncleared(); ends.unexplainedBy(causes) == 0 && ends.Servers[MaxServerEnds-1] != 0 && item <= MaxServerEnds {
			explained = append(explained, next)
			continue
		}
		for _, id := range known[next].Servers {
			causes[id.Server()] = true
		}
	}
	slices.SortFunc(explained, func(a, b string) int {
		x, y := known[a], known[b]
		return cmp.Or(cmp.Compare(x.Stalled, y.Stalled), cmp.Compare(y.Reached, x.Reached), cmp.Compare(a, b))
	})
	return explained
}

// unexplainedBy returns how many of the known ended servers are not among the given ones.
func (e ServerEnds) unexplainedBy(causes map[EndID]bool) int {
	count := 0
	for _, id := range e.Servers {
		if id != 0 && !causes[id.Server()] {
			count++
		}
	}
	return count
}
