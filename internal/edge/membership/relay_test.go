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
	errCut     = errors.New("connection is cut")
	compareAny = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
)

// network connects the lists of a test, with cuts.
type network struct {
	t     *testing.T
	store *standin.Memory
	hosts []platform.Host

	mutex sync.Mutex
	lists map[netip.AddrPort]*List
	// cut hosts are reached by nobody; apart hosts can't read the platform; mute hosts reach nobody.
	cut, apart, mute map[netip.AddrPort]bool
	// reads counts the reads of the platform by host.
	reads map[netip.AddrPort]int
}

// member is one host's way to the platform and to its peers.
type member struct {
	*network
	address netip.AddrPort
}

func (m member) Hosts(ctx context.Context) ([]platform.Host, error) {
	m.mutex.Lock()
	m.reads[m.address]++
	apart := m.apart[m.address]
	m.mutex.Unlock()
	if apart {
		return nil, platform.ErrUnavailable
	}
	return m.store.Hosts(ctx)
}

func (m member) Changes(ctx context.Context, to netip.AddrPort, ask ChangesAsk) (ChangesAnswer, error) {
	m.mutex.Lock()
	list, cut := m.lists[to], m.cut[to] || m.cut[m.address] || m.mute[m.address]
	m.mutex.Unlock()
	if list == nil || cut {
		return ChangesAnswer{}, errCut
	}
	return list.HandleChanges(ctx, ask)
}

// newNetwork has three availability zones of four entries.
func newNetwork(t *testing.T) *network {
	n := &network{
		t: t, lists: map[netip.AddrPort]*List{}, cut: map[netip.AddrPort]bool{},
		apart: map[netip.AddrPort]bool{}, mute: map[netip.AddrPort]bool{}, reads: map[netip.AddrPort]int{},
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

// start starts all hosts and waits until each has a list. The lists end with the test.
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
	m := member{network: n, address: host.PeerAddress}
	self := Self{HostID: host.ID, AvailabilityZone: host.AvailabilityZone}
	list := NewList(ctx, m, append(opts, WithInterval(testInterval), WithRelays(m, self))...)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lists[host.PeerAddress] = list
	return list
}

func (n *network) set(where map[netip.AddrPort]bool, address netip.AddrPort, on bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	where[address] = on
}

func (n *network) readsBy(address netip.AddrPort) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.reads[address]
}

// split returns the relays and the others of lakeside.
func (n *network) split() (relays, others []*List, addresses []netip.AddrPort) {
	for _, host := range ZoneRelays(relayPurpose, n.hosts, relaysPerZone)["lakeside"] {
		addresses = append(addresses, host.PeerAddress)
		relays = append(relays, n.lists[host.PeerAddress])
	}
	for _, host := range n.hosts {
		if host.AvailabilityZone == "lakeside" && !slices.Contains(addresses, host.PeerAddress) {
			others = append(others, n.lists[host.PeerAddress])
		}
	}
	return relays, others, addresses
}

// stop takes a host off the platform's list.
func (n *network) stop(id string) {
	n.store.SetHosts(slices.DeleteFunc(slices.Clone(n.hosts), func(h platform.Host) bool { return h.ID == id }))
}

func lists(l *List, id string) bool { return slices.Contains(names(l.Hosts()), id) }

