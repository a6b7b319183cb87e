package batch

import (
	"slices"
	"time"
)

const (
	// MaxServerEnds is how many servers may end under an item, or under its reward call, before it is withheld. Ends that the other ends in
	// the pool explain don't count. A withheld item is sent to no other server until it is due for an isolated run, and is lost once the time of
	// its job is up.
	MaxServerEnds = 3
	// suspectServerEnds is the number of ended servers from which an item is a suspect. Suspects don't share a server unless they have waited
	// for suspectWait, so that the last end before an item is withheld usually has one possible cause.
	suspectServerEnds = MaxServerEnds - 1
	// maxChanceEnds bounds how many ends of an item other ends in the pool may explain. Several items that each end their servers would
	// otherwise explain one another without a limit.
	maxChanceEnds = 9
)

const (
	// likelySoundDelay is how long after its last end a withheld item waits for an isolated run if its ends look like chance. Trainers wait
	// for it. It doubles from the second isolated run on under which the server ended.
	likelySoundDelay = 2 * time.Second
	// retryDelay is that time for any other item. It doubles with each isolated run under which the server ended.
	retryDelay    = 30 * time.Second
	maxRetryDelay = 5 * time.Minute
	// idleServerWait is how long an item that is due for an isolated run waits for a server that runs nothing else, before it takes one that
	// runs no other suspect.
	idleServerWait = time.Second
	// suspectWait is how long a suspect waits for a server that runs no other one. Where a small pool has lost servers, most items may be suspects,
	// and others run for up to ten seconds. An item may be at no server for five seconds, those of an interruption included.
	suspectWait = 2500 * time.Millisecond
)

// ServerEnds counts the servers that ended while they ran an item or its reward call.
//
// The count doesn't tell an item that ends its servers from a sound one whose servers happened to end. What does is kept with it: how
// many other servers of the pool ended at that time, whether the runs made progress, and whether the item has completed since.
type ServerEnds struct {
	Item   int `msgpack:"i"`
	Reward int `msgpack:"r"`
	// ItemExplained and RewardExplained are how many of these ends don't count: those that the other ends in the pool explain, or all of
	// them once a run has completed.
	ItemExplained   int `msgpack:"x,omitempty"`
	RewardExplained int `msgpack:"y,omitempty"`
	// Stalled is how many of the item's ends came before its run brought an event.
	Stalled int `msgpack:"s,omitempty"`
	// Age is the time since the last end. It is set only in heartbeats.
	Age time.Duration `msgpack:"a,omitempty"`
}

// Merge returns the higher counts of both. The counts of two entries may include the same server.
func (e ServerEnds) Merge(other ServerEnds) ServerEnds {
	return ServerEnds{
		Item:            max(e.Item, other.Item),
		Reward:          max(e.Reward, other.Reward),
		ItemExplained:   max(e.ItemExplained, other.ItemExplained),
		RewardExplained: max(e.RewardExplained, other.RewardExplained),
		Stalled:         max(e.Stalled, other.Stalled),
	}
}

// Unexplained returns how many servers ended under the item and its reward call without another explanation.
func (e ServerEnds) Unexplained() (item, reward int) {
	return max(0, e.Item-e.ItemExplained), max(0, e.Reward-e.RewardExplained)
}

// Suspect reports whether an item with these counts may be what ends the servers.
func (e ServerEnds) Suspect() bool { return e.mostUnexplained() >= suspectServerEnds }

// OverLimit reports whether the item or its reward call may only have isolated runs, the next one when RetryDelay has passed.
func (e ServerEnds) OverLimit() bool { return e.mostUnexplained() >= MaxServerEnds }

// WorthSharing reports whether other entries need to know the counts: of a suspect, or of an item that was one.
func (e ServerEnds) WorthSharing() bool { return max(e.Item, e.Reward) >= suspectServerEnds }

// TotalUnexplained returns how many servers ended under the item or its reward call without another explanation.
func (e ServerEnds) TotalUnexplained() int {
	item, reward := e.Unexplained()
	return item + reward
}

func (e ServerEnds) mostUnexplained() int {
	item, reward := e.Unexplained()
	return max(item, reward)
}

// RetryDelay returns how long after the last end an item over the limit waits for an isolated run.
//
// An item that ends its servers by its input does so before its first event, also when it resumes where it ended the last one. If most runs
// made progress before their servers ended, isolated runs come early. The first one also does if other servers of the pool ended too.
func (e ServerEnds) RetryDelay() time.Duration {
	isolatedRuns := max(0, e.mostUnexplained()-MaxServerEnds)
	switch {
	case e.madeProgress():
		return doubled(likelySoundDelay, isolatedRuns-1)
	case isolatedRuns == 0 && e.otherServersEnded():
		return likelySoundDelay
	default:
		return doubled(retryDelay, isolatedRuns)
	}
}

// doubled returns the delay after it was doubled that many times, at most maxRetryDelay.
func doubled(delay time.Duration, times int) time.Duration {
	for range times {
		delay = min(2*delay, maxRetryDelay)
	}
	return delay
}

// madeProgress reports whether the item is over the limit and most of its runs brought events before their servers ended. It isn't known of
// reward calls.
func (e ServerEnds) madeProgress() bool {
	item, _ := e.Unexplained()
	return item >= MaxServerEnds && 2*e.Stalled < e.Item
}

// otherServersEnded reports whether other servers of the pool ended while those did that put the item over the limit.
func (e ServerEnds) otherServersEnded() bool {
	if item, _ := e.Unexplained(); item >= MaxServerEnds {
		return e.ItemExplained > 0
	}
	return e.RewardExplained > 0
}

// ExplainedByChance returns how many of the ends under an item those of other servers explain: as many as a server of the pool is expected to
// have had at that time. Ended counts all ends in the pool, own those under the item, and running the servers of the pool that run.
func ExplainedByChance(ended, own, running int) int {
	others := max(0, ended-own)
	rest := max(1, running-1)
	return min((others+rest-1)/rest, own, maxChanceEnds)
}

// RecordServerEnd records that a server ended while it ran the item. At the limit, an item that waits is withheld at once, and one that runs
// when it would wait again.
func (p *Progress) RecordServerEnd(id string) {
	p.updateServerEnds(id, func(ends *ServerEnds) { ends.Item++ })
}

// RecordStalledServerEnd records that a server ended while it ran the item, before the run brought an event.
func (p *Progress) RecordStalledServerEnd(id string) {
	p.updateServerEnds(id, func(ends *ServerEnds) {
		ends.Item++
		ends.Stalled++
	})
}

// RecordRewardServerEnd records that a server ended while it ran the item's reward call.
func (p *Progress) RecordRewardServerEnd(id string) {
	p.updateServerEnds(id, func(ends *ServerEnds) { ends.Reward++ })
}

// MergeServerEnds applies what is known of items from other jobs and other entries.
func (p *Progress) MergeServerEnds(known func(item string) ServerEnds) {
	for id := range p.items {
		p.MergeItemServerEnds(id, known(id))
	}
}

// MergeItemServerEnds applies what is known of one item. A withheld item waits again if its ends are explained by now.
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
	item, reward := s.ends.Unexplained()
	if s.textComplete() {
		return reward >= MaxServerEnds && s.ends.Reward > s.releasedEnds.Reward
	}
	return item >= MaxServerEnds && s.ends.Item > s.releasedEnds.Item
}
