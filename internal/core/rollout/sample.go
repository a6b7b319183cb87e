package rollout

import (
	"cmp"
	"slices"
	"time"
)

// sampleState is the progress of a sample.
type sampleState struct {
	id      string
	cost    float64
	tokens  int
	group   *groupState
	running int
	copies  int
	done    bool
	// started is when the sample or its last copy started; with the tokens at that time it gives the speed.
	started       time.Time
	startedTokens int
	// moved is when the sample's last token came, or its last generation started.
	moved time.Time
}

// expected is the expected length: the caller's cost is often the most that a sample may have, so
// it is corrected by what the job's samples had of theirs.
func (s *sampleState) expected() float64 {
	return s.cost * s.group.step.job.lengthPart()
}

// rest is the expected work left.
func (s *sampleState) rest() float64 {
	expected := s.expected()
	return max(expected-float64(s.tokens), expected*leastRest)
}

// speed is the tokens a second of the running generation.
func (s *sampleState) speed(now time.Time) float64 {
	elapsed := now.Sub(s.started).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(s.tokens-s.startedTokens) / elapsed
}

// work describes a start of the sample.
func (s *sampleState) work(isCopy bool) Work {
	return Work{
		Job:      s.group.step.job.name,
		Step:     s.group.step.number,
		Group:    s.group.index,
		SampleID: s.id,
		Tokens:   s.tokens,
		Copy:     isCopy,
	}
}

// startOrder puts the most work left first, so that the longest sample isn't the last to start.
func startOrder(a, b *sampleState) int {
	return cmp.Or(cmp.Compare(b.rest(), a.rest()), cmp.Compare(a.id, b.id))
}

// wait puts the sample back in its group's order.
func (s *sampleState) wait() {
	group := s.group
	at, _ := slices.BinarySearchFunc(group.waiting, s, startOrder)
	group.waiting = slices.Insert(group.waiting, at, s)
	group.step.waiting++
	if group.index < group.step.untouched && !slices.Contains(group.step.begun, group) {
		group.step.begun = append(group.step.begun, group)
	}
}
