package process

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
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

// Thousands of servers load at once. A holder that asked all of them each second would send and receive half a
// megabyte a second; one that stopped at the first few would never see that all have loaded.
func TestLoadingServersAreAskedInTurns(t *testing.T) {
	hosts := []platform.Host{}
	for i := range 3*askedAtOnce + 5 {
		hosts = append(hosts, platform.Host{ID: fmt.Sprint(i), State: platform.HostLive})
	}
	hosts[0].State = platform.HostLeaving
	progress := &loading{ready: map[string]bool{}}
	rounds := 0
	for ; progress.share(hosts) < 1; rounds++ {
		chosen := progress.choose(hosts)
		if len(chosen) > askedAtOnce || rounds > 10 {
			t.Fatalf("round %d asks %d hosts, share %v", rounds, len(chosen), progress.share(hosts))
		}
		for _, host := range chosen {
			progress.ready[host.ID] = true
		}
	}
	if rounds != 4 {
		t.Errorf("%d rounds, want 4", rounds)
	}
}
