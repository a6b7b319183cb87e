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
	zoneLimit   = time.Minute
	// zoneRounds of decisions are taken on a view that is cut, and as many after.
	zoneRounds = 5
)

// shortener stands before a listener and, while it is on, passes only a part of each answer and hangs up.
type shortener struct {
	listener net.Listener
	to       string
	group    conc.WaitGroup
	// hidden is how many of the last bytes of an answer are kept back; -1 for half of it, 0 for none.
	hidden atomic.Int64
	cuts   atomic.Int64
	mu     sync.Mutex
	conns  []net.Conn
}

func newShortener(t *testing.T, to net.Addr) *shortener {
	t.Helper()
	s := &shortener{listener: listenLocal(t), to: to.String()}
	s.group.Go(s.accept)
	t.Cleanup(func() {
		_ = s.listener.Close()
		s.mu.Lock()
		for _, conn := range s.conns {
			_ = conn.Close()
		}
		s.mu.Unlock()
		s.group.Wait()
	})
	return s
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (s *shortener) address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

func (s *shortener) accept() {
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", s.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		s.mu.Lock()
		s.conns = append(s.conns, near, far)
		s.mu.Unlock()
		s.group.Go(func() { s.pass(far, near, false) })
		s.group.Go(func() { s.pass(near, far, true) })
	}
}

func (s *shortener) pass(to, from net.Conn, answers bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		keep := n
		if hidden := int(s.hidden.Load()); answers && hidden != 0 {
			keep = n / 2
			if hidden > 0 {
				keep = max(0, n-hidden)
			}
			s.cuts.Add(1)
		}
		if _, err := to.Write(buffer[:keep]); err != nil || keep < n {
			return
		}
	}
}

// always is a lease that is held.
type always struct{}

func (always) Held(now time.Time) (platform.Version, time.Time, bool) {
	return 7, now.Add(time.Minute), true
}

// zoneWorld is an availability zone with an entry and four servers, whose answers can be cut short.
type zoneWorld struct {
	memory *standin.Server
	// list and tickets are the ways to the platform, loads those to the agents, entry the one to the entry.
	list, tickets, entry *shortener
	loads                []*shortener
	// cut are the ways whose answers are cut short.
	cut    []*shortener
	seen   zone
	rounds atomic.Int64
}

// newZoneWorld starts the zone; each server has so many requests running, and the entry refused so much. What
// comes on the chosen ways is cut from the first answer on.
func newZoneWorld(t *testing.T, running int, refused float64, choose func(w *zoneWorld) []*shortener, hidden int) *zoneWorld {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &zoneWorld{}
	var err error
	if w.memory, err = standin.New(ctx, listenLocal(t)); err != nil {
		t.Fatal(err)
	}
	platformAddress := net.TCPAddrFromAddrPort(netip.MustParseAddrPort(w.memory.URL()[len("http://"):]))
	w.list, w.tickets = newShortener(t, platformAddress), newShortener(t, platformAddress)
	w.startPeers(ctx, t, running, refused)
	w.cut = choose(w)
	w.hide(hidden)
	w.seen = zone{name: zoneName, runtime: &runtime{
		client:  peer.NewClient(ctx, []byte(zoneSecret)),
		members: membership.NewList(ctx, w.client(t, w.list), membership.WithInterval(100*time.Millisecond)),
	}, follower: configuration.NewFollower(ctx, w.client(t, w.tickets))}
	return w
}

func (w *zoneWorld) client(t *testing.T, way *shortener) *platform.Client {
	t.Helper()
	c := platform.NewClient("http://" + way.address().String())
	t.Cleanup(c.Close)
	return c
}

// startPeers starts one listener that answers for all agents and the entry, and lists them.
func (w *zoneWorld) startPeers(ctx context.Context, t *testing.T, running int, refused float64) {
	t.Helper()
	registry := peer.NewRegistry()
	peer.Handle(registry, agent.MethodProbe, func(context.Context, request.Probe) (request.Load, error) {
		return request.Load{Running: running, Limit: zoneSlots}, nil
	})
	peer.Handle(registry, methodTurnedAway, func(context.Context, turnedAwayAsk) (turnedAwayAnswer, error) {
		return turnedAwayAnswer{Loads: map[string]float64{zonePool: refused}}, nil
	})
	l := listenLocal(t)
	peer.NewServer(ctx, l, registry, []byte(zoneSecret))
	w.entry = newShortener(t, l.Addr())
	hosts := []platform.Host{{ID: "entry-1", Role: platform.RoleEntry, AvailabilityZone: zoneName, PeerAddress: w.entry.address()}}
	for i := range zoneServers {
		way := newShortener(t, l.Addr())
		w.loads = append(w.loads, way)
		hosts = append(hosts, platform.Host{
			ID: fmt.Sprintf("s%d", i), Role: platform.RoleAgent, Pool: zonePool, AvailabilityZone: zoneName, PeerAddress: way.address(),
		})
	}
	w.memory.SetHosts(hosts)
	if err := w.memory.Order(ctx, platform.ServerOrder{AvailabilityZone: zoneName, Pool: zonePool, Count: zoneServers}); err != nil {
		t.Fatal(err)
	}
	pools := ticket.Ticket{Pools: []ticket.Pool{{
		Name: zonePool, Kind: ticket.KindService, AvailabilityZones: []string{zoneName}, MinServers: 1, MaxServers: 2 * zoneServers,
		StartupTime: ticket.Duration(time.Second),
	}}}
	if err := configuration.NewPublisher(w.memory).Apply(ctx, 1, pools); err != nil {
		t.Fatal(err)
	}
}

