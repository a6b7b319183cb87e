package batch

import "slices"

// Figures of the copies of unfinished output.
const (
	// copyEvents is how many events must have come since the last copy of an item's output for another one, or half of what that copy
	// held if that is more: all copies of an item together are then at most three times its text.
	copyEvents = 15
	copyPart   = 2
)

// Partials returns what was received of all items that have no result yet.
func (p *Progress) Partials() []Partial {
	return p.partials(func(state *itemState) bool { return state.output.Last > 0 || state.failed() > 0 })
}

// grown says that enough is known of the item beyond its last copy for another one.
func (s *itemState) grown() bool {
	more := !s.textWhole() && s.output.Last >= s.copied+max(copyEvents, s.copied/copyPart)
	return more || s.failed() > s.copiedFailures
}

// copyDue says that some item is worth another copy.
func (p *Progress) copyDue() bool {
	for _, state := range p.items {
		if state.unfinished() && state.grown() {
			return true
		}
	}
	return false
}

// copies returns what is known of the items that are worth another copy, as far as their text stays below maxBytes, and takes it for copied.
//
// Guard: all entries lose power while the long items of a step are in their fourth second. Begun anew they end after the step's deadline, and
// its trainer, who waits for them, is late with all that follows.
func (p *Progress) copies(maxBytes int) []Partial {
	var copies []Partial
	size := 0
	for _, each := range p.partials((*itemState).grown) {
		if size += len(each.Text) + resultOverhead; size > maxBytes {
			break
		}
		state := p.items[each.Item]
		state.copied, state.copiedFailures = each.Last, state.failed()
		copies = append(copies, each)
	}
	return copies
}

func (p *Progress) partials(wanted func(*itemState) bool) []Partial {
	var partials []Partial
	for i := range p.job.Items {
		state := p.items[p.job.Items[i].ID]
		if state.unfinished() && wanted(state) {
			partials = append(partials, state.partial())
		}
	}
	return partials
}

// Resume takes in what another entry had received of items that wait here, as far as the job may use it and it is more than is known.
func (p *Progress) Resume(partials []Partial) {
	for _, each := range partials {
		state, known := p.items[each.Item]
		if !known || state.phase != phaseWaiting {
			continue
		}
		state.failures = max(state.failures, each.Failures)
		state.rewardFailures = max(state.rewardFailures, each.RewardFailures)
		if each.Last <= state.output.Last {
			continue
		}
		output := outputOf(each)
		if !output.Fits(p.job.MinVersion, p.job.SingleVersion) || slices.Contains(output.Versions, 0) {
			continue
		}
		state.output = output
		if each.Whole && state.item.Reward != nil {
			p.queueReward(state)
		}
	}
}

// partial returns what is known of an item that has no result.
func (s *itemState) partial() Partial {
	return Partial{
		Item:           s.item.ID,
		Last:           s.output.Last,
		Versions:       slices.Clone(s.output.Versions),
		Text:           s.output.Text(),
		Whole:          s.textWhole(),
		Failures:       s.failures,
		RewardFailures: s.rewardFailures,
	}
}
