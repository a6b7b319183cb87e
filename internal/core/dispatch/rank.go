package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/length"
)

const (
	// maxMoves is how often one item may move to a faster server. Each move processes its prompt and text again.
	maxMoves = 3
	// minSamples is how many finished items an estimate must be based on before it moves an item.
	minSamples = 12
	// minMoveEvents is how many events a running item must have left to move.
	minMoveEvents = 5
	// maxMoveCandidates bounds the running items that a plan considers; servers rarely have more free slots at once.
	maxMoveCandidates = 32
	// similar is the ratio of remaining work within which items count as equal, so that the state of their groups decides between them.
	similar = 1.25
)

// Item is an item that waits or runs.
type Item struct {
	ID    string
	Group string
	// GroupUnfinished is the number of items of the group without a result.
	GroupUnfinished int
	// Server is where the item runs; empty if it waits.
	Server string
	// Interval is the expected time between events at that server, all its requests considered; 0 if it waits or nothing is known.
	Interval time.Duration
	// Produced is the number of events received so far, Remaining what is expected to come.
	Produced  int
	Remaining length.Remaining
	// Moves is how often the item has moved to a faster server.
	Moves int
}

// left returns the time that the item still takes at the interval.
func (i *Item) left(interval time.Duration) time.Duration {
	return time.Duration(i.Remaining.Mean * float64(interval))
}

// State is a job as Rank considers it.
type State struct {
	Now time.Time
	// Due is when the results are due.
	Due time.Time
	// Waiting are the items that wait, in the order of their queue; Running are those that run.
	Waiting, Running []Item
	// Groups is the number of groups of the job, Complete how many of them are complete, and Wanted how many the trainer waits for; 0 if
	// it waits for all.
	Groups, Complete, Wanted int
	// Fastest and Usual are the expected times between events at the fastest server that may run the items, and at the median one.
	Fastest, Usual time.Duration
}

// urgency is how much a group matters.
type urgency uint8

const (
	// urgencyWanted: the trainer waits for the group.
	urgencyWanted urgency = iota
	// urgencySpare: the trainer doesn't wait for the group, which has the most left to do, and too many groups are expected to be late.
	urgencySpare
	// urgencyLate: the group can't be complete by the due time.
	urgencyLate
)

// rankedItem is an item with what decides its order.
type rankedItem struct {
	Item
	urgency urgency
	// size is the magnitude of the remaining work, position the place in the queue.
	size, position int
}

// Ranking is the order in which the items of a job get slots.
type Ranking struct {
	// waiting are the items to start, in order.
	waiting []*rankedItem
	// running are the items that may move, those with the longest time left first.
	running []*rankedItem
	// restrictions say where items may not run.
	restrictions Restrictions
}

// Rank orders the items of a job.
func Rank(s State) Ranking {
	urgencies := s.urgencies()
	var r Ranking
	items := make([]rankedItem, 0, len(s.Waiting)+len(s.Running))
	add := func(item *Item) *rankedItem {
		items = append(items, rankedItem{Item: *item, urgency: urgencies[item.Group], size: magnitude(item.Remaining.Mean), position: len(items)})
		return &items[len(items)-1]
	}
	for i := range s.Waiting {
		r.waiting = append(r.waiting, add(&s.Waiting[i]))
	}
	slices.SortFunc(r.waiting, compareWaiting)
	for i := range s.Running {
		if s.Running[i].movable() {
			r.running = append(r.running, add(&s.Running[i]))
		}
	}
	slices.SortFunc(r.running, func(a, b *rankedItem) int {
		return cmp.Or(
			cmp.Compare(a.urgency, b.urgency), cmp.Compare(b.left(b.Interval), a.left(a.Interval)), cmp.Compare(a.position, b.position),
		)
	})
	r.running = r.running[:min(len(r.running), maxMoveCandidates)]
	return r
}

