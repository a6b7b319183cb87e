package rollout

import (
	"cmp"
	"slices"
	"time"
)

// sampleState is the progress of a sample.
type sampleState struct {
	id     string
	cost   float64
	tokens int
	group  *groupState
	// running is the number of running generations, and copies the number of copies that Hedge returned.
	running int
	copies  int
	done    bool
	// started is when the sample or its last copy started, and startedTokens is the number of known tokens at that
	// time. They determine the speed.
	started       time.Time
	startedTokens int
	// lastProgress is when the last token of the sample arrived or its last generation started.
	lastProgress time.Time
}

// expectedTokens returns the expected length in tokens. The caller's cost is often the maximum length of a sample,
// so that it is corrected by the usual ratio of length to cost of the job's samples.
func (s *sampleState) expectedTokens() float64 {
	return s.cost * s.group.step.job.typicalLengthRatio()
}

// remainingTokens returns the expected number of tokens that are still to be generated.
func (s *sampleState) remainingTokens() float64 {
	expected := s.expectedTokens()
	return max(expected-float64(s.tokens), expected*minRemainingShare)
}

// speed returns the tokens per second since the last generation started.
func (s *sampleState) speed(now time.Time) float64 {
	elapsed := now.Sub(s.started).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(s.tokens-s.startedTokens) / elapsed
}

// generation returns a generation of the sample that resumes from the known tokens.
func (s *sampleState) generation(isCopy bool) Generation {
	return Generation{
		Job:      s.group.step.job.name,
		Step:     s.group.step.number,
		Group:    s.group.index,
		SampleID: s.id,
		Tokens:   s.tokens,
		Copy:     isCopy,
	}
}

// compareStartOrder sorts samples by remaining tokens, most first, so that the longest sample doesn't start last.
func compareStartOrder(a, b *sampleState) int {
	return cmp.Or(cmp.Compare(b.remainingTokens(), a.remainingTokens()), cmp.Compare(a.id, b.id))
}

// requeue adds the sample to those of its group that wait to be started, at its place in the order.
func (s *sampleState) requeue() {
	group := s.group
	index, _ := slices.BinarySearchFunc(group.waiting, s, compareStartOrder)
	group.waiting = slices.Insert(group.waiting, index, s)
	group.step.waiting++
	if group.index < group.step.firstUntouched && !slices.Contains(group.step.partlyStarted, group) {
		group.step.partlyStarted = append(group.step.partlyStarted, group)
	}
}
