package process

import (
	"testing"
	"time"
)

// New weights are announced, and one of many engines can't load them. The switch must not wait for it for
// ever, or trainers get samples of old weights only; nor come at once, when most would still be loading.
func TestSwitchWaitsForNearlyAll(t *testing.T) {
	for _, test := range []struct {
		name   string
		share  float64
		waited time.Duration
		want   bool
	}{
		{"none", 0, time.Second, false},
		{"all", 1, 0, true},
		{"nearly all at first", 0.99, time.Second, false},
		{"nearly all after a while", 0.99, patience, true},
		{"most after a while", 0.9, patience, false},
		{"none at the limit", 0, switchLimit, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if have := isLoaded(test.share, test.waited); have != test.want {
				t.Errorf("have %v, want %v", have, test.want)
			}
		})
	}
}
