package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// The host list changes while the relays worked out from the last one are remembered. Hosts that went on with the old
// choice would ask relays that have left, and find no configuration. A list of the same length is another list.
func TestPerListFollowsTheList(t *testing.T) {
	var known PerList[string]
	calls := 0
	first := func(hosts []platform.Host) string {
		calls++
		if len(hosts) == 0 {
			return ""
		}
		return hosts[0].ID
	}
	one, other := zoneEntries(3), zoneEntries(3)
	other[0].ID = "replaced"
	for i, c := range []struct {
		hosts []platform.Host
		want  string
		calls int
	}{
		{hosts: nil, want: "", calls: 1},
		{hosts: []platform.Host{}, want: "", calls: 1},
		{hosts: one, want: one[0].ID, calls: 2},
		{hosts: one, want: one[0].ID, calls: 2},
		{hosts: one[:2], want: one[0].ID, calls: 3},
		{hosts: other, want: "replaced", calls: 4},
		{hosts: slices.Clone(other), want: "replaced", calls: 5},
	} {
		if got := known.Of(c.hosts, first); got != c.want || calls != c.calls {
			t.Errorf("step %d: %q after %d calls, want %q after %d", i, got, calls, c.want, c.calls)
		}
	}
}

func zoneEntries(count int) []platform.Host {
	hosts := make([]platform.Host, count)
	for i := range hosts {
		hosts[i] = platform.Host{
			ID: fmt.Sprintf("entry-%03d", i), Role: platform.RoleEntry, AvailabilityZone: fmt.Sprintf("zone-%02d", i%22), State: platform.HostLive,
		}
	}
	return hosts
}

// BenchmarkRoute is one look at where the list comes from, at the size to design for.
func BenchmarkRoute(b *testing.B) {
	l := &List{exchange: NewPeerExchange(nil), self: Self{HostID: "entry-007", AvailabilityZone: "zone-07"}}
	l.current.Store(&snapshot{entries: zoneEntries(380)})
	for b.Loop() {
		l.route()
	}
}