// movable reports whether the item may move at all.
func (i *Item) movable() bool {
	return i.Interval > 0 && i.Moves < maxMoves && i.Remaining.Samples >= minSamples && i.Remaining.Mean >= minMoveEvents
}

// compareWaiting orders waiting items. Those with output come first: that work is lost if their step ends before they do.
func compareWaiting(a, b *rankedItem) int {
	switch {
	case a.urgency != b.urgency:
		return cmp.Compare(a.urgency, b.urgency)
	case min(a.Produced, 1) != min(b.Produced, 1):
		return cmp.Compare(b.Produced, a.Produced)
	case a.size != b.size:
		return cmp.Compare(b.size, a.size)
	case a.GroupUnfinished != b.GroupUnfinished:
		return cmp.Compare(a.GroupUnfinished, b.GroupUnfinished)
	default:
		return cmp.Compare(a.position, b.position)
	}
}

// magnitude is equal for values that are similar.
func magnitude(value float64) int {
	return int(math.Log(max(1, value)) / math.Log(similar))
}

// groupWork is what is left of a group.
type groupWork struct {
	group string
	// longest is the time that its longest item takes where it runs, or on a usual server; shortest is the same on the fastest server.
	longest, shortest time.Duration
}

// urgencies returns the urgency of each group with waiting or running items.
func (s *State) urgencies() map[string]urgency {
	works := s.groupWorks()
	urgencies := make(map[string]urgency, len(works))
	left := s.Due.Sub(s.Now)
	if left <= 0 {
		// All groups are late, and none yields to another.
		return urgencies
	}
	slices.SortFunc(works, func(a, b groupWork) int {
		return cmp.Or(cmp.Compare(b.shortest, a.shortest), cmp.Compare(b.longest, a.longest), cmp.Compare(a.group, b.group))
	})
	spare := s.spare(works, left)
	for i, work := range works {
		switch {
		case work.shortest > left:
			urgencies[work.group] = urgencyLate
		case i < spare:
			urgencies[work.group] = urgencySpare
		default:
			urgencies[work.group] = urgencyWanted
		}
	}
	return urgencies
}

// spare returns how many groups yield to the others: as many as the trainer doesn't wait for, if more than these are expected to be late.
// Otherwise the trainer gets the groups that it waits for, and the spare ones need not be late either.
func (s *State) spare(works []groupWork, left time.Duration) int {
	if s.Wanted <= 0 || s.Complete >= s.Wanted {
		return 0
	}
	late := 0
	for _, work := range works {
		if work.longest > left {
			late++
		}
	}
	if spare := s.Groups - s.Wanted; late > spare {
		return spare
	}
	return 0
}

func (s *State) groupWorks() []groupWork {
	index := map[string]int{}
	var works []groupWork
	for _, items := range [][]Item{s.Waiting, s.Running} {
		for i := range items {
			item := &items[i]
			at, ok := index[item.Group]
			if !ok {
				at = len(works)
				index[item.Group] = at
				works = append(works, groupWork{group: item.Group})
			}
			interval := item.Interval
			if interval <= 0 {
				interval = s.Usual
			}
			work := &works[at]
			work.longest = max(work.longest, item.left(interval))
			work.shortest = max(work.shortest, item.left(min(interval, max(s.Fastest, 1))))
		}
	}
	return works
}

// Retain removes waiting items that no longer wait, and running ones that no longer run where they did, by what the functions return.
func (r *Ranking) Retain(waits func(item string) bool, runs func(item, server string) bool) {
	r.waiting = slices.DeleteFunc(r.waiting, func(item *rankedItem) bool { return !waits(item.ID) })
	r.running = slices.DeleteFunc(r.running, func(item *rankedItem) bool { return !runs(item.ID, item.Server) })
}

// DropRunning removes a running item that couldn't move.
func (r *Ranking) DropRunning(id string) {
	r.running = slices.DeleteFunc(r.running, func(item *rankedItem) bool { return item.ID == id })
}
