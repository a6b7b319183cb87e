package process

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	corefleet "github.com/oleandershelf/oleandershelf/internal/core/fleet"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/agent"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/fleet"
	"github.com/oleandershelf/oleandershelf/internal/edge/membership"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const (
	zonePool    = "billdesk"
	zoneName    = "om-north-a"
	zoneSecret  = "secret of the test"
	zoneServers = 4
	zoneSlots   = 8
	zoneTimeout = time.Minute
	// decisionRounds is the number of rounds of decisions on truncated data, and the number on complete data afterwards.
	decisionRounds = 5
)

// truncatingProxy forwards connections to a server. While hidden isn't 0, it cuts off the end of a response and closes the
// connection.
type truncatingProxy struct {
	listener net.Listener
	to       string
	group    conc.WaitGroup
	// hidden is the number of bytes to cut off at the end of a response: -1 for half of it, 0 for none.
	hidden      atomic.Int64
	truncations atomic.Int64
	mu          sync.Mutex
	conns       []net.Conn
}

func newTruncatingProxy(t *testing.T, to net.Addr) *truncatingProxy {
	t.Helper()
	p := &truncatingProxy{listener: listenLocal(t), to: to.String()}
	p.group.Go(p.accept)
	t.Cleanup(func() {
		_ = p.listener.Close()
		p.mu.Lock()
		for _, conn := range p.conns {
			_ = conn.Close()
		}
		p.mu.Unlock()
		p.group.Wait()
	})
	return p
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (p *truncatingProxy) address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (p *truncatingProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, client, server)
		p.mu.Unlock()
		p.group.Go(func() { p.forward(server, client, false) })
		p.group.Go(func() { p.forward(client, server, true) })
	}
}

func (p *truncatingProxy) forward(to, from net.Conn, responses bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		keep := n
		if hidden := int(p.hidden.Load()); responses && hidden != 0 {
			keep = n / 2
			if hidden > 0 {
				keep = max(0, n-hidden)
			}
			p.truncations.Add(1)
		}
		if _, err := to.Write(buffer[:keep]); err != nil || keep < n {
			return
		}
	}
}

// heldLease is a lease that is always held.
type heldLease struct{}

func (heldLease) Held(now time.Time) (platform.Version, time.Time, bool) {
	return 7, now.Add(time.Minute), true
}

// zoneFixture is an availability zone with an entry and four servers, whose responses can be truncated.
type zoneFixture struct {
	platform *standin.Server
	// listProxy and ticketProxy forward to the platform, loadProxies to the agents, and entryProxy to the entry.
	listProxy, ticketProxy, entryProxy *truncatingProxy
	loadProxies                        []*truncatingProxy
	// truncated contains the proxies that truncate responses.
	truncated []*truncatingProxy
	zone      zone
	rounds    atomic.Int64
}

// newZoneFixture starts the zone. Each server runs the given number of requests, and the entry reports the refused load.
// The selected proxies truncate every response from the first one on.
func newZoneFixture(t *testing.T, running int, refused float64, selectProxies func(f *zoneFixture) []*truncatingProxy, hidden int) *zoneFixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &zoneFixture{}
	var err error
	if f.platform, err = standin.New(ctx, listenLocal(t)); err != nil {
		t.Fatal(err)
	}
	platformAddress := net.TCPAddrFromAddrPort(netip.MustParseAddrPort(f.platform.URL()[len("http://"):]))
	f.listProxy, f.ticketProxy = newTruncatingProxy(t, platformAddress), newTruncatingProxy(t, platformAddress)
	f.startPeers(ctx, t, running, refused)
	f.truncated = selectProxies(f)
	f.setHidden(hidden)
	f.zone = zone{name: zoneName, runtime: &runtime{
		client:  peer.NewClient(ctx, []byte(zoneSecret)),
		members: membership.NewList(ctx, f.client(t, f.listProxy), membership.WithInterval(100*time.Millisecond)),
	}, follower: configuration.NewFollower(ctx, f.client(t, f.ticketProxy))}
	return f
}

