package batch

import (
	"slices"
	"time"
)

const (
	// MaxServerEnds is how many servers may end under an item, or under its reward call, before it is withheld. A withheld item is sent to no
	// other server unless MayRunAgain permits it, and is lost once the time of its job is up.
	MaxServerEnds = 3
	// suspectServerEnds is the number of ended servers from which an item is a suspect. Suspects don't share a server unless they have waited
	// for suspectWait, so that the last end before an item is withheld usually has one possible cause.
	suspectServerEnds = MaxServerEnds - 1
)

const (
	// idleServerWait is how long an item that is released waits for a server that runs nothing else, before it takes one that runs no other
	// suspect.
	idleServerWait = time.Second
	// suspectWait is how long a suspect waits for a server that runs no other one. Where a small pool has lost servers, most items may be suspects,
	// and others run for up to ten seconds. An item may be at no server for five seconds, those of an interruption included.
	suspectWait = 2500 * time.Millisecond
)

// RecordServerEnd records that a server ended while it ran the item or its reward call. At the limit, an item that waits is withheld at
// once, and one that runs when it would wait again.
func (p *Progress) RecordServerEnd(id string, run EndedRun) {
	p.updateServerEnds(id, func(ends *ServerEnds) { ends.add(run) })
}

// ClearServerEnds records that a run of the item or, if reward is set, its reward call survived, so that it isn't what ended the servers before.
func (p *Progress) ClearServerEnds(id string, reward bool) {
	p.updateServerEnds(id, func(ends *ServerEnds) { ends.Clear(reward) })
}

// RetractServerEnd takes back the end of a server under the item or, if reward is set, its reward call.
func (p *Progress) RetractServerEnd(id string, reward bool) {
	p.updateServerEnds(id, func(ends *ServerEnds) { ends.Retract(reward) })
}

// MergeServerEnds applies what is known of items from other jobs and other entries.
func (p *Progress) MergeServerEnds(known func(item string) ServerEnds) {
	for id := range p.items {
		p.MergeItemServerEnds(id, known(id))
	}
}

// MergeItemServerEnds applies what is known of one item. A withheld item waits again if a run of it has survived elsewhere.
func (p *Progress) MergeItemServerEnds(id string, known ServerEnds) {
	p.updateServerEnds(id, func(ends *ServerEnds) { *ends = ends.Merge(known) })
}

func (p *Progress) updateServerEnds(id string, update func(ends *ServerEnds)) {
	state, ok := p.items[id]
	if !ok || !state.unfinished() {
		return
	}
	update(&state.ends)
	state.withholdIfWaiting()
	if state.phase == phaseWithheld && !state.overLimit() {
		p.release(state)
	}
}

// ServerEnds returns the counts of an item.
func (p *Progress) ServerEnds(id string) ServerEnds {
	if state, ok := p.items[id]; ok {
		return state.ends
	}
	return ServerEnds{}
}

// Suspect reports whether the item is a suspect.
func (p *Progress) Suspect(id string) bool { return p.ServerEnds(id).Suspect() }

// SuspectItems returns the suspects that wait to run or run, in their order of submission.
func (p *Progress) SuspectItems() []string {
	var ids []string
	for _, state := range p.order {
		if (state.phase == phaseWaiting || state.phase == phaseRunning) && state.ends.Suspect() {
			ids = append(ids, state.item.ID)
		}
	}
	return ids
}

// SetPendingServerEnds sets how many servers neither answer nor refuse connections at which runs of the item or, if reward is set, its reward
// call were interrupted. They count until it is known whether they have ended.
func (p *Progress) SetPendingServerEnds(id string, reward bool, count int) {
	p.updateServerEnds(id, func(*ServerEnds) {
		if reward {
			p.items[id].pendingRewardEnds = count
			return
		}
		p.items[id].pendingEnds = count
	})
}

// RewardAttempts returns how many servers the item's reward call may be sent to at once without exceeding the limit.
func (p *Progress) RewardAttempts(id string) int {
	state := p.items[id]
	_, reward := state.ends.Uncleared()
	return MaxServerEnds - reward - state.pendingRewardEnds
}

