package configuration

import (
	"fmt"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// BenchmarkRoute is one look at which relays to follow, at the size to design for. Each host looks several times a second.
func BenchmarkRoute(b *testing.B) {
	n := &network{}
	for i := range 380 {
		n.list = append(n.list, platform.Host{
			ID: fmt.Sprintf("entry-%03d", i), Role: platform.RoleEntry, AvailabilityZone: fmt.Sprintf("zone-%02d", i%22), State: platform.HostLive,
		})
	}
	f := &Follower{exchange: exchange{network: n}, directory: n, self: Self{HostID: "entry-007", AvailabilityZone: "zone-07"}}
	for b.Loop() {
		f.route()
	}
}
