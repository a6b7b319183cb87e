package membership

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const testInterval = 100 * time.Millisecond

var (
	errUnreachable   = errors.New("relay is unreachable")
	compareAddresses = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
)

// network connects the lists of a test and can interrupt the connections between them and to the platform.
type network struct {
	t     *testing.T
	store *standin.Memory
	hosts []platform.Host

	mutex sync.Mutex
	lists map[netip.AddrPort]*List
	// isolated hosts neither reach other hosts nor are reached by them. Hosts in noPlatform can't read the platform. Hosts in
	// noOutbound can't send requests to other hosts.
	isolated, noPlatform, noOutbound map[netip.AddrPort]bool
	// reads counts the reads of the platform by each host.
	reads map[netip.AddrPort]int
}

// hostConn is one host's connection to the platform and to its peers.
type hostConn struct {
	*network
	address netip.AddrPort
}

func (c hostConn) Hosts(ctx context.Context) ([]platform.Host, error) {
	c.mutex.Lock()
	c.reads[c.address]++
	noPlatform := c.noPlatform[c.address]
	c.mutex.Unlock()
	if noPlatform {
		return nil, platform.ErrUnavailable
	}
	return c.store.Hosts(ctx)
}

func (c hostConn) Changes(ctx context.Context, relay netip.AddrPort, request ChangesRequest) (ChangesAnswer, error) {
	c.mutex.Lock()
	list, unreachable := c.lists[relay], c.isolated[relay] || c.isolated[c.address] || c.noOutbound[c.address]
	c.mutex.Unlock()
	if list == nil || unreachable {
		return ChangesAnswer{}, errUnreachable
	}
	return list.HandleChanges(ctx, request)
}

// newNetwork returns a network of three availability zones with four entries each.
func newNetwork(t *testing.T) *network {
	n := &network{
		t: t, lists: map[netip.AddrPort]*List{}, isolated: map[netip.AddrPort]bool{},
		noPlatform: map[netip.AddrPort]bool{}, noOutbound: map[netip.AddrPort]bool{}, reads: map[netip.AddrPort]int{},
	}
	for i := range 12 {
		n.hosts = append(n.hosts, platform.Host{
			ID: fmt.Sprintf("entry-%02d", i), Role: platform.RoleEntry, State: platform.HostLive,
			AvailabilityZone: []string{"begnas", "lakeside", "sarangkot"}[i%3],
			PeerAddress:      netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i)),
		})
	}
	n.store = standin.NewMemory(standin.WithHosts(n.hosts))
	return n
}

// start starts all hosts and waits until each has a list. The hosts stop when the test ends.
func (n *network) start() {
	ctx, cancel := context.WithCancel(context.Background())
	for _, host := range n.hosts {
		n.add(ctx, host)
	}
	n.t.Cleanup(func() {
		cancel()
		for _, list := range n.lists {
			list.Wait()
		}
		goleak.VerifyNone(n.t)
	})
	for _, list := range n.lists {
		<-list.Loaded()
	}
}

func (n *network) add(ctx context.Context, host platform.Host, opts ...Option) *List {
	conn := hostConn{network: n, address: host.PeerAddress}
	self := Self{HostID: host.ID, AvailabilityZone: host.AvailabilityZone}
	list := NewList(ctx, conn, append(opts, WithInterval(testInterval), WithRelays(conn, self))...)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lists[host.PeerAddress] = list
	return list
}

func (n *network) set(hosts map[netip.AddrPort]bool, address netip.AddrPort, on bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	hosts[address] = on
}

func (n *network) readsBy(address netip.AddrPort) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.reads[address]
}

// lakeside returns the lists of the relays and of the other hosts of this zone, and the addresses of the relays.
func (n *network) lakeside() (relays, followers []*List, addresses []netip.AddrPort) {
	for _, host := range ZoneRelays(relayPurpose, n.hosts, relaysPerZone)["lakeside"] {
		addresses = append(addresses, host.PeerAddress)
		relays = append(relays, n.lists[host.PeerAddress])
	}
	for _, host := range n.hosts {
		if host.AvailabilityZone == "lakeside" && !slices.Contains(addresses, host.PeerAddress) {
			followers = append(followers, n.lists[host.PeerAddress])
		}
	}
	return relays, followers, addresses
}