// AwaitsServerEnds reports whether it isn't known of all servers at which the item was interrupted whether they have ended.
func (p *Progress) AwaitsServerEnds(id string) bool {
	state, ok := p.items[id]
	return ok && state.pendingEnds+state.pendingRewardEnds > 0
}

// Withheld returns the number of items that are sent to no server.
func (p *Progress) Withheld() int { return p.count(phaseWithheld) }

// WithheldItems returns the items that are sent to no server, in their order of submission.
func (p *Progress) WithheldItems() []string {
	var ids []string
	for _, state := range p.order {
		if state.phase == phaseWithheld {
			ids = append(ids, state.item.ID)
		}
	}
	return ids
}

// IsWithheld reports whether the item is sent to no server.
func (p *Progress) IsWithheld(id string) bool {
	state, ok := p.items[id]
	return ok && state.phase == phaseWithheld
}

// ReleaseForIsolatedRun lets a withheld item wait for a server again, until another server ends under it. NeedsIdleServer tells where it may run.
func (p *Progress) ReleaseForIsolatedRun(now time.Time, id string) {
	state, ok := p.items[id]
	if !ok || state.phase != phaseWithheld {
		return
	}
	state.releasedAt = now
	// It has been at no server already, and doesn't wait for an idle server and another suspectWait.
	state.apartSince = now.Add(-idleServerWait)
	state.releasedEnds = state.ends
	p.release(state)
}

// KeepsApart reports whether the item may only be sent to a server that runs no suspect: it is one itself, and less than suspectWait has passed
// since it was first asked for after its last run.
func (p *Progress) KeepsApart(now time.Time, id string) bool {
	state, ok := p.items[id]
	if !ok || !state.ends.Suspect() {
		return false
	}
	if state.phase != phaseWaiting {
		return true
	}
	state.startSuspectWait(now)
	return now.Sub(state.apartSince) < suspectWait
}

// ReviewWithheld returns the items that are sent to no server. The time from the first review on counts as wait of a suspect if their ends are
// explained later.
func (p *Progress) ReviewWithheld(now time.Time) []string {
	items := p.WithheldItems()
	for _, id := range items {
		p.items[id].startSuspectWait(now)
	}
	return items
}

// startSuspectWait records since when the item has waited to run, unless that is known.
func (s *itemState) startSuspectWait(now time.Time) {
	if s.apartSince.IsZero() {
		s.apartSince = now
	}
}

// NeedsIdleServer reports whether the item may only be sent to a server that runs nothing else.
func (p *Progress) NeedsIdleServer(now time.Time, id string) bool {
	state, ok := p.items[id]
	return ok && state.ends.OverLimit() && now.Sub(state.releasedAt) < idleServerWait
}

// release queues a withheld item, or its reward call if the text is complete.
func (p *Progress) release(state *itemState) {
	if state.rewardWithheld {
		state.phase, state.rewardWithheld = phaseAwaitingScore, false
		p.rewardQueue = slices.Insert(p.rewardQueue, 0, state)
		return
	}
	state.phase = phaseWaiting
	p.queue = slices.Insert(slices.DeleteFunc(p.queue, func(other *itemState) bool { return other == state }), 0, state)
}

// withholdIfWaiting withholds the item if it waits to be sent and too many servers have ended under it.
func (s *itemState) withholdIfWaiting() {
	if (s.phase == phaseWaiting || s.phase == phaseAwaitingScore) && s.overLimit() {
		s.rewardWithheld = s.phase == phaseAwaitingScore
		s.phase = phaseWithheld
	}
}

// overLimit reports whether too many servers have ended under what the item would be sent for, and one of them since it was last released.
func (s *itemState) overLimit() bool {
	item, reward := s.ends.Uncleared()
	if s.textComplete() {
		return reward+s.pendingRewardEnds >= MaxServerEnds && s.ends.Reward+s.pendingRewardEnds > s.releasedEnds.Reward
	}
	return item+s.pendingEnds >= MaxServerEnds && s.ends.Item+s.pendingEnds > s.releasedEnds.Item
}
