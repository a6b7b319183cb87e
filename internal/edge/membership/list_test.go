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

// fixed is a host list that never changes.
type fixed []platform.Host

func (f fixed) Hosts(context.Context) ([]platform.Host, error) { return f, nil }

func names(hosts []platform.Host) []string {
	ids := make([]string, 0, len(hosts))
	for _, host := range hosts {
		ids = append(ids, host.ID)
	}
	return ids
}

// eventually waits until ok holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	limit := time.After(20 * time.Second)
	for !ok() {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("never: %s", what)
		}
	}
}

// TestOutageKeepsList is an outage of the platform.
//
// What a caller would see: no server for any request, since the hosts forgot their peers. The last list
// stays, and its age tells how old it is.
func TestOutageKeepsList(t *testing.T) {
	defer goleak.VerifyNone(t)
	store := standin.NewMemory(standin.WithHosts(entries(3)))
	ctx, cancel := context.WithCancel(context.Background())
	l := NewList(ctx, store, WithInterval(10*time.Millisecond))
	<-l.Loaded()
	if diff := cmp.Diff([]string{"entry-01", "entry-02", "entry-03"}, names(l.Entries())); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
	store.SetOutage(true)
	eventually(t, "reads fail", func() bool { return l.State().(State).Failures > 2 })
	if len(l.Entries()) != 3 {
		t.Errorf("%d entries in the outage", len(l.Entries()))
	}
	if age := l.Age(time.Now().Add(time.Minute)); age < time.Minute {
		t.Errorf("age %v", age)
	}
	store.SetOutage(false)
	eventually(t, "reads succeed", func() bool { return l.State().(State).Failures == 0 })
	cancel()
	l.Wait()
}

func TestServers(t *testing.T) {
	agent := func(id, pool string, state platform.HostState) platform.Host {
		return platform.Host{ID: id, Role: platform.RoleAgent, Pool: pool, State: state}
	}
	source := fixed{agent("b", "billdesk", platform.HostLeaving), agent("a", "billdesk", platform.HostLive), agent("c", "other", platform.HostLive)}
	ctx, cancel := context.WithCancel(context.Background())
	l := NewList(ctx, source)
	<-l.Loaded()
	if diff := cmp.Diff([]string{"a", "b"}, names(l.Servers("billdesk"))); diff != "" {
		t.Errorf("servers (-want +got):\n%s", diff)
	}
	cancel()
	l.Wait()
}

// TestStartInOutage is a host that starts while the platform is down.
//
// What a caller would see: a restarted host that refuses everything until the platform is back, although
// its neighbours serve. It gets the host list from one of the peers in its settings.
func TestStartInOutage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	neighbour := NewList(ctx, fixed(entries(2)))
	<-neighbour.Loaded()
	registry := peer.NewRegistry()
	neighbour.Register(registry)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	secret := []byte("secret of the test")
	peer.NewServer(ctx, listener, registry, secret)
	client := peer.NewClient(ctx, secret)
	down := standin.NewMemory()
	down.SetOutage(true)
	dead := netip.MustParseAddrPort("127.0.0.1:1")
	known := []netip.AddrPort{dead, listener.Addr().(*net.TCPAddr).AddrPort()}
	l := NewList(ctx, down, WithInterval(10*time.Millisecond), WithFallback(NewPeerSource(client, known)))
	<-l.Loaded()
	if diff := cmp.Diff(neighbour.Hosts(), l.Hosts(), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Errorf("hosts (-neighbour +started):\n%s", diff)
	}
}

// TestRank: a host that leaves moves only its own place.
func TestRank(t *testing.T) {
	hosts := entries(40)
	before := names(Rank("serverOrders/lakeside", hosts))
	gone := before[1]
	var left []platform.Host
	for _, host := range hosts {
		if host.ID != gone {
			left = append(left, host)
		}
	}
	want := append([]string{before[0]}, before[2:]...)
	if diff := cmp.Diff(want, names(Rank("serverOrders/lakeside", left))); diff != "" {
		t.Errorf("ranks (-want +got):\n%s", diff)
	}
	if !Among("serverOrders/lakeside", before[2], hosts, 3) || Among("serverOrders/lakeside", before[3], hosts, 3) {
		t.Error("not the first three")
	}
}

// TestFirst: the first ids are those of the whole order.
func TestFirst(t *testing.T) {
	for _, count := range []int{0, 1, 3, 39, 40, 41} {
		hosts := entries(40)
		want := names(Rank("usage/0", hosts))
		if diff := cmp.Diff(want[:min(count, len(want))], First("usage/0", names(hosts), count)); diff != "" {
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

func BenchmarkFirst(b *testing.B) {
	ids := names(entries(380))
	for b.Loop() {
		First("trainerJob/fees", ids, 3)
	}
}
