package process

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// New weights are announced, and one of many engines can't load them. The switch must not wait for it forever, or trainers
// receive only samples of old weights. It must not happen at once either, while most engines are still loading.
func TestSwitchWaitsForMostServers(t *testing.T) {
	for _, test := range []struct {
		name        string
		loadedShare float64
		waited      time.Duration
		want        bool
	}{
		{"none", 0, time.Second, false},
		{"all", 1, 0, true},
		{"nearly all at first", 0.99, time.Second, false},
		{"nearly all after a while", 0.99, sufficientShareDelay, true},
		{"most after a while", 0.9, sufficientShareDelay, false},
		{"none at the limit", 0, switchTimeout, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if have := shouldSwitch(test.loadedShare, test.waited); have != test.want {
				t.Errorf("have %v, want %v", have, test.want)
			}
		})
	}
}

// Thousands of servers load at once. A holder that probed all of them each second would send and receive half a megabyte
// per second, and one that stopped at the first few would never find that all have loaded.
func TestLoadingServersAreProbedInTurns(t *testing.T) {
	hosts := []platform.Host{}
	for i := range 3*maxProbesPerRound + 5 {
		hosts = append(hosts, platform.Host{ID: fmt.Sprint(i), State: platform.HostLive})
	}
	hosts[0].State = platform.HostLeaving
	progress := &loadProgress{loaded: map[string]bool{}}
	rounds := 0
	for ; progress.loadedShare(hosts) < 1; rounds++ {
		chosen := progress.nextHosts(hosts)
		if len(chosen) > maxProbesPerRound || rounds > 10 {
			t.Fatalf("round %d probes %d hosts, share %v", rounds, len(chosen), progress.loadedShare(hosts))
		}
		for _, host := range chosen {
			progress.loaded[host.ID] = true
		}
	}
	if rounds != 4 {
		t.Errorf("%d rounds, want 4", rounds)
	}
}
