package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

type members []gossip.Member

func (m members) Alive(time.Time) []gossip.Member { return append([]gossip.Member(nil), m...) }

// Guards against relaying only through entries that the store rejects too. The store rejected nine of 27 entries, among them the first
// two by name. Every rejected entry asked these two, and its training steps stalled for nine seconds although the store served the
// other eighteen entries.
func TestCandidatesThatReachStoreComeFirst(t *testing.T) {
	var all members
	for i := range 27 {
		all = append(all, gossip.Member{HostID: fmt.Sprintf("entry-%02d", i), Leaving: i == 20})
	}
	served := map[string]bool{"entry-07": true, "entry-19": true, "entry-20": true}
	relay := NewRelay(nil, all, func(_ time.Time, host string) bool { return served[host] }, zerolog.Nop())
	others := map[string]bool{}
	for range 50 {
		candidates := relay.candidates(time.Now())
		if len(candidates) != maxRelayAttempts {
			t.Fatalf("got %d candidates, want maxRelayAttempts", len(candidates))
		}
		for i, candidate := range candidates {
			if served[candidate.HostID] != (i < 2) || candidate.Leaving {
				t.Fatalf("got candidates %+v, want entry-07 and entry-19 first and no entry that leaves", candidates)
			}
		}
		others[candidates[2].HostID] = true
	}
	if len(others) < 5 {
		t.Errorf("the other entries are not shuffled, third candidates were only %v", others)
	}
}