// hide sets how much of each answer on the chosen ways is kept back.
func (w *zoneWorld) hide(hidden int) {
	for _, way := range w.cut {
		way.hidden.Store(int64(hidden))
	}
}

func (w *zoneWorld) waitCut(t *testing.T) {
	t.Helper()
	waitUntil(t, "an answer is cut", func() bool { return w.cut[0].cuts.Load() > 0 })
	w.waitRounds(t)
}

// order takes decisions until the test ends.
func (w *zoneWorld) order(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	runner := fleet.New(ctx, zoneName, "entry-1", fleet.Deps{
		Keeper: always{},
		Orders: w.memory,
		Gather: func(ctx context.Context, now time.Time) ([]corefleet.State, error) {
			defer w.rounds.Add(1)
			return w.seen.gather(ctx, now)
		},
		Drain: func(context.Context, fleet.DrainRequest) error { return nil },
	}, fleet.WithInterval(10*time.Millisecond))
	t.Cleanup(func() {
		cancel()
		runner.Wait()
	})
}

// orders returns what was ordered, without the order that started the servers.
func (w *zoneWorld) orders() []platform.ServerOrder { return w.memory.Orders()[1:] }

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(zoneLimit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func (w *zoneWorld) waitRounds(t *testing.T) {
	t.Helper()
	want := w.rounds.Load() + zoneRounds
	waitUntil(t, "rounds of decisions", func() bool { return w.rounds.Load() >= want })
}

// whole reports whether everything that an order rests on has been read.
func (w *zoneWorld) whole() bool {
	return len(w.seen.runtime.members.Servers(zonePool)) == zoneServers && len(w.seen.follower.View().Pools()) == 1
}

// Callers wait in line, or servers are stopped while they work: the answer of an agent with its load, of the
// platform with the host list or the tickets, or of an entry with what it refused is cut short while an order for
// the zone is prepared, and the part that came is taken for the whole. Nothing may be ordered while the view has
// gaps, unless the count is the one that the whole view gives; and that one must be ordered in the end.
func TestShortAnswerMakesNoOrder(t *testing.T) {
	for _, test := range []struct {
		name string
		ways func(w *zoneWorld) []*shortener
		// known is the count that may be ordered without them; 0 for none.
		known int
	}{
		{name: "host list", ways: func(w *zoneWorld) []*shortener { return []*shortener{w.list} }},
		{name: "tickets", ways: func(w *zoneWorld) []*shortener { return []*shortener{w.tickets} }},
		{name: "loads of all servers", ways: func(w *zoneWorld) []*shortener { return w.loads }},
		{name: "loads of two servers", ways: func(w *zoneWorld) []*shortener { return w.loads[:2] }},
		{name: "load of one server", ways: func(w *zoneWorld) []*shortener { return w.loads[:1] }, known: 6},
		{name: "what the entry refused", ways: func(w *zoneWorld) []*shortener { return []*shortener{w.entry} }, known: 5},
	} {
		for _, hidden := range []int{1, -1} {
			t.Run(fmt.Sprintf("%s, %d bytes hidden", test.name, hidden), func(t *testing.T) {
				t.Parallel()
				w := newZoneWorld(t, zoneSlots, zoneSlots, test.ways, hidden)
				w.order(t)
				w.waitCut(t)
				for _, order := range w.orders() {
					if order.Count != test.known {
						t.Errorf("ordered %d on a view with gaps, want %d", order.Count, test.known)
					}
				}
				w.hide(0)
				const want = 6
				waitUntil(t, "the whole view's order", func() bool {
					orders := w.orders()
					return len(orders) > 0 && orders[len(orders)-1].Count == want
				})
				for _, order := range w.orders() {
					if order.Count < zoneServers {
						t.Errorf("ordered %d while %d run", order.Count, zoneServers)
					}
				}
			})
		}
	}
}

// Servers are stopped while they are wanted again in a minute: nothing runs for the moment, and the first view of a
// new holder is cut short. What the platform runs must not be taken for more than what was ordered.
func TestShortAnswerStopsNoServer(t *testing.T) {
	for name, ways := range map[string]func(w *zoneWorld) []*shortener{
		"host list": func(w *zoneWorld) []*shortener { return []*shortener{w.list} },
		"tickets":   func(w *zoneWorld) []*shortener { return []*shortener{w.tickets} },
		"loads":     func(w *zoneWorld) []*shortener { return w.loads },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newZoneWorld(t, 0, 0, ways, 1)
			if name != "tickets" {
				waitUntil(t, "the tickets are read", func() bool { return len(w.seen.follower.View().Pools()) == 1 })
			}
			w.order(t)
			w.waitCut(t)
			w.hide(0)
			waitUntil(t, "the view is whole", w.whole)
			w.waitRounds(t)
			if orders := w.orders(); len(orders) > 0 {
				t.Errorf("ordered %v", orders)
			}
		})
	}
}