// removeHost removes a host from the platform's list.
func (n *network) removeHost(id string) {
	n.store.SetHosts(slices.DeleteFunc(slices.Clone(n.hosts), func(h platform.Host) bool { return h.ID == id }))
}

func hasHost(l *List, id string) bool { return slices.Contains(idsOf(l.Hosts()), id) }

// Guards against hosts that all keep reading the platform. With 2,580 hosts that would be 516 reads of the host list a second, a
// quarter of what the platform can take, and 68 KB/s at each host. Each host must read once when it starts. After that only the
// relays may read, and the other hosts must still learn each change and know the list's age.
func TestFollowersReadThePlatformOnce(t *testing.T) {
	n := newNetwork(t)
	n.start()
	_, followers, _ := n.lakeside()
	n.removeHost("entry-00")
	for _, l := range followers {
		eventually(t, "the follower learns the change", func() bool { return !hasHost(l, "entry-00") })
		eventually(t, "the follower has a list from a peer", func() bool { return l.State().(State).FromPeer })
		if age := l.Age(time.Now()); age > 20*testInterval {
			t.Errorf("age %v, want at most 20 intervals", age)
		}
	}
	before := map[netip.AddrPort]int{}
	for address := range n.lists {
		before[address] = n.readsBy(address)
	}
	relays, _, _ := n.lakeside()
	readsBefore := n.readsOf(relays)
	eventually(t, "the relays have read again", func() bool { return n.readsOf(relays) > readsBefore+4 })
	for address, l := range n.lists {
		if reads := n.readsBy(address) - before[address]; !l.State().(State).IsRelay && reads > 0 {
			t.Errorf("%s is not a relay but read the platform %d times", address, reads)
		}
	}
}

func (n *network) readsOf(lists []*List) int {
	sum := 0
	for address, l := range n.lists {
		if slices.Contains(lists, l) {
			sum += n.readsBy(address)
		}
	}
	return sum
}

// Guards against followers that stay with a failed relay. A third of a zone's hosts would go on sending requests to a server that
// was stopped. They must switch to the other relay.
func TestFollowersSwitchFromAFailedRelay(t *testing.T) {
	for _, index := range []int{0, 1} {
		t.Run(fmt.Sprint("relay ", index), func(t *testing.T) { testFailedRelay(t, index) })
	}
}

func testFailedRelay(t *testing.T, index int) {
	n := newNetwork(t)
	n.start()
	_, followers, addresses := n.lakeside()
	for _, l := range followers {
		eventually(t, "the follower has a list from a peer", func() bool { return l.State().(State).FromPeer })
	}
	n.set(n.isolated, addresses[index], true)
	n.removeHost("entry-00")
	for _, l := range followers {
		eventually(t, "the follower learns the change", func() bool { return !hasHost(l, "entry-00") })
	}
}

// Guards against followers that get no more changes when both relays of their zone fail at once. They must use the relays of the
// neighbour zones.
func TestFollowersUseNeighbourZonesIfBothRelaysFail(t *testing.T) {
	n := newNetwork(t)
	n.start()
	_, followers, addresses := n.lakeside()
	for _, address := range addresses {
		n.set(n.isolated, address, true)
	}
	for _, l := range followers {
		eventually(t, "the follower has a list from a peer", func() bool { return l.State().(State).FromPeer })
	}
	n.removeHost("entry-00")
	for _, l := range followers {
		eventually(t, "the follower learns the change", func() bool { return !hasHost(l, "entry-00") })
	}
}

// Guards against a relay that reaches neither the platform nor the other relays, so that its list gets old. A server that was
// stopped would be live again for its followers and get requests. They must leave the relay as its list ages, and must never
// replace a newer list by the old one.
func TestFollowersLeaveAStaleRelay(t *testing.T) {
	for _, index := range []int{0, 1} {
		t.Run(fmt.Sprint("relay ", index), func(t *testing.T) { testStaleRelay(t, index) })
	}
}