func (f *zoneFixture) client(t *testing.T, proxy *truncatingProxy) *platform.Client {
	t.Helper()
	c := platform.NewClient("http://" + proxy.address().String())
	t.Cleanup(c.Close)
	return c
}

// startPeers starts one listener that answers for all agents and the entry, and adds them to the host list.
func (f *zoneFixture) startPeers(ctx context.Context, t *testing.T, running int, refused float64) {
	t.Helper()
	registry := peer.NewRegistry()
	peer.Handle(registry, agent.MethodProbe, func(context.Context, request.Probe) (request.Load, error) {
		return request.Load{Running: running, Limit: zoneSlots}, nil
	})
	peer.Handle(registry, methodRefusedLoad, func(context.Context, refusedLoadRequest) (refusedLoadResponse, error) {
		return refusedLoadResponse{Loads: map[string]float64{zonePool: refused}}, nil
	})
	l := listenLocal(t)
	peer.NewServer(ctx, l, registry, []byte(zoneSecret))
	f.entryProxy = newTruncatingProxy(t, l.Addr())
	hosts := []platform.Host{{ID: "entry-1", Role: platform.RoleEntry, AvailabilityZone: zoneName, PeerAddress: f.entryProxy.address()}}
	for i := range zoneServers {
		proxy := newTruncatingProxy(t, l.Addr())
		f.loadProxies = append(f.loadProxies, proxy)
		hosts = append(hosts, platform.Host{
			ID: fmt.Sprintf("s%d", i), Role: platform.RoleAgent, Pool: zonePool, AvailabilityZone: zoneName, PeerAddress: proxy.address(),
		})
	}
	f.platform.SetHosts(hosts)
	if err := f.platform.Order(ctx, platform.ServerOrder{AvailabilityZone: zoneName, Pool: zonePool, Count: zoneServers}); err != nil {
		t.Fatal(err)
	}
	pools := ticket.Ticket{Pools: []ticket.Pool{{
		Name: zonePool, Kind: ticket.KindService, AvailabilityZones: []string{zoneName}, MinServers: 1, MaxServers: 2 * zoneServers,
		StartupTime: ticket.Duration(time.Second),
	}}}
	if err := configuration.NewPublisher(f.platform).Apply(ctx, 1, pools); err != nil {
		t.Fatal(err)
	}
}

// setHidden sets how many bytes the selected proxies cut off from each response.
func (f *zoneFixture) setHidden(hidden int) {
	for _, proxy := range f.truncated {
		proxy.hidden.Store(int64(hidden))
	}
}

func (f *zoneFixture) waitForTruncation(t *testing.T) {
	t.Helper()
	waitUntil(t, "a response is truncated", func() bool { return f.truncated[0].truncations.Load() > 0 })
	f.waitForRounds(t)
}

// startRunner starts a runner that makes decisions until the test ends.
func (f *zoneFixture) startRunner(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	runner := fleet.New(ctx, zoneName, "entry-1", fleet.Deps{
		Keeper: heldLease{},
		Orders: f.platform,
		Gather: func(ctx context.Context, now time.Time) ([]corefleet.State, error) {
			defer f.rounds.Add(1)
			return f.zone.poolStates(ctx, now)
		},
		Drain: func(context.Context, fleet.DrainRequest) error { return nil },
	}, fleet.WithInterval(10*time.Millisecond))
	t.Cleanup(func() {
		cancel()
		runner.Wait()
	})
}

// orders returns the accepted orders without the initial order for the servers.
func (f *zoneFixture) orders() []platform.ServerOrder { return f.platform.Orders()[1:] }

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(zoneTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout: %s", what)
		}
	}
}

func (f *zoneFixture) waitForRounds(t *testing.T) {
	t.Helper()
	want := f.rounds.Load() + decisionRounds
	waitUntil(t, "rounds of decisions", func() bool { return f.rounds.Load() >= want })
}

