package configuration

import (
	"testing"
	"time"
)

// TestAlignedWaitIsNeverLonger guards against a request that is held for longer than the wait in it: a follower's view is
// fresh for only 3 s, so that the follower would then refuse requests. Waits are only shortened, by less than
// waitAlignment, and end at the same moments whenever the requests came.
func TestAlignedWaitIsNeverLonger(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, wait := range []time.Duration{0, time.Nanosecond, waitAlignment - 1, waitAlignment, time.Second, maxPollWait} {
		for offset := time.Duration(0); offset <= 2*waitAlignment; offset += waitAlignment/8 + time.Nanosecond {
			now := start.Add(offset)
			got := alignedWait(now, wait)
			if got > wait || got <= wait-waitAlignment {
				t.Errorf("a wait of %v requested at offset %v lasts %v", wait, offset, got)
			}
			if end := now.Add(got); wait >= waitAlignment && !end.Equal(end.Truncate(waitAlignment)) {
				t.Errorf("a wait of %v requested at offset %v ends at %v", wait, offset, end)
			}
		}
	}
}