// TestFollowersReadOnce is the load of 2,580 hosts.
//
// What an operator would see: 516 reads of the host list a second, a quarter of what the platform takes, and
// 68 KB/s at each host. Each host reads once when it starts; after that the relays alone read, and the
// others still learn each change and know the list's age.
func TestFollowersReadOnce(t *testing.T) {
	n := newNetwork(t)
	n.start()
	_, others, _ := n.split()
	n.stop("entry-00")
	for _, l := range others {
		eventually(t, "the follower learns the change", func() bool { return !lists(l, "entry-00") })
		eventually(t, "the list is handed on", func() bool { return l.State().(State).HandedOn })
		if age := l.Age(time.Now()); age > 20*testInterval {
			t.Errorf("age %v", age)
		}
	}
	before := map[netip.AddrPort]int{}
	for address := range n.lists {
		before[address] = n.readsBy(address)
	}
	relays, _, _ := n.split()
	first := n.readsOf(relays)
	eventually(t, "the relays read on", func() bool { return n.readsOf(relays) > first+4 })
	for address, l := range n.lists {
		if reads := n.readsBy(address) - before[address]; !l.State().(State).Relay && reads > 0 {
			t.Errorf("%s is no relay and read %d times", address, reads)
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

// TestRelayGone is the death of a relay.
//
// What a caller would see: a third of a zone's hosts go on sending to a server that was stopped. The
// followers of the dead relay turn to the other one.
func TestRelayGone(t *testing.T) {
	for _, which := range []int{0, 1} {
		t.Run(fmt.Sprint("relay ", which), func(t *testing.T) { relayGone(t, which) })
	}
}

func relayGone(t *testing.T, which int) {
	n := newNetwork(t)
	n.start()
	_, others, addresses := n.split()
	for _, l := range others {
		eventually(t, "the list is handed on", func() bool { return l.State().(State).HandedOn })
	}
	n.set(n.cut, addresses[which], true)
	n.stop("entry-00")
	for _, l := range others {
		eventually(t, "the follower learns the change", func() bool { return !lists(l, "entry-00") })
	}
}

// TestBothRelaysGone is the death of both relays of a zone at once: the neighbour zones' relays help.
func TestBothRelaysGone(t *testing.T) {
	n := newNetwork(t)
	n.start()
	_, others, addresses := n.split()
	for _, address := range addresses {
		n.set(n.cut, address, true)
	}
	for _, l := range others {
		eventually(t, "the list comes from a neighbour", func() bool { return l.State().(State).HandedOn })
	}
	n.stop("entry-00")
	for _, l := range others {
		eventually(t, "the follower learns the change", func() bool { return !lists(l, "entry-00") })
	}
}

// TestStaleRelay is a relay that can't reach the platform any more, nor the other relays.
//
// What a caller would see: a server that was stopped is live again and gets requests. The relay's list stays
// behind; its followers turn away from it as it ages, and never take the old list for a newer one.
func TestStaleRelay(t *testing.T) {
	for _, which := range []int{0, 1} {
		t.Run(fmt.Sprint("relay ", which), func(t *testing.T) { staleRelay(t, which) })
	}
}

func staleRelay(t *testing.T, which int) {
	n := newNetwork(t)
	n.start()
	relays, others, addresses := n.split()
	n.set(n.apart, addresses[which], true)
	n.set(n.mute, addresses[which], true)
	stale := relays[which]
	old := stale.current.Load()
	n.stop("entry-00")
	for _, l := range others {
		eventually(t, "the follower learns the change", func() bool { return !lists(l, "entry-00") })
	}
	reads := n.readsBy(addresses[1-which])
	eventually(t, "the other relay reads on", func() bool {
		for _, l := range others {
			if lists(l, "entry-00") {
				t.Fatal("the stopped host came back")
			}
		}
		return n.readsBy(addresses[1-which]) > reads+8
	})
	if old.digest != stale.current.Load().digest {
		t.Error("the stale relay learnt the change; the test shows nothing")
	}
}

// TestRelayApartAsksOthers is a relay that can't reach the platform and can reach other relays.
//
// What an operator would see: a zone whose hosts keep an old list although the next zone has a new one.
func TestRelayApartAsksOthers(t *testing.T) {
	n := newNetwork(t)
	n.start()
	relays, _, addresses := n.split()
	for _, address := range addresses {
		n.set(n.apart, address, true)
	}
	n.stop("entry-00")
	for _, l := range relays {
		eventually(t, "the relay learns the change from a neighbour", func() bool { return !lists(l, "entry-00") })
	}
}

// TestOutageAges is an outage of the platform.
//
// What an operator would see: servers ordered on a list that looks fresh because peers confirm it to each other.
// All hosts keep the list, and its age grows on followers as on relays, so that nothing is ordered on it.
func TestOutageAges(t *testing.T) {
	n := newNetwork(t)
	n.start()
	_, others, _ := n.split()
	eventually(t, "the list is handed on", func() bool { return others[0].State().(State).HandedOn })
	n.store.SetOutage(true)
	began := time.Now()
	for _, l := range n.lists {
		eventually(t, "the age grows", func() bool { return l.Age(time.Now()) > 6*testInterval })
		if len(l.Hosts()) != len(n.hosts) {
			t.Errorf("%d hosts are left", len(l.Hosts()))
		}
	}
	for _, l := range n.lists {
		if read := time.Now().Add(-l.Age(time.Now())); read.After(began.Add(testInterval)) {
			t.Errorf("a list counts as read %v after the outage began", read.Sub(began))
		}
	}
	n.store.SetOutage(false)
	for _, l := range n.lists {
		eventually(t, "the list is read again", func() bool { return l.Age(time.Now()) < 3*testInterval })
	}
}

// TestStartInOutageFollows is a host that starts while the platform is down and gets a first list from a peer.
//
// What an operator would see: a list that never gets an age on that host, so that it never acts on it, or an age
// that starts at zero. The host follows the relays of that list, and takes over the age of their read.
func TestStartInOutageFollows(t *testing.T) {
	n := newNetwork(t)
	n.start()
	n.store.SetOutage(true)
	began := time.Now()
	late := platform.Host{ID: "late", AvailabilityZone: "lakeside", PeerAddress: netip.MustParseAddrPort("10.0.0.9:7100")}
	ctx, cancel := context.WithCancel(context.Background())
	l := n.add(ctx, late, WithFallback(fixed(n.hosts)))
	<-l.Loaded()
	eventually(t, "the list has an age", func() bool { return !l.State().(State).Read.IsZero() })
	if read := l.State().(State).Read; read.After(began) {
		t.Errorf("read %v after the outage began", read.Sub(began))
	}
	cancel()
	l.Wait()
}

// TestOlderListIsRefused hands a host lists that were read before and after its own.
func TestOlderListIsRefused(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name  string
		age   time.Duration
		taken bool
	}{
		{name: "read later", age: time.Second, taken: true},
		{name: "read before", age: time.Minute},
		{name: "never read", age: noAge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := &List{interval: time.Minute, loaded: make(chan struct{})}
			l.current.Store(newSnapshot(entries(2), now.Add(-10*time.Second)))
			offered := newSnapshot(entries(3), now).answer(0, 0, now)
			offered.Age = c.age
			l.exchange = always{offered}
			_, err := l.ask(context.Background(), netip.AddrPort{}, 0)
			if taken := len(l.Hosts()) == 3; taken != c.taken || taken != (err == nil) {
				t.Errorf("taken %v, %v", taken, err)
			}
		})
	}
}

// TestTurns: a relay reads in its own turn, and in another's only if that was missed.
//
// What an operator would see: 44 relays that receive 114 KB/s each, or, after the death of the relay whose turn
// it is, a list that is too old to order servers on.
func TestTurns(t *testing.T) {
	now := time.Now()
	newer := newSnapshot(entries(3), now).answer(0, 0, now)
	missed := ChangesAnswer{Digest: newer.Digest, Age: noAge}
	cases := []struct {
		name   string
		self   int
		answer ChangesAnswer
		age    time.Duration
		reads  int
	}{
		{name: "own turn", answer: newer, reads: 1},
		{name: "another's turn", self: 1, answer: newer, age: 2 * time.Minute},
		{name: "another's turn is late", self: 1, answer: missed, age: time.Minute},
		{name: "another's turn was missed", self: 1, answer: missed, age: 2 * time.Minute, reads: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			source := &counted{HostList: fixed(entries(3))}
			l := &List{interval: time.Minute, loaded: make(chan struct{}), source: source, exchange: always{c.answer}}
			l.current.Store(newSnapshot(entries(2), time.Now().Add(-c.age)))
			ended, end := context.WithCancel(context.Background())
			end() // a pause ends at once
			l.takeTurn(ended, route{relay: true, self: c.self, readers: []netip.AddrPort{{}}})
			if source.reads != c.reads {
				t.Errorf("%d reads, not %d", source.reads, c.reads)
			}
		})
	}
}

