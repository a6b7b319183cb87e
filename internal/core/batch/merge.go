package batch

import "time"

// Unwritten returns the results that no page holds yet, and the state of all other items that have output or failures. Another Progress of
// the same items takes them over with Merge.
func (p *Progress) Unwritten() ([]Result, []Partial) {
	var results []Result
	for i := range p.job.Items {
		if state := p.items[p.job.Items[i].ID]; state.phase == phaseDone {
			results = append(results, state.result)
		}
	}
	return results, p.Partials()
}

// Merge takes over the output of another run of the same items. An item that has no result yet gets the other run's if the job allows its
// weight versions; one that waits resumes from the other run's partial as with Resume. Results of lost items are not taken over, since
// the other run may have had other terms.
func (p *Progress) Merge(now time.Time, results []Result, partials []Partial) {
	for _, result := range results {
		state, known := p.items[result.ID]
		output := Output{Versions: result.Versions}
		if known && state.unfinished() && result.State == StateCompleted && output.VersionsAllowed(p.job.MinVersion, p.job.SingleVersion) {
			p.recordResult(now, state, result)
		}
	}
	p.Resume(partials)
}
