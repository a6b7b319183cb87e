package membership

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// entries returns live entries, sorted by descending ID.
func entries(count int) []platform.Host {
	hosts := make([]platform.Host, 0, count)
	for i := count; i > 0; i-- {
		hosts = append(hosts, platform.Host{
			ID: fmt.Sprintf("entry-%02d", i), Role: platform.RoleEntry, State: platform.HostLive,
			AvailabilityZone: "lakeside", PeerAddress: netip.MustParseAddrPort("127.0.0.1:7400"),
		})
	}
	return hosts
}

// staticSource is a source whose host list never changes.
type staticSource []platform.Host

func (s staticSource) Hosts(context.Context) ([]platform.Host, error) { return s, nil }

func idsOf(hosts []platform.Host) []string {
	ids := make([]string, 0, len(hosts))
	for _, host := range hosts {
		ids = append(ids, host.ID)
	}
	return ids
}

// eventually waits until the condition holds, and fails the test after 20 seconds.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	timeout := time.After(20 * time.Second)
	for !condition() {
		select {
		case <-tick.C:
		case <-timeout:
			t.Fatalf("timed out waiting until %s", description)
		}
	}
}

// Guards against hosts that lose the list of their peers in an outage of the platform, so that no request finds a server. The
// last list must be kept, and its age must grow.
func TestOutageKeepsList(t *testing.T) {
	defer goleak.VerifyNone(t)
	store := standin.NewMemory(standin.WithHosts(entries(3)))
	ctx, cancel := context.WithCancel(context.Background())
	l := NewList(ctx, store, WithInterval(10*time.Millisecond))
	<-l.Loaded()
	if diff := cmp.Diff([]string{"entry-01", "entry-02", "entry-03"}, idsOf(l.Entries())); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
	store.SetOutage(true)
	eventually(t, "reads of the platform fail", func() bool { return l.State().(State).Failures > 2 })
	if len(l.Entries()) != 3 {
		t.Errorf("%d entries in the outage, want 3", len(l.Entries()))
	}
	if age := l.Age(time.Now().Add(time.Minute)); age < time.Minute {
		t.Errorf("age %v, want at least a minute", age)
	}
	store.SetOutage(false)
	eventually(t, "reads of the platform succeed again", func() bool { return l.State().(State).Failures == 0 })
	cancel()
	l.Wait()
}

func TestServers(t *testing.T) {
	agent := func(id, pool string, state platform.HostState) platform.Host {
		return platform.Host{ID: id, Role: platform.RoleAgent, Pool: pool, State: state}
	}
	source := staticSource{
		agent("b", "billdesk", platform.HostLeaving), agent("a", "billdesk", platform.HostLive), agent("c", "other", platform.HostLive),
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := NewList(ctx, source)
	<-l.Loaded()
	if diff := cmp.Diff([]string{"a", "b"}, idsOf(l.Servers("billdesk"))); diff != "" {
		t.Errorf("servers (-want +got):\n%s", diff)
	}
	cancel()
	l.Wait()
}

// Guards against a host that starts while the platform is down and refuses all requests until the platform is back, although
// other hosts serve them. It must get the host list from one of the peers in its settings.
func TestStartInOutage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	configuredPeer := NewList(ctx, staticSource(entries(2)))
	<-configuredPeer.Loaded()
	registry := peer.NewRegistry()
	configuredPeer.Register(registry)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	secret := []byte("secret of the test")
	peer.NewServer(ctx, listener, registry, secret)
	client := peer.NewClient(ctx, secret)
	store := standin.NewMemory()
	store.SetOutage(true)
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	addresses := []netip.AddrPort{unreachable, listener.Addr().(*net.TCPAddr).AddrPort()}
	l := NewList(ctx, store, WithInterval(10*time.Millisecond), WithFallback(NewPeerSource(client, addresses)))
	<-l.Loaded()
	if diff := cmp.Diff(configuredPeer.Hosts(), l.Hosts(), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Errorf("hosts (-peer +started):\n%s", diff)
	}
}

// Checks that the removal of a host doesn't change the order of the others.
func TestRank(t *testing.T) {
	hosts := entries(40)
	before := idsOf(Rank("serverOrders/lakeside", hosts))
	removed := before[1]
	var remaining []platform.Host
	for _, host := range hosts {
		if host.ID != removed {
			remaining = append(remaining, host)
		}
	}
	want := append([]string{before[0]}, before[2:]...)
	if diff := cmp.Diff(want, idsOf(Rank("serverOrders/lakeside", remaining))); diff != "" {
		t.Errorf("ranks (-want +got):\n%s", diff)
	}
	if !IsTopRanked("serverOrders/lakeside", before[2], hosts, 3) || IsTopRanked("serverOrders/lakeside", before[3], hosts, 3) {
		t.Error("IsTopRanked does not select exactly the first three hosts")
	}
}

// Checks that TopRanked returns the first IDs in the order of Rank.
func TestTopRanked(t *testing.T) {
	for _, count := range []int{0, 1, 3, 39, 40, 41} {
		hosts := entries(40)
		want := idsOf(Rank("usage/0", hosts))
		if diff := cmp.Diff(want[:min(count, len(want))], TopRanked("usage/0", idsOf(hosts), count)); diff != "" {
			t.Errorf("first %d (-want +got):\n%s", count, diff)
		}
	}
}

func BenchmarkRank(b *testing.B) {
	hosts := entries(380)
	for b.Loop() {
		Rank("trainerJob/fees", hosts)
	}
}

func BenchmarkTopRanked(b *testing.B) {
	ids := idsOf(entries(380))
	for b.Loop() {
		TopRanked("trainerJob/fees", ids, 3)
	}
}