type counted struct {
	platform.HostList
	reads int
}

func (c *counted) Hosts(ctx context.Context) ([]platform.Host, error) {
	c.reads++
	return c.HostList.Hosts(ctx)
}

type always struct{ answer ChangesAnswer }

func (a always) Changes(context.Context, netip.AddrPort, ChangesAsk) (ChangesAnswer, error) {
	return a.answer, nil
}

// TestChangesLeadToTheList: whatever two lists are, the changes between them lead from one to the other.
func TestChangesLeadToTheList(t *testing.T) {
	hosts := rapid.Custom(func(t *rapid.T) platform.Host {
		return platform.Host{
			ID:    rapid.StringMatching("host-[0-9]").Draw(t, "id"),
			Role:  rapid.SampledFrom([]platform.Role{platform.RoleEntry, platform.RoleAgent}).Draw(t, "role"),
			State: rapid.SampledFrom([]platform.HostState{platform.HostLive, platform.HostLeaving}).Draw(t, "state"),
		}
	})
	rows := rapid.SliceOfNDistinct(hosts, 0, 8, func(h platform.Host) string { return h.ID })
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		held := newSnapshot(rows.Draw(t, "held"), now)
		next := held.after(newSnapshot(rows.Draw(t, "next"), now))
		got, err := held.apply(next.answer(held.digest, 0, now), now)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(next.hosts, got.hosts, compareAny); diff != "" {
			t.Errorf("(-relay +follower):\n%s", diff)
		}
	})
}

// TestUnknownListIsSentWhole: a follower whose list the relay has forgotten gets all rows, over a connection.
func TestUnknownListIsSentWhole(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	relay := NewList(ctx, fixed(entries(3)))
	<-relay.Loaded()
	registry := peer.NewRegistry()
	relay.Register(registry)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(ctx, listener, registry, []byte("secret of the test"))
	client := peer.NewClient(ctx, []byte("secret of the test"))
	answer, err := NewPeerExchange(client).Changes(ctx, listener.Addr().(*net.TCPAddr).AddrPort(), ChangesAsk{Digest: 12345})
	if err != nil {
		t.Fatal(err)
	}
	got, err := newSnapshot(nil, time.Time{}).apply(answer, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(relay.Hosts(), got.hosts, compareAny); diff != "" {
		t.Errorf("(-relay +follower):\n%s", diff)
	}
	cancel()
	relay.Wait()
	client.Wait()
	_ = server.Close()
}
