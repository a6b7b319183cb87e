package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

var errCut = errors.New("connection is cut")

const (
	// startApart spreads the hosts over all phases of their polls, which last up to a second.
	startApart = 37 * time.Millisecond
	// longestWay is the longest time that a call takes to a peer.
	longestWay = 2 * time.Millisecond
)

// network connects followers within the test, with cuts.
type network struct {
	mutex sync.Mutex
	hosts map[netip.AddrPort]*member
	list  []platform.Host
}

// member is one host of the network.
type member struct {
	host     platform.Host
	follower *Follower
	store    *cuttable
	cut      bool
	// slow is added to the way to this host.
	slow time.Duration
	stop func()
}

// cuttable is the platform as one host reaches it.
type cuttable struct {
	platform.Store
	mutex sync.Mutex
	cut   bool
}

func (c *cuttable) setCut(cut bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut = cut
}

func (c *cuttable) isCut() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cut
}

func (c *cuttable) Get(ctx context.Context, name string) (platform.Object, error) {
	if c.isCut() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return c.Store.Get(ctx, name)
}

func (c *cuttable) Watch(ctx context.Context, name string, after platform.Version, wait time.Duration) (platform.Object, error) {
	if c.isCut() {
		return platform.Object{}, platform.ErrUnavailable
	}
	object, err := c.Store.Watch(ctx, name, after, wait)
	if c.isCut() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return object, err
}

func (n *network) Entries() []platform.Host { return n.list }
func (n *network) Hosts() []platform.Host   { return n.list }

// exchange is the network as one host reaches it.
type exchange struct {
	network *network
	from    netip.AddrPort
}

// peer returns the host at the address after the way there. A cut is silent: the question ends with its timeout.
func (e exchange) peer(ctx context.Context, to netip.AddrPort) (*Follower, error) {
	if f, way := e.reached(to); f != nil {
		<-time.After(way)
		return f, nil
	}
	<-ctx.Done()
	return nil, errCut
}

// reached returns the host at the address and how long the way to it is; nil if either side is cut off.
func (e exchange) reached(to netip.AddrPort) (*Follower, time.Duration) {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	from, target := e.network.hosts[e.from], e.network.hosts[to]
	if target == nil || target.cut || from != nil && from.cut {
		return nil, 0
	}
	return target.follower, target.slow + rand.N(longestWay)
}

func (e exchange) Follow(ctx context.Context, to netip.AddrPort, ask FollowAsk) (FollowAnswer, error) {
	f, err := e.peer(ctx, to)
	if err != nil {
		return FollowAnswer{}, err
	}
	answer, err := f.HandleFollow(ctx, ask)
	if err != nil {
		return FollowAnswer{}, err
	}
	_, err = e.peer(ctx, to)
	return answer, err
}

func (e exchange) Parts(ctx context.Context, to netip.AddrPort, ask PartsAsk) (PartsAnswer, error) {
	f, err := e.peer(ctx, to)
	if err != nil {
		return PartsAnswer{}, err
	}
	return f.HandleParts(ctx, ask)
}

func (e exchange) Offer(ctx context.Context, to netip.AddrPort, offer Offer) (OfferAnswer, error) {
	f, err := e.peer(ctx, to)
	if err != nil {
		return OfferAnswer{}, err
	}
	return f.HandleOffer(ctx, offer)
}

func (e exchange) InForce(ctx context.Context, to netip.AddrPort, ask InForceAsk) (InForceAnswer, error) {
	f, err := e.peer(ctx, to)
	if err != nil {
		return InForceAnswer{}, err
	}
	return f.HandleInForce(ctx, ask)
}

var zones = []string{"lakeside", "sarangkot", "begnas"}

// newNetwork starts entries in three availability zones.
func newNetwork(t *testing.T, store platform.Store, perZone int) *network {
	t.Helper()
	n := &network{hosts: map[netip.AddrPort]*member{}}
	for i := range perZone * len(zones) {
		n.list = append(n.list, platform.Host{
			ID: fmt.Sprintf("entry-%02d", i), Role: platform.RoleEntry, State: platform.HostLive,
			AvailabilityZone: zones[i%len(zones)],
			PeerAddress:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7400),
		})
	}
	for _, host := range n.list {
		n.start(t, store, host)
		<-time.After(startApart)
	}
	return n
}

// freshNetwork returns a platform with one ticket and hosts that all serve by it.
func freshNetwork(t *testing.T, perZone int) (*standin.Memory, *network) {
	t.Helper()
	memory := newMemory(t)
	n := newNetwork(t, memory, perZone)
	eventually(t, "all are fresh", every(n.all(), fresh))
	return memory, n
}

// start starts or restarts a host.
func (n *network) start(t *testing.T, store platform.Store, host platform.Host) *member {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	reached := &cuttable{Store: store}
	self := Self{HostID: host.ID, AvailabilityZone: host.AvailabilityZone}
	f := NewFollower(ctx, reached, WithExchange(exchange{network: n, from: host.PeerAddress}, n, self))
	m := &member{host: host, follower: f, store: reached, stop: func() {
		cancel()
		f.Wait()
	}}
	n.mutex.Lock()
	n.hosts[host.PeerAddress] = m
	n.mutex.Unlock()
	t.Cleanup(m.stop)
	return m
}

func (n *network) setCut(m *member, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m.cut = cut
}

func (n *network) setSlow(m *member, slow time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m.slow = slow
}

// members returns the hosts that are relays, or those that are not.
func (n *network) members(relay bool) []*member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []*member
	for _, host := range n.list {
		m := n.hosts[host.PeerAddress]
		if m.follower.route().relay == relay {
			found = append(found, m)
		}
	}
	return found
}

func (n *network) all() []*member { return append(n.members(true), n.members(false)...) }

// every reports whether ok holds on all of the hosts.
func every(members []*member, ok func(*Follower) bool) func() bool {
	return func() bool {
		for _, m := range members {
			if !ok(m.follower) {
				return false
			}
		}
		return true
	}
}

func fresh(f *Follower) bool { return f.Fresh(time.Now()) }

func hasTicket(number int) func(*Follower) bool {
	return func(f *Follower) bool { return f.View().LastTicket() >= number }
}

// eventually waits until ok holds, and returns how long that took.
func eventually(t *testing.T, what string, ok func() bool) time.Duration {
	t.Helper()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if ok() {
			return time.Since(began)
		}
		if time.Since(began) > 30*time.Second {
			t.Fatalf("never: %s", what)
		}
	}
}

// always expects ok to hold for a time.
func always(t *testing.T, what string, length time.Duration, ok func() bool) {
	t.Helper()
	for began := time.Now(); time.Since(began) < length; time.Sleep(5 * time.Millisecond) {
		if !ok() {
			t.Fatalf("not always: %s", what)
		}
	}
}

func apply(t *testing.T, store platform.Store, number, weight int, opts ...PublisherOption) {
	t.Helper()
	if err := NewPublisher(store, opts...).Apply(context.Background(), number, weightTicket("sahil", weight)); err != nil {
		t.Fatal(err)
	}
}

// newMemory returns a platform with one ticket.
func newMemory(t *testing.T) *standin.Memory {
	t.Helper()
	memory := standin.NewMemory()
	apply(t, memory, 1, 1)
	return memory
}
