package configuration

import (
	"testing"
	"time"
)

// A follower's view counts as fresh for 3 s, so that a question kept for longer than was asked would make it refuse. Waits are
// only shortened, by less than a step, and end at the same moments whenever their questions came.
func TestSharedWaitIsNeverLonger(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, wait := range []time.Duration{0, time.Nanosecond, answerStep - 1, answerStep, time.Second, maxWait} {
		for late := time.Duration(0); late <= 2*answerStep; late += answerStep/8 + time.Nanosecond {
			now := start.Add(late)
			got := sharedWait(now, wait)
			if got > wait || got <= wait-answerStep {
				t.Errorf("a wait of %v asked %v late is %v", wait, late, got)
			}
			if end := now.Add(got); wait >= answerStep && !end.Equal(end.Truncate(answerStep)) {
				t.Errorf("a wait of %v asked %v late ends at %v", wait, late, end)
			}
		}
	}
}
