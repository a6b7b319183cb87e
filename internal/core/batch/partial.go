package batch

import (
	"cmp"
	"slices"
	"time"
)

// Limits on checkpoints of unfinished output.
const (
	// A new checkpoint of an item needs minCheckpointEvents more events than its last one, or
	// 1/checkpointGrowthDivisor (half) of the events in that one if that is more. All checkpoints of an item together
	// are then at most three times its text.
	minCheckpointEvents     = 15
	checkpointGrowthDivisor = 2
)

// Partials returns the state of all items without a result that have output, failures or ended servers.
func (p *Progress) Partials() []Partial {
	return p.partials(func(state *itemState) bool { return state.output.LastEvent > 0 || state.totalFailures() > 0 })
}

// needsCheckpoint reports whether the item has enough new output, or a new failure, since its last checkpoint.
func (s *itemState) needsCheckpoint() bool {
	grown := !s.textComplete() && s.output.LastEvent >= s.checkpointEvent+max(minCheckpointEvents, s.checkpointEvent/checkpointGrowthDivisor)
	return grown || s.totalFailures() > s.checkpointFailures || s.failureUnsaved()
}

// checkpointDue reports whether any item needs a checkpoint.
func (p *Progress) checkpointDue() bool {
	for _, state := range p.items {
		if state.unfinished() && state.needsCheckpoint() {
			return true
		}
	}
	return false
}

// takeCheckpoints returns checkpoints of the items that need one, up to maxBytes of text, and marks them as taken.
//
// Without checkpoints, a power loss of all entries while the long items of a step are in their fourth second
// restarts these items from the beginning. They then end after the step's deadline, and the trainer that waits for
// them falls behind permanently: every later step is delayed as well.
func (p *Progress) takeCheckpoints(maxBytes int) []Partial {
	var checkpoints []Partial
	size := 0
	due := p.partials((*itemState).needsCheckpoint)
	slices.SortStableFunc(due, func(a, b Partial) int { return cmp.Compare(p.checkpointRank(a), p.checkpointRank(b)) })
	for _, partial := range due {
		if size += len(partial.Text) + resultOverhead; size > maxBytes {
			break
		}
		state := p.items[partial.Item]
		state.checkpointEvent, state.checkpointFailures, state.savedFailures = partial.LastEvent, state.totalFailures(), state.failureCount()
		checkpoints = append(checkpoints, partial)
	}
	return checkpoints
}

// checkpointRank puts checkpoints of failures that no page holds before the others.
func (p *Progress) checkpointRank(partial Partial) int {
	if p.items[partial.Item].failureUnsaved() {
		return 0
	}
	return 1
}

// partials returns the state of the unfinished items that the filter selects.
func (p *Progress) partials(selected func(*itemState) bool) []Partial {
	var partials []Partial
	for i := range p.job.Items {
		state := p.items[p.job.Items[i].ID]
		if state.unfinished() && selected(state) {
			partials = append(partials, state.partial())
		}
	}
	return partials
}

// HandoverPartials returns what the entry needs to know that takes the job over: Partials, and the items that servers have failed for good, which
// no page may hold yet.
func (p *Progress) HandoverPartials() []Partial {
	partials := p.Partials()
	for _, state := range p.order {
		if state.phase == phaseDone && state.failed {
			partials = append(partials, Partial{Item: state.item.ID, Failures: state.failures, RewardFailures: state.rewardFailures, Failed: true})
		}
	}
	return partials
}

// TakeOver applies the partials that a leaving entry sent with the job.
func (p *Progress) TakeOver(now time.Time, partials []Partial) {
	p.Resume(partials)
	for _, partial := range partials {
		if _, known := p.items[partial.Item]; known && partial.Failed {
			p.MarkFailed(now, partial.Item)
		}
	}
}

// Resume applies the partials of another entry to items that wait to run or are withheld. Output is used only if the job allows its
// weight versions and it is longer than what is known; failure counts always are.
func (p *Progress) Resume(partials []Partial) {
	for _, partial := range partials {
		state, known := p.items[partial.Item]
		if !known || !state.unfinished() {
			continue
		}
		state.failures = max(state.failures, partial.Failures)
		state.rewardFailures = max(state.rewardFailures, partial.RewardFailures)
		if state.textComplete() || state.phase != phaseWaiting && state.phase != phaseWithheld {
			continue
		}
		p.MergeItemServerEnds(partial.Item, partial.serverEnds())
		if partial.LastEvent <= state.output.LastEvent {
			continue
		}
		output := outputFromPartial(partial)
		if !output.VersionsAllowed(p.job.MinVersion, p.job.SingleVersion) || slices.Contains(output.Versions, 0) {
			continue
		}
		state.output = output
		if partial.TextComplete && state.item.Reward != nil {
			p.queueReward(state)
		}
	}
}

// partial returns the state of an item without a result.
func (s *itemState) partial() Partial {
	return Partial{
		Item:           s.item.ID,
		LastEvent:      s.output.LastEvent,
		Versions:       slices.Clone(s.output.Versions),
		Text:           s.output.Text(),
		TextComplete:   s.textComplete(),
		Failures:       s.failures,
		RewardFailures: s.rewardFailures,

		ServerEnds:              s.ends.Item,
		RewardServerEnds:        s.ends.Reward,
		ServerEndsCleared:       s.ends.ItemCleared,
		RewardServerEndsCleared: s.ends.RewardCleared,
		StalledServerEnds:       s.ends.Stalled,
		ServerEndProgress: EndProgress{
			Reached: s.ends.Reached, Least: s.ends.Least, Most: s.ends.Most, Shortest: s.ends.Shortest, Longest: s.ends.Longest, Early: s.ends.Early, Pool: s.ends.Pool,
		},
		EndedServers: s.ends.knownServers(),
	}
}
