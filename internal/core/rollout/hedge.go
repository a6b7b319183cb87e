package rollout

import (
	"cmp"
	"slices"
	"time"
)

// straggler is a sample with the time that a copy would save.
type straggler struct {
	sample *sampleState
	gain   time.Duration
}

// Hedge returns the samples to start a second copy of, the greatest gain first. It guards against
// one slow or stalled engine deciding the length of a step: such a sample's tokens come slower than
// others' while its group waits for nothing else. Each sample is copied twice at most, and all copies of
// a job together stay within the share of its work, so copies can't become a load of their own.
//
// A stalled sample isn't charged to that share: its engine makes no tokens, so the copy, which resumes from those
// that are known, is the only work. Charged, the samples of one stalled engine would use the share up, and the
// step would wait for the rest of them for ever.
func (p *Planner) Hedge(now time.Time) []Work {
	if p.copyShare <= 0 {
		return nil
	}
	var out []Work
	for _, s := range p.stragglers(now) {
		job := s.sample.group.step.job
		if !job.stalled(now, s.sample) {
			cost := p.copyCost(s.sample)
			if job.copies+cost > p.copyShare*job.work {
				continue
			}
			job.copies += cost
		}
		s.sample.copies++
		out = append(out, s.sample.work(true))
	}
	return out
}

func (p *Planner) copyCost(sample *sampleState) float64 {
	if p.wholeCopies {
		return sample.expected()
	}
	return sample.rest()
}

func (p *Planner) stragglers(now time.Time) []straggler {
	var found []straggler
	for _, sample := range p.samples {
		if sample.done || sample.running == 0 || sample.copies >= maxCopies || !sample.group.nearlyWhole() {
			continue
		}
		if gain := sample.group.step.job.gain(now, sample); gain > 0 {
			found = append(found, straggler{sample: sample, gain: gain})
		}
	}
	slices.SortFunc(found, func(a, b straggler) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.sample.id, b.sample.id))
	})
	return found
}
