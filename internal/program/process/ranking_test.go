package process

import (
	"fmt"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

func entries(count int) []platform.Host {
	hosts := []platform.Host{}
	for i := range count {
		hosts = append(hosts, platform.Host{
			ID: fmt.Sprintf("entry-%03d", i), Role: platform.RoleEntry, AvailabilityZone: fmt.Sprintf("zone-%d", i%3), State: platform.HostLive,
		})
	}
	return hosts
}

// The host list changes while duties are held. A ranking made from the old list must not be used any more: a duty whose
// contenders have all left would have no holder.
func TestRankingFollowsTheList(t *testing.T) {
	var r ranking
	key := rankingKey{purpose: "trainerJob/fees", count: contenders}
	all := entries(30)
	before := r.first(all, key)
	remaining := []platform.Host{}
	for _, host := range all {
		contended := false
		for _, chosen := range before {
			contended = contended || chosen.ID == host.ID
		}
		if !contended {
			remaining = append(remaining, host)
		}
	}
	after := r.first(remaining, key)
	if len(before) != contenders || len(after) != contenders {
		t.Fatalf("%d contenders before, %d after", len(before), len(after))
	}
	for _, host := range after {
		for _, removed := range before {
			if host.ID == removed.ID {
				t.Errorf("%s has left but still contends", host.ID)
			}
		}
	}
	for _, host := range r.first(all, rankingKey{purpose: "usageRelay", zone: "zone-1", count: usageRelaysPerZone}) {
		if host.AvailabilityZone != "zone-1" {
			t.Errorf("%s is in %s", host.ID, host.AvailabilityZone)
		}
	}
}

func BenchmarkContender(b *testing.B) {
	all := entries(380)
	b.Run("uncached", func(b *testing.B) {
		for b.Loop() {
			rank(all, rankingKey{purpose: "trainerJob/fees", count: contenders})
		}
	})
	b.Run("cached", func(b *testing.B) {
		var r ranking
		for b.Loop() {
			r.first(all, rankingKey{purpose: "trainerJob/fees", count: contenders})
		}
	})
}