func testStaleRelay(t *testing.T, index int) {
	n := newNetwork(t)
	n.start()
	relays, followers, addresses := n.lakeside()
	n.set(n.noPlatform, addresses[index], true)
	n.set(n.noOutbound, addresses[index], true)
	stale := relays[index]
	staleList := stale.current.Load()
	n.removeHost("entry-00")
	for _, l := range followers {
		eventually(t, "the follower learns the change", func() bool { return !hasHost(l, "entry-00") })
	}
	reads := n.readsBy(addresses[1-index])
	eventually(t, "the other relay has read eight more times", func() bool {
		for _, l := range followers {
			if hasHost(l, "entry-00") {
				t.Fatal("a follower lists the stopped host again")
			}
		}
		return n.readsBy(addresses[1-index]) > reads+8
	})
	if staleList.digest != stale.current.Load().digest {
		t.Error("the relay that should be stale has learned the change, so the test proves nothing")
	}
}

// Guards against a zone that keeps an old list although the next zone has a new one, because its relays can't reach the platform.
// They must send requests to the relays of other zones.
func TestRelayWithoutPlatformAsksOtherRelays(t *testing.T) {
	n := newNetwork(t)
	n.start()
	relays, _, addresses := n.lakeside()
	for _, address := range addresses {
		n.set(n.noPlatform, address, true)
	}
	n.removeHost("entry-00")
	for _, l := range relays {
		eventually(t, "the relay learns the change from a neighbour", func() bool { return !hasHost(l, "entry-00") })
	}
}

// Guards against backend servers that are ordered in an outage of the platform, on the basis of a list that looks recent because
// peers confirm it to each other. All hosts must keep the list, and its age must grow on followers and on relays.
func TestListAgesInAnOutage(t *testing.T) {
	n := newNetwork(t)
	n.start()
	_, followers, _ := n.lakeside()
	eventually(t, "the follower has a list from a peer", func() bool { return followers[0].State().(State).FromPeer })
	n.store.SetOutage(true)
	outageStart := time.Now()
	for _, l := range n.lists {
		eventually(t, "the list has aged", func() bool { return l.Age(time.Now()) > 6*testInterval })
		if len(l.Hosts()) != len(n.hosts) {
			t.Errorf("only %d hosts are left in the list", len(l.Hosts()))
		}
	}
	for _, l := range n.lists {
		if read := time.Now().Add(-l.Age(time.Now())); read.After(outageStart.Add(testInterval)) {
			t.Errorf("a list has a read time %v after the outage began", read.Sub(outageStart))
		}
	}
	n.store.SetOutage(false)
	for _, l := range n.lists {
		eventually(t, "the list has been read again", func() bool { return l.Age(time.Now()) < 3*testInterval })
	}
}

// Guards against a host that starts while the platform is down and gets its first list from a peer. If its list never got an age,
// the host would never act on it; an age that starts at zero would make the list look recent. The host must follow the relays
// in that list and take over the age of their list.
func TestHostStartedInAnOutageFollowsRelays(t *testing.T) {
	n := newNetwork(t)
	n.start()
	n.store.SetOutage(true)
	outageStart := time.Now()
	lateHost := platform.Host{ID: "late", AvailabilityZone: "lakeside", PeerAddress: netip.MustParseAddrPort("10.0.0.9:7100")}
	ctx, cancel := context.WithCancel(context.Background())
	l := n.add(ctx, lateHost, WithFallback(staticSource(n.hosts)))
	<-l.Loaded()
	eventually(t, "the list has a read time", func() bool { return !l.State().(State).ReadAt.IsZero() })
	if read := l.State().(State).ReadAt; read.After(outageStart) {
		t.Errorf("the list has a read time %v after the outage began", read.Sub(outageStart))
	}
	cancel()
	l.Wait()
}

// Checks that a host takes over a relay's list only if that was read later than its own.
func TestOlderListIsRejected(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name     string
		age      time.Duration
		accepted bool
	}{
		{name: "read later", age: time.Second, accepted: true},
		{name: "read before", age: time.Minute},
		{name: "never read", age: neverRead},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := &List{interval: time.Minute, loaded: make(chan struct{})}
			l.current.Store(newSnapshot(entries(2), now.Add(-10*time.Second)))
			offered := newSnapshot(entries(3), now).changesSince(0, 0, now)
			offered.Age = c.age
			l.relayClient = constantRelay{offered}
			_, err := l.requestChanges(context.Background(), netip.AddrPort{}, 0)
			if accepted := len(l.Hosts()) == 3; accepted != c.accepted || accepted != (err == nil) {
				t.Errorf("accepted = %v, error: %v", accepted, err)
			}
		})
	}
}

