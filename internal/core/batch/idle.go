package batch

import (
	"cmp"
	"slices"
	"time"
)

// IdleState says why an item without its complete text is at no server.
type IdleState string

// Values of IdleState.
const (
	// IdleWaiting: the item waits for a server.
	IdleWaiting IdleState = "waiting"
	// IdleWithheld: servers ended under the item, and it is sent to none for now.
	IdleWithheld IdleState = "withheld"
	// IdleMoving: a run has ended, and the item is about to start at the server that it moves to.
	IdleMoving IdleState = "moving"
	// IdleProbing: a run has ended, and the server is being probed.
	IdleProbing IdleState = "probing"
	// IdlePaused: a run has ended, and the item waits for a moment before it is queued again.
	IdlePaused IdleState = "paused"
)

// idleRecord is what is known of the time that an item has been at no server.
type idleRecord struct {
	state IdleState
	// since is when the item was first seen at no server, stateSince when it was first seen in its state.
	since, stateSince time.Time
	// starts is the number of starts of the item at the last observation.
	starts int
}

// IdleItem is an unfinished item that is at no server.
type IdleItem struct {
	ID    string
	State IdleState
	// Since is when the item came to be at no server, StateSince when it came into its state.
	Since, StateSince time.Time
	// Starts is how often the item has been started in this process.
	Starts int
	// Suspect is set if the item may not run beside another suspect.
	Suspect bool
}

// ObserveIdle records which unfinished items are at no server now. Between reports why an item that counts as running isn't at a server; it
// returns false if it is at one.
func (p *Progress) ObserveIdle(now time.Time, between func(item string) (IdleState, bool)) {
	for _, state := range p.order {
		idle, ok := state.idleState(between)
		switch known := state.idle; {
		case !ok:
			state.idle = nil
		case known == nil || known.starts != state.starts:
			state.idle = &idleRecord{state: idle, since: now, stateSince: now, starts: state.starts}
		case known.state != idle:
			known.state, known.stateSince = idle, now
		}
	}
}

func (s *itemState) idleState(between func(item string) (IdleState, bool)) (IdleState, bool) {
	switch {
	case s.phase == phaseWaiting:
		return IdleWaiting, true
	case s.phase == phaseWithheld && !s.rewardWithheld:
		return IdleWithheld, true
	case s.phase == phaseRunning:
		return between(s.item.ID)
	default:
		return "", false
	}
}

// IdleItems returns the items that have been at no server for least or longer as of the last observation, those first that have been for
// longest.
func (p *Progress) IdleItems(now time.Time, least time.Duration) []IdleItem {
	var items []IdleItem
	for _, state := range p.order {
		if idle := state.idle; idle != nil && now.Sub(idle.since) >= least {
			items = append(items, IdleItem{
				ID: state.item.ID, State: idle.state, Since: idle.since, StateSince: idle.stateSince, Starts: idle.starts, Suspect: state.ends.Suspect(),
			})
		}
	}
	slices.SortStableFunc(items, func(a, b IdleItem) int { return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(b.Starts, a.Starts)) })
	return items
}

// Stopped forgets since when items have been at no server, as the job stops running in this process.
func (p *Progress) Stopped() {
	for _, state := range p.order {
		state.idle = nil
	}
}

// Phase reports whether an item is running or being scored, and whether it has a result.
func (p *Progress) Phase(id string) (running, finished bool) {
	state, ok := p.items[id]
	if !ok {
		return false, false
	}
	return state.phase == phaseRunning || state.phase == phaseScoring, !state.unfinished()
}