// isComplete reports whether everything that an order depends on has been read.
func (f *zoneFixture) isComplete() bool {
	return len(f.zone.runtime.members.Servers(zonePool)) == zoneServers && len(f.zone.follower.View().Pools()) == 1
}

// Guards against orders based on truncated data. A response is truncated while an order for the zone is prepared: the load
// of an agent, the host list or the tickets of the platform, or the refused load of an entry. If the received part is
// treated as complete, too few servers are ordered: requests queue or busy servers are stopped. While data is truncated,
// only the allowed count may be ordered. After that, the count for the complete data must be ordered.
func TestShortAnswerMakesNoOrder(t *testing.T) {
	for _, test := range []struct {
		name    string
		proxies func(f *zoneFixture) []*truncatingProxy
		// allowed is the count that may be ordered without the truncated responses; 0 for none.
		allowed int
	}{
		{name: "host list", proxies: func(f *zoneFixture) []*truncatingProxy { return []*truncatingProxy{f.listProxy} }},
		{name: "tickets", proxies: func(f *zoneFixture) []*truncatingProxy { return []*truncatingProxy{f.ticketProxy} }},
		{name: "loads of all servers", proxies: func(f *zoneFixture) []*truncatingProxy { return f.loadProxies }},
		{name: "loads of two servers", proxies: func(f *zoneFixture) []*truncatingProxy { return f.loadProxies[:2] }},
		{name: "load of one server", proxies: func(f *zoneFixture) []*truncatingProxy { return f.loadProxies[:1] }, allowed: 6},
		{name: "refused load of the entry", proxies: func(f *zoneFixture) []*truncatingProxy { return []*truncatingProxy{f.entryProxy} }, allowed: 5},
	} {
		for _, hidden := range []int{1, -1} {
			t.Run(fmt.Sprintf("%s, %d bytes hidden", test.name, hidden), func(t *testing.T) {
				t.Parallel()
				f := newZoneFixture(t, zoneSlots, zoneSlots, test.proxies, hidden)
				f.startRunner(t)
				f.waitForTruncation(t)
				for _, order := range f.orders() {
					if order.Count != test.allowed {
						t.Errorf("ordered %d on truncated data, want %d", order.Count, test.allowed)
					}
				}
				f.setHidden(0)
				const want = 6
				waitUntil(t, "the order for the complete data", func() bool {
					orders := f.orders()
					return len(orders) > 0 && orders[len(orders)-1].Count == want
				})
				for _, order := range f.orders() {
					if order.Count < zoneServers {
						t.Errorf("ordered %d servers while %d run", order.Count, zoneServers)
					}
				}
			})
		}
	}
}

// Guards against stopping servers that are needed again a minute later. Nothing runs at the moment, and the first data of
// a new holder of the duty is truncated. The running servers must not be treated as surplus.
func TestShortAnswerStopsNoServer(t *testing.T) {
	for name, proxies := range map[string]func(f *zoneFixture) []*truncatingProxy{
		"host list": func(f *zoneFixture) []*truncatingProxy { return []*truncatingProxy{f.listProxy} },
		"tickets":   func(f *zoneFixture) []*truncatingProxy { return []*truncatingProxy{f.ticketProxy} },
		"loads":     func(f *zoneFixture) []*truncatingProxy { return f.loadProxies },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newZoneFixture(t, 0, 0, proxies, 1)
			if name != "tickets" {
				waitUntil(t, "the tickets are read", func() bool { return len(f.zone.follower.View().Pools()) == 1 })
			}
			f.startRunner(t)
			f.waitForTruncation(t)
			f.setHidden(0)
			waitUntil(t, "the data is complete", f.isComplete)
			f.waitForRounds(t)
			if orders := f.orders(); len(orders) > 0 {
				t.Errorf("ordered %v", orders)
			}
		})
	}
}