// Checks that a relay reads the platform in its own turn, and in another relay's turn only if that one has missed it. If 44 relays
// read in every turn, each would receive 114 KB/s. If none stood in for a relay that failed in its turn, the list would become
// too old to order backend servers.
func TestRelaysReadInTurns(t *testing.T) {
	now := time.Now()
	newer := newSnapshot(entries(3), now).changesSince(0, 0, now)
	missed := ChangesAnswer{Digest: newer.Digest, Age: neverRead}
	cases := []struct {
		name      string
		selfIndex int
		answer    ChangesAnswer
		age       time.Duration
		reads     int
	}{
		{name: "own turn", answer: newer, reads: 1},
		{name: "another's turn", selfIndex: 1, answer: newer, age: 2 * time.Minute},
		{name: "another's turn is late", selfIndex: 1, answer: missed, age: time.Minute},
		{name: "another's turn was missed", selfIndex: 1, answer: missed, age: 2 * time.Minute, reads: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			source := &countingSource{HostList: staticSource(entries(3))}
			l := &List{interval: time.Minute, loaded: make(chan struct{}), source: source, relayClient: constantRelay{c.answer}}
			l.current.Store(newSnapshot(entries(2), time.Now().Add(-c.age)))
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // pauses end at once
			l.refreshAsRelay(ctx, route{isRelay: true, selfIndex: c.selfIndex, relays: []netip.AddrPort{{}}})
			if source.reads != c.reads {
				t.Errorf("%d reads, want %d", source.reads, c.reads)
			}
		})
	}
}

// countingSource counts the reads of a host list.
type countingSource struct {
	platform.HostList
	reads int
}

func (s *countingSource) Hosts(ctx context.Context) ([]platform.Host, error) {
	s.reads++
	return s.HostList.Hosts(ctx)
}

// constantRelay is a RelayClient that always returns the same answer.
type constantRelay struct{ answer ChangesAnswer }

func (r constantRelay) Changes(context.Context, netip.AddrPort, ChangesRequest) (ChangesAnswer, error) {
	return r.answer, nil
}

// Checks for arbitrary lists that the changes between two lists, applied to the first one, produce the second one.
func TestChangesReproduceTheList(t *testing.T) {
	hosts := rapid.Custom(func(t *rapid.T) platform.Host {
		return platform.Host{
			ID:    rapid.StringMatching("host-[0-9]").Draw(t, "id"),
			Role:  rapid.SampledFrom([]platform.Role{platform.RoleEntry, platform.RoleAgent}).Draw(t, "role"),
			State: rapid.SampledFrom([]platform.HostState{platform.HostLive, platform.HostLeaving}).Draw(t, "state"),
		}
	})
	lists := rapid.SliceOfNDistinct(hosts, 0, 8, func(h platform.Host) string { return h.ID })
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		held := newSnapshot(lists.Draw(t, "held"), now)
		next := held.successor(newSnapshot(lists.Draw(t, "next"), now))
		got, err := held.apply(next.changesSince(held.digest, 0, now), now)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(next.hosts, got.hosts, compareAddresses); diff != "" {
			t.Errorf("(-relay +follower):\n%s", diff)
		}
	})
}

// Checks over a real connection that a follower gets the full list if the relay doesn't know the follower's list.
func TestWholeListIsSentForAnUnknownDigest(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	relay := NewList(ctx, staticSource(entries(3)))
	<-relay.Loaded()
	registry := peer.NewRegistry()
	relay.Register(registry)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(ctx, listener, registry, []byte("secret of the test"))
	client := peer.NewClient(ctx, []byte("secret of the test"))
	answer, err := NewPeerRelayClient(client).Changes(ctx, listener.Addr().(*net.TCPAddr).AddrPort(), ChangesRequest{Digest: 12345})
	if err != nil {
		t.Fatal(err)
	}
	got, err := newSnapshot(nil, time.Time{}).apply(answer, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(relay.Hosts(), got.hosts, compareAddresses); diff != "" {
		t.Errorf("(-relay +follower):\n%s", diff)
	}
	cancel()
	relay.Wait()
	client.Wait()
	_ = server.Close()
}
