package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Guards against a value that is still used after the list has changed, even to one of the same length. Hosts would go on
// asking relays that have left, and get no configuration.
func TestListCacheRecomputesForAnotherList(t *testing.T) {
	var cache ListCache[string]
	calls := 0
	firstID := func(hosts []platform.Host) string {
		calls++
		if len(hosts) == 0 {
			return ""
		}
		return hosts[0].ID
	}
	original, other := zoneEntries(3), zoneEntries(3)
	other[0].ID = "replaced"
	for i, c := range []struct {
		hosts []platform.Host
		want  string
		calls int
	}{
		{hosts: nil, want: "", calls: 1},
		{hosts: []platform.Host{}, want: "", calls: 1},
		{hosts: original, want: original[0].ID, calls: 2},
		{hosts: original, want: original[0].ID, calls: 2},
		{hosts: original[:2], want: original[0].ID, calls: 3},
		{hosts: other, want: "replaced", calls: 4},
		{hosts: slices.Clone(other), want: "replaced", calls: 5},
	} {
		if got := cache.GetOrCompute(c.hosts, firstID); got != c.want || calls != c.calls {
			t.Errorf("case %d: got %q after %d calls, want %q after %d", i, got, calls, c.want, c.calls)
		}
	}
}

// zoneEntries returns live entries that are distributed over 22 availability zones.
func zoneEntries(count int) []platform.Host {
	hosts := make([]platform.Host, count)
	for i := range hosts {
		hosts[i] = platform.Host{
			ID: fmt.Sprintf("entry-%03d", i), Role: platform.RoleEntry, AvailabilityZone: fmt.Sprintf("zone-%02d", i%22), State: platform.HostLive,
		}
	}
	return hosts
}

// BenchmarkRoute measures a cached look-up of the route with 380 entries, the largest size to design for.
func BenchmarkRoute(b *testing.B) {
	l := &List{relayClient: NewPeerRelayClient(nil), self: Self{HostID: "entry-007", AvailabilityZone: "zone-07"}}
	l.current.Store(&snapshot{entries: zoneEntries(380)})
	for b.Loop() {
		l.route()
	}
}
