package configuration

import (
	"fmt"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// BenchmarkRoute measures one lookup of the relays to follow, at the size that the system is designed for. Each host
// does several lookups a second.
func BenchmarkRoute(b *testing.B) {
	n := &network{}
	for i := range 380 {
		n.list = append(n.list, platform.Host{
			ID: fmt.Sprintf("entry-%03d", i), Role: platform.RoleEntry, AvailabilityZone: fmt.Sprintf("zone-%02d", i%22), State: platform.HostLive,
		})
	}
	f := &Follower{relayClient: networkClient{network: n}, directory: n, self: Self{HostID: "entry-007", AvailabilityZone: "zone-07"}}
	for b.Loop() {
		f.route()
	}
}
