package batch

import (
	"slices"
	"time"
)

// queueReward makes an item whose text is whole wait for its reward call.
func (p *Progress) queueReward(state *itemState) {
	state.phase = phaseUnscored
	p.unscored = append(p.unscored, state)
}

// NextReward returns the item whose reward call is to be sent next, without starting it, and how long it has waited for a server; false if
// none waits.
func (p *Progress) NextReward(now time.Time) (*Item, time.Duration, bool) {
	if p.ended {
		return nil, 0, false
	}
	for len(p.unscored) > 0 {
		next := p.unscored[0]
		if next.phase != phaseUnscored {
			p.unscored = p.unscored[1:]
			continue
		}
		if next.rewardDue.IsZero() {
			next.rewardDue = now
		}
		return next.item, now.Sub(next.rewardDue), true
	}
	return nil, 0, false
}

// StartReward marks an item as being scored, and returns how often its reward call failed so far.
func (p *Progress) StartReward(id string) int {
	state := p.items[id]
	state.phase = phaseScoring
	state.rewardDue = time.Time{}
	return state.rewardFailures
}

// Scored takes in the score of an item's text.
func (p *Progress) Scored(now time.Time, id, score string) {
	if state := p.items[id]; state.phase == phaseScoring {
		p.completed(now, state, score)
	}
}

// Unscored takes in that a reward call ended without a score after so many failures. The item is lost at once when it failed as often as its
// route allows, so that its group doesn't wait; else the call goes out again before those of other items.
func (p *Progress) Unscored(now time.Time, id string, failures, maxAttempts int) {
	state := p.items[id]
	if state.phase != phaseScoring {
		return
	}
	state.rewardFailures += failures
	if failures > 0 && state.rewardFailures >= max(1, maxAttempts) {
		p.Lost(now, id)
		return
	}
	state.phase = phaseUnscored
	p.unscored = slices.Insert(p.unscored, 0, state)
}

// Scoring returns how many items have their whole text and no score.
func (p *Progress) Scoring() int { return p.count(phaseUnscored) + p.count(phaseScoring) }
