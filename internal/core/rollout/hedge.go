package rollout

import (
	"cmp"
	"slices"
	"time"
)

// straggler is a slow sample and the time that a copy would save.
type straggler struct {
	sample    *sampleState
	timeSaved time.Duration
}

// Hedge returns the copies to start, those that save the most time first. It keeps one slow or stalled engine from
// determining the length of a step. It copies samples whose tokens arrive more slowly than those of others while
// their group, or their step, waits for little else. Each sample is copied at most twice, and the copies of a job
// together stay within a share of the job's work, so that copies can't overload the engines.
//
// The copy of a stalled sample isn't charged to that share. The stalled engine produces no tokens, so that the
// copy, which resumes from the known tokens, is the only work. If such copies were charged, the samples of one
// stalled engine would exhaust the share, and the step would wait forever for those that aren't copied.
func (p *Planner) Hedge(now time.Time) []Generation {
	if p.copyShare <= 0 {
		return nil
	}
	var copies []Generation
	for _, s := range p.stragglers(now) {
		job := s.sample.group.step.job
		if !job.stalled(now, s.sample) {
			cost := p.copyCost(s.sample)
			if job.copyTokens+cost > p.copyShare*job.primaryTokens {
				continue
			}
			job.copyTokens += cost
		}
		s.sample.copies++
		copies = append(copies, s.sample.generation(true))
	}
	return copies
}

// copyCost returns the expected number of tokens that a copy of the sample generates.
func (p *Planner) copyCost(sample *sampleState) float64 {
	if p.copiesFromScratch {
		return sample.expectedTokens()
	}
	return sample.remainingTokens()
}

// stragglers returns the slow samples of nearly finished groups and steps, those whose copy saves the most time
// first.
func (p *Planner) stragglers(now time.Time) []straggler {
	var found []straggler
	for _, sample := range p.samples {
		if sample.done || sample.running == 0 || sample.copies >= maxCopies || !sample.group.nearlyDone() {
			continue
		}
		if saved := sample.group.step.job.timeSaved(now, sample); saved > 0 {
			found = append(found, straggler{sample: sample, timeSaved: saved})
		}
	}
	slices.SortFunc(found, func(a, b straggler) int {
		return cmp.Or(cmp.Compare(b.timeSaved, a.timeSaved), cmp.Compare(a.sample.id, b.sample.id))
	})
	return found
}
