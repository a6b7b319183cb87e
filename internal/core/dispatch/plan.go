package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// moveCost is the time that a move takes: the prompt and the text so far are processed again.
	moveCost = 30 * time.Millisecond
	// minMoveGain and minMoveShare are by how much earlier an item must be expected to end elsewhere to move, as a time and as a share of
	// the time that it still takes. Estimates of lengths and speeds are less exact than that.
	minMoveGain  = 300 * time.Millisecond
	minMoveShare = 0.25
	// slowPeriodLeft is how much longer a server that is slow at the moment is expected to stay so. On shared hosts such periods last for
	// half a second or more.
	slowPeriodLeft = 300 * time.Millisecond
	// typicalEvents is the number of events by which slots are ordered if a server is slow at the moment.
	typicalEvents = 30
	// crowding: each item that is assigned to a server makes the others there slower, by this part of their time. With all of some seven slots
	// in use, an event takes up to a fifth longer than with one. Without it one of several equal servers would be filled while others are idle.
	crowding = 33
	// crossZone: a server in another availability zone is chosen if it is faster by more than this part. Traffic between zones costs money,
	// which outweighs a twentieth of the time, as in the choice by load.
	crossZone = 20
)

// Slot is a server with free slots.
type Slot struct {
	Server string
	Free   int
	// Interval is the expected time between events of another request there.
	Interval time.Duration
	// Present is how many times as long as usual work takes there at the moment; values below 1 count as 1.
	Present float64
	// OtherZone is set if the server is in another availability zone than the entry.
	OtherZone bool

	// assigned is what the plan has assigned to the server.
	assigned assigned
}

// delay returns how much later an item ends there because of what slows the server down at the moment.
func (s *Slot) delay() time.Duration {
	if s.Present <= 1 {
		return 0
	}
	return time.Duration(float64(slowPeriodLeft) * (1 - 1/s.Present))
}

// cost returns the time that an item of typical length takes there, and a little more for traffic between zones.
func (s *Slot) cost() time.Duration {
	cost := typicalEvents*s.Interval + s.delay()
	if s.OtherZone {
		cost += cost / crossZone
	}
	return cost
}

// Action starts an item at a server, or moves a running one there.
type Action struct {
	Item string
	// From is where the item runs; empty if it waits.
	From string
	To   string
	// Remaining is the expected number of events still to come.
	Remaining float64
	// IntervalFrom and IntervalTo are the expected times between events at both servers; IntervalFrom is 0 if the item waits.
	IntervalFrom, IntervalTo time.Duration
}

// Plan assigns free slots, the fastest first. Each goes to the waiting or running item that gains most by it, of those that may run there. An
// item gets at most one slot. A slot that a move frees isn't assigned: the source's connection must end first. The ranking isn't changed.
func Plan(r Ranking, slots []Slot) []Action {
	slots = slices.Clone(slots)
	waiting := slices.Clone(r.waiting)
	moved := make([]bool, len(r.running))
	var actions []Action
	for {
		slot := cheapest(slots)
		if slot == nil {
			return actions
		}
		best := r.bestMove(slot, moved)
		next := slices.IndexFunc(waiting, func(item *rankedItem) bool { return r.mayRunAt(item, slot) })
		switch {
		case best >= 0 && (next < 0 || r.prefersMove(r.running[best], waiting[next], slot)):
			moved[best] = true
			actions = append(actions, r.assign(r.running[best], slot))
		case next >= 0:
			actions = append(actions, r.assign(waiting[next], slot))
			waiting = slices.Delete(waiting, next, next+1)
		default:
			// Slots are ordered by the time of an item of typical length. The next one may be worth a move to an item with more left to do, if
			// this one is in a slow period, and items that may not run here may run there.
			slot.Free = 0
		}
	}
}

// mayRunAt reports whether the item may run at the server, beside what the plan has assigned to it.
func (r *Ranking) mayRunAt(item *rankedItem, slot *Slot) bool {
	return r.restrictions.allow(item.ID, slot.Server, slot.assigned)
}

// assign assigns a slot of the server to the item.
func (r *Ranking) assign(item *rankedItem, slot *Slot) Action {
	action := newAction(item, slot)
	slot.Free--
	slot.Interval += slot.Interval / crowding
	slot.assigned.items++
	if _, suspect := r.restrictions.suspects[item.ID]; suspect {
		slot.assigned.suspects++
	}
	return action
}

// cheapest returns the server with a free slot where an item ends first, of equal ones that with the most free slots; nil if there is none.
func cheapest(slots []Slot) *Slot {
	var best *Slot
	for i := range slots {
		slot := &slots[i]
		if slot.Free > 0 && (best == nil || slot.before(best)) {
			best = slot
		}
	}
	return best
}

func (s *Slot) before(other *Slot) bool {
	return cmp.Or(cmp.Compare(s.cost(), other.cost()), cmp.Compare(other.Free, s.Free), cmp.Compare(s.Server, other.Server)) < 0
}

func newAction(item *rankedItem, slot *Slot) Action {
	return Action{
		Item: item.ID, From: item.Server, To: slot.Server, Remaining: item.Remaining.Mean,
		IntervalFrom: item.Interval, IntervalTo: slot.Interval,
	}
}

// bestMove returns the index of the running item that gains most by the slot; -1 if none gains enough.
func (r *Ranking) bestMove(slot *Slot, moved []bool) int {
	best := -1
	var bestGain time.Duration
	for i := range r.running {
		item := r.running[i]
		gain := item.moveGain(slot)
		if moved[i] || gain == 0 || item.Server == slot.Server || !r.mayRunAt(item, slot) {
			continue
		}
		if best < 0 || item.movesBefore(r.running[best], float64(gain), float64(bestGain)) {
			best, bestGain = i, gain
		}
	}
	return best
}

// movesBefore reports whether the item should rather move than the other one. If both gain about as much, the group with the fewest
// unfinished items decides.
func (i *rankedItem) movesBefore(other *rankedItem, gain, otherGain float64) bool {
	switch {
	case i.urgency != other.urgency:
		return i.urgency < other.urgency
	case gain > otherGain*similar || gain*similar < otherGain || i.GroupUnfinished == other.GroupUnfinished:
		return gain > otherGain
	default:
		return i.GroupUnfinished < other.GroupUnfinished
	}
}

// moveGain returns how much earlier the item ends if it moves to the slot; 0 if that is too little for a move.
func (i *Item) moveGain(slot *Slot) time.Duration {
	left := i.left(i.Interval)
	gain := left - i.left(slot.Interval) - slot.delay() - moveCost
	if gain < max(minMoveGain, time.Duration(minMoveShare*float64(left))) {
		return 0
	}
	return gain
}

// prefersMove reports whether the slot is worth more to the running item than to the waiting one, which then gets the slot that the move
// frees. The two have the same difference of speed to gain from, so that the one with more left to do gains more.
func (r *Ranking) prefersMove(running, waiting *rankedItem, slot *Slot) bool {
	if running.urgency != waiting.urgency {
		return running.urgency < waiting.urgency
	}
	gained := (running.Remaining.Mean - waiting.Remaining.Mean) * float64(running.Interval-slot.Interval)
	return gained > float64(moveCost)
}
