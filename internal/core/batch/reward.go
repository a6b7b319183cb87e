package batch

import (
	"slices"
	"time"
)

// queueReward queues an item whose text is complete for its reward call.
func (p *Progress) queueReward(state *itemState) {
	state.phase, state.rewardWithheld = phaseAwaitingScore, false
	state.withholdIfWaiting()
	p.rewardQueue = append(p.rewardQueue, state)
}

// NextReward returns the item whose reward call is to be sent next, without starting it, and how long that call has
// waited for a server. It returns false if none waits.
func (p *Progress) NextReward(now time.Time) (*Item, time.Duration, bool) {
	return p.NextRewardExcept(now, func(*RewardCall) bool { return false })
}

// NextRewardExcept is NextReward for the reward calls that aren't passed over; those keep their places.
func (p *Progress) NextRewardExcept(now time.Time, passedOver func(*RewardCall) bool) (*Item, time.Duration, bool) {
	if p.ended {
		return nil, 0, false
	}
	for len(p.rewardQueue) > 0 && p.rewardQueue[0].phase != phaseAwaitingScore {
		p.rewardQueue = p.rewardQueue[1:]
	}
	for _, next := range p.rewardQueue {
		if next.phase != phaseAwaitingScore || passedOver(next.item.Reward) {
			continue
		}
		if next.rewardWaitingSince.IsZero() {
			next.rewardWaitingSince = now
		}
		return next.item, now.Sub(next.rewardWaitingSince), true
	}
	return nil, 0, false
}

// StartReward marks an item as being scored and returns how often its reward call has failed so far.
func (p *Progress) StartReward(id string) int {
	state := p.items[id]
	state.phase = phaseScoring
	state.rewardWaitingSince = time.Time{}
	return state.rewardFailures
}

// RecordScore records the score of an item's text.
func (p *Progress) RecordScore(now time.Time, id, score string) {
	if state := p.items[id]; state.phase == phaseScoring {
		p.recordCompleted(now, state, score)
	}
}

// RecordRewardFailures records how often servers failed a reward call. The item is lost at once when its failures reach what its route
// allows, so that its group doesn't wait; otherwise its call waits for RequeueReward. As with RecordFailure, a page is due at once.
func (p *Progress) RecordRewardFailures(now time.Time, id string, failures, maxAttempts int) {
	state := p.items[id]
	if state.phase != phaseScoring || failures == 0 {
		return
	}
	state.rewardFailures += failures
	p.failureUnsaved = true
	if state.rewardFailures >= max(1, maxAttempts) {
		p.MarkFailed(now, id)
	}
}

// RequeueReward queues a reward call that brought no score again, before those of other items.
func (p *Progress) RequeueReward(id string) {
	state := p.items[id]
	if state.phase != phaseScoring {
		return
	}
	state.phase = phaseAwaitingScore
	state.withholdIfWaiting()
	p.rewardQueue = slices.Insert(p.rewardQueue, 0, state)
}

// AwaitingScore returns the number of items with a complete text and no score.
func (p *Progress) AwaitingScore() int { return p.count(phaseAwaitingScore) + p.count(phaseScoring) }
