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

var errDisconnected = errors.New("connection is interrupted")

const (
	// startInterval spreads the hosts over all phases of their polls, which last up to a second.
	startInterval = 37 * time.Millisecond
	// maxLatency is the maximum latency of a call to a peer.
	maxLatency = 2 * time.Millisecond
)

// network connects followers within the test and can partition them.
type network struct {
	mutex sync.Mutex
	hosts map[netip.AddrPort]*member
	list  []platform.Host
}

// member is one host of the network.
type member struct {
	host         platform.Host
	follower     *Follower
	store        *disconnectableStore
	disconnected bool
	// extraLatency is added to the latency of calls to this host.
	extraLatency time.Duration
	stop         func()
}

// disconnectableStore is the platform as one host reaches it.
type disconnectableStore struct {
	platform.Store
	mutex        sync.Mutex
	disconnected bool
}

func (s *disconnectableStore) setDisconnected(disconnected bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.disconnected = disconnected
}

func (s *disconnectableStore) isDisconnected() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.disconnected
}

func (s *disconnectableStore) Get(ctx context.Context, name string) (platform.Object, error) {
	if s.isDisconnected() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, name)
}

func (s *disconnectableStore) Watch(ctx context.Context, name string, after platform.Version, wait time.Duration) (platform.Object, error) {
	if s.isDisconnected() {
		return platform.Object{}, platform.ErrUnavailable
	}
	object, err := s.Store.Watch(ctx, name, after, wait)
	if s.isDisconnected() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return object, err
}

func (n *network) Entries() []platform.Host { return n.list }
func (n *network) Hosts() []platform.Host   { return n.list }

// networkClient is a RelayClient for one host of the network.
type networkClient struct {
	network *network
	from    netip.AddrPort
}

// reach returns the host at the address after the latency. If either side is disconnected, it blocks until ctx ends.
func (c networkClient) reach(ctx context.Context, to netip.AddrPort) (*Follower, error) {
	if f, latency := c.lookUp(to); f != nil {
		<-time.After(latency)
		return f, nil
	}
	<-ctx.Done()
	return nil, errDisconnected
}

// lookUp returns the host at the address and the latency to it; nil if either side is disconnected.
func (c networkClient) lookUp(to netip.AddrPort) (*Follower, time.Duration) {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	from, target := c.network.hosts[c.from], c.network.hosts[to]
	if target == nil || target.disconnected || from != nil && from.disconnected {
		return nil, 0
	}
	return target.follower, target.extraLatency + rand.N(maxLatency)
}

func (c networkClient) Follow(ctx context.Context, to netip.AddrPort, request FollowRequest) (FollowResponse, error) {
	f, err := c.reach(ctx, to)
	if err != nil {
		return FollowResponse{}, err
	}
	response, err := f.HandleFollow(ctx, request)
	if err != nil {
		return FollowResponse{}, err
	}
	_, err = c.reach(ctx, to)
	return response, err
}

func (c networkClient) Parts(ctx context.Context, to netip.AddrPort, request PartsRequest) (PartsResponse, error) {
	f, err := c.reach(ctx, to)
	if err != nil {
		return PartsResponse{}, err
	}
	return f.HandleParts(ctx, request)
}

func (c networkClient) Offer(ctx context.Context, to netip.AddrPort, offer Offer) (OfferResponse, error) {
	f, err := c.reach(ctx, to)
	if err != nil {
		return OfferResponse{}, err
	}
	return f.HandleOffer(ctx, offer)
}

func (c networkClient) InForce(ctx context.Context, to netip.AddrPort, request InForceRequest) (InForceResponse, error) {
	f, err := c.reach(ctx, to)
	if err != nil {
		return InForceResponse{}, err
	}
	return f.HandleInForce(ctx, request)
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
		<-time.After(startInterval)
	}
	return n
}

// freshNetwork returns a platform with one ticket and hosts that all serve from it.
func freshNetwork(t *testing.T, perZone int) (*standin.Memory, *network) {
	t.Helper()
	memory := newMemory(t)
	n := newNetwork(t, memory, perZone)
	eventually(t, "all are fresh", onAll(n.all(), fresh))
	return memory, n
}

// start starts or restarts a host.
func (n *network) start(t *testing.T, store platform.Store, host platform.Host) *member {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	hostStore := &disconnectableStore{Store: store}
	self := Self{HostID: host.ID, AvailabilityZone: host.AvailabilityZone}
	f := NewFollower(ctx, hostStore, WithRelays(networkClient{network: n, from: host.PeerAddress}, n, self))
	m := &member{host: host, follower: f, store: hostStore, stop: func() {
		cancel()
		f.Wait()
	}}
	n.mutex.Lock()
	n.hosts[host.PeerAddress] = m
	n.mutex.Unlock()
	t.Cleanup(m.stop)
	return m
}

func (n *network) setDisconnected(m *member, disconnected bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m.disconnected = disconnected
}

func (n *network) setExtraLatency(m *member, extraLatency time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m.extraLatency = extraLatency
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

// onAll returns a function that reports whether ok holds on all of the hosts.
func onAll(members []*member, ok func(*Follower) bool) func() bool {
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
	for started := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if ok() {
			return time.Since(started)
		}
		if time.Since(started) > 30*time.Second {
			t.Fatalf("condition not met within 30s: %s", what)
		}
	}
}

// always checks that ok holds for the given time.
func always(t *testing.T, what string, length time.Duration, ok func() bool) {
	t.Helper()
	for started := time.Now(); time.Since(started) < length; time.Sleep(5 * time.Millisecond) {
		if !ok() {
			t.Fatalf("condition no longer met: %s", what)
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
