package process

import (
	"net/netip"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Guards against an entry that stays isolated because none of its seeds is reachable.
func TestAnEntryWithStaleSeedsFindsTheOthers(t *testing.T) {
	d := newDeployment(t, 2)
	entry := d.startWithSeed("entry-late", platformtest.UnusedAddress())
	d.eventually("the entry with the stale seed knows the others", func() bool { return len(entry.gossip.Alive(time.Now())) == 2 })
	d.eventually("the others know the entry with the stale seed", func() bool { return len(d.gateways[0].gossip.Alive(time.Now())) == 2 })
}

// Guards against a stale address in the store after an entry restarts at another address.
func TestAChangedAddressIsUpdated(t *testing.T) {
	d := newDeployment(t, 0)
	d.store.Put(kindMembers, "entry-0", platformtest.UnusedAddress())
	d.start("entry-0")
	second := d.startWithSeed("entry-1", platformtest.UnusedAddress())
	d.eventually("the second entry knows the first", func() bool { return len(second.gossip.Alive(time.Now())) == 1 })
}

// startWithSeed starts a gateway with a single seed.
func (d *deployment) startWithSeed(hostID string, seed netip.AddrPort) *testGateway {
	d.t.Helper()
	endpoint := d.store.NewEndpoint(d.t)
	set := d.gateways[0].set
	set.HostID, set.PlatformURL = hostID, endpoint.URL()
	set.Listen, set.PeerListen, set.AdminListen = platformtest.UnusedAddress(), platformtest.UnusedAddress(), platformtest.UnusedAddress()
	set.Seeds = []netip.AddrPort{seed}
	return d.startWith(set, endpoint)
}
