package process

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"net/url"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/roster"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/admin"
	"github.com/oleandershelf/oleandershelf/internal/edge/batchjob"
	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/gateway"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/leader"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/store"
	"github.com/oleandershelf/oleandershelf/internal/edge/view"
	"github.com/oleandershelf/oleandershelf/internal/program/settings"
)

const (
	// platformDial bounds a connection to the platform; it answers within milliseconds.
	platformDial = 500 * time.Millisecond
	// serverDial bounds a connection to a backend server. A lost packet of the set-up is sent again after a second, and by
	// then another server has answered.
	serverDial = 300 * time.Millisecond
	// serverIdle is how long an unused connection to a server is kept; servers close theirs after ten seconds.
	serverIdle = 8 * time.Second
	// peerHeartbeat and peerTimeout find out that a connection to another entry has fallen silent.
	peerHeartbeat = time.Second
	peerTimeout   = 2500 * time.Millisecond
)

// collectPercent is how much the heap grows before it is collected, in percent. Memory at its peak is paid for on every host
// and processor time hardly: see docs/CAPACITY.md for the measurement.
const collectPercent = 25

// platformProbes end a watch on a connection that has fallen silent within about two seconds.
var platformProbes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Gateway is a running entry that calls backend servers itself.
type Gateway struct {
	set      settings.Settings
	log      zerolog.Logger
	cancel   context.CancelFunc
	registry *peer.Registry
	client   *peer.Client
	peers    *peer.Server
	gossip   *gossip.Gossip
	view     *view.View
	follower *view.Follower
	store    *store.Store
	book     *backend.Balancer
	calls    *call.Sender
	ledger   *usage.Ledger
	jobs     *batchjob.Manager
	keeper   *duty.Keeper
	// duties is the keeper for goroutines that run before it is there.
	duties  atomic.Pointer[duty.Keeper]
	leader  *leader.Leader
	gateway *gateway.Gateway
	admin   *admin.Server
	news    *news
	work    conc.WaitGroup
}

// RunGateway runs the gateway until ctx ends, then drains it. The settings are read again from path when they change.
func RunGateway(ctx context.Context, path string, set settings.Settings, log zerolog.Logger) error {
	debug.SetGCPercent(collectPercent)
	g, err := StartGateway(context.WithoutCancel(ctx), set, log)
	if err != nil {
		return err
	}
	g.work.Go(func() { watchSettings(ctx, path, settings.RoleGateway, log, g.reload) })
	return serve(ctx, g, set, log)
}

// StartGateway starts a gateway; it runs until Close, or until ctx ends.
func StartGateway(ctx context.Context, set settings.Settings, log zerolog.Logger) (*Gateway, error) {
	ctx, cancel := context.WithCancel(ctx)
	g := &Gateway{set: set, log: log, cancel: cancel, registry: peer.NewRegistry()}
	if err := g.start(ctx); err != nil {
		cancel()
		return nil, err
	}
	return g, nil
}

// start builds the parts in the order in which they stand on each other.
func (g *Gateway) start(ctx context.Context) error {
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	platformAddress, err := urlAddress("platformUrl", g.set.PlatformURL)
	if err != nil {
		return err
	}
	reportsAddress, err := urlAddress("reportsUrl", g.set.ReportsURL)
	if err != nil {
		return err
	}
	options, err := peerOptions(g.set)
	if err != nil {
		return err
	}
	metrics := prometheus.NewRegistry()
	metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	options = append(options, peer.WithHeartbeat(peerHeartbeat, peerTimeout))
	g.client = peer.NewClient(ctx, []byte(g.set.PeerSecret), options...)
	g.book = backend.NewBalancer(g.set.HostID, g.set.AvailabilityZone)
	g.ledger = usage.NewLedger()
	g.view = view.New(g.log, func(s *view.Snapshot) { g.book.Sync(s.Servers) })
	g.news = newNews(g, incarnation)
	self := gossip.Member{
		HostID:           g.set.HostID,
		Address:          g.set.PeerAddress(),
		AvailabilityZone: g.set.AvailabilityZone,
		Cores:            g.set.ProcessorCores,
		Incarnation:      incarnation,
	}
	platformCalls := exchange.NewClient(exchange.WithDialTimeout(platformDial), exchange.WithKeepAlive(platformProbes))
	serverCalls := exchange.NewClient(exchange.WithDialTimeout(serverDial), exchange.WithIdleTimeout(serverIdle))
	relay := &lateRelay{}
	g.store = store.New(store.NewHTTPTransport(platformAddress, platformCalls), relay, store.NewMetrics(metrics), g.log)
	store.Serve(g.registry, g.store)
	members := &lateMembers{self: self}
	g.follower = view.NewFollower(ctx, members, g.view, g.store, g.client, g.registry, g.log)
	g.calls = call.NewSender(g.book, serverCalls, g.log)
	g.jobs = batchjob.NewManager(ctx, batchjob.Deps{
		Store:   g.store,
		Book:    g.book,
		Servers: serverCalls,
		Calls:   g.calls,
		Route:   g.route,
		Peers:   g.client,
		Members: members,
		Outage:  g.follower.Outage,
		Demand:  g.demand,
		Metrics: batchjob.NewMetrics(metrics),
		Log:     g.log,
	}, g.registry)
	g.gossip = gossip.New(ctx, self, g.client, g.registry, g.news, g.log)
	relay.set(store.NewRelay(g.client, g.gossip, g.follower.ReachesStore))
	members.set(g.gossip)
	g.gossip.Meet(g.set.Seeds...)
	if err := g.serve(ctx, metrics); err != nil {
		return err
	}
	g.work.Go(func() { g.register(ctx, self) })
	g.startDuties(ctx, self, store.NewHTTPTransport(reportsAddress, platformCalls), serverCalls)
	g.work.Go(func() {
		if g.view.WaitReady(ctx) {
			g.admin.SetReady(true)
			g.log.Info().Msg("ready")
		}
	})
	return nil
}

// serve opens the listeners.
func (g *Gateway) serve(ctx context.Context, metrics *prometheus.Registry) error {
	options, err := peerOptions(g.set)
	if err != nil {
		return err
	}
	options = append(options, peer.WithHeartbeat(peerHeartbeat, peerTimeout))
	peers, err := listen(ctx, "peerListen", g.set.PeerListen)
	if err != nil {
		return err
	}
	g.peers = peer.NewServer(ctx, peers, g.registry, []byte(g.set.PeerSecret), options...)
	callers, err := listen(ctx, "listen", g.set.Listen)
	if err != nil {
		return err
	}
	g.gateway = gateway.New(ctx, callers, g.set.BodyLimitBytes, gateway.Deps{
		View:    g.view,
		Calls:   g.calls,
		Jobs:    g.jobs,
		Usage:   g.news,
		Metrics: gateway.NewMetrics(metrics),
		Log:     g.log,
	})
	operators, err := listen(ctx, "adminListen", g.set.AdminListen)
	if err != nil {
		return err
	}
	g.admin = admin.NewServer(ctx, operators, metrics, map[string]admin.Dump{
		"gateway": g.gateway.State,
		"view":    g.view.State,
		"members": g.gossip.State,
		"jobs":    g.jobs.State,
		"duties":  func() any { return g.keeper.State() },
	})
	return nil
}

func (g *Gateway) startDuties(ctx context.Context, self gossip.Member, reports store.Transport, serverCalls *exchange.Client) {
	started := time.Now()
	holder := duty.Holder{HostID: self.HostID, Address: self.Address, Incarnation: self.Incarnation}
	heard := func() bool { return !g.contends() || g.heard(g.duties.Load()) }
	leases := store.NewLeaseStore(g.store, heard)
	g.keeper = duty.NewKeeper(ctx, leases, leader.LeaseName, holder, duty.WithTiming(leader.LeaseTiming()), duty.WithOneProcess(),
		// Entries that start read there which batch jobs were open.
		duty.WithNotes(g.jobs.OpenNotes, func(notes []string) { g.jobs.Reopen(notes, g.dutyPlace()) }),
		duty.WithStartIf(func() bool {
			return roster.Settled(time.Since(started), g.gossip.Alive(time.Now())) && g.contends()
		}),
		// A holder that is heard of renews its lease; to try for it would cost two calls each term.
		duty.WithContendIf(func() bool { return !heard() }))
	g.duties.Store(g.keeper)
	g.leader = leader.New(ctx, leader.Deps{
		HostID:  self.HostID,
		Keeper:  g.keeper,
		Store:   g.store,
		Reports: reports,
		ServerCarrier: func(server backend.Server) store.Transport {
			return store.NewHTTPTransport(server.Address, serverCalls)
		},
		View:          g.view,
		Book:          g.book,
		Ledger:        g.ledger,
		Sweep:         g.jobs.Sweep,
		SweepPause:    batchjob.SweepInterval,
		CountsMissing: g.news.missing,
		TokenRates:    g.news.tokenRates,
		Window:        g.set.UsageWindow,
		Log:           g.log,
	})
}

// contends says whether this entry is among the first of the living ones, in an order by hash that is the same for all. A
// contender reads the lease by the second while its holder is silent.
func (g *Gateway) contends() bool { return g.dutyPlace() < contenders }

// dutyPlace returns the number of living entries that precede this one in that order.
func (g *Gateway) dutyPlace() int {
	return len(roster.Predecessors(g.set.HostID, g.gossip.Alive(time.Now())))
}

// heard says whether the entry that holds the keeper's duty is heard of and stays.
func (g *Gateway) heard(keeper *duty.Keeper) bool {
	if keeper == nil {
		return false
	}
	holder, ok := keeper.Holder()
	if !ok {
		return false
	}
	member, ok := g.gossip.Find(time.Now(), holder.HostID)
	return ok && member.Incarnation == holder.Incarnation && !member.Leaving
}

// demand returns what is trained.
func (g *Gateway) demand() batch.Demand {
	snapshot := g.view.Snapshot()
	demand := batch.Demand{Models: slices.Sorted(maps.Keys(snapshot.Versions))}
	for _, server := range snapshot.Servers {
		if len(server.Models) > 0 {
			demand.Slots += server.Slots
		}
	}
	return demand
}

// route returns the route of a request in the configuration in force.
func (g *Gateway) route(host, path string) (routing.Route, bool) {
	table := g.view.Snapshot().Table
	if table == nil {
		return routing.Route{}, false
	}
	return table.Match(host, path)
}

// reload takes over what may change while the process runs.
func (g *Gateway) reload(set settings.Settings) {
	g.gossip.Meet(set.Seeds...)
}

func (g *Gateway) drain(ctx context.Context) error {
	// Some of the time is kept for the end itself.
	ctx, cancel := context.WithTimeout(ctx, g.set.DrainTime-drainReserve)
	defer cancel()
	g.admin.SetReady(false)
	g.gateway.Leave()
	g.gossip.Leave()
	g.jobs.HandOverJobs(ctx)
	if err := g.keeper.Release(ctx); err != nil {
		g.log.Warn().Err(err).Msg("duties not given back")
	}
	select {
	case <-ctx.Done():
	case <-time.After(g.set.LeaveDelay):
	}
	return g.gateway.Drain(ctx)
}

// Drain hands over jobs and duties, refuses new connections and waits for running requests.
func (g *Gateway) Drain(ctx context.Context) error { return g.drain(ctx) }

// Close ends the gateway at once.
func (g *Gateway) Close() { g.close() }

// drainReserve is the part of the time to stop that is left when the drain must end.
const drainReserve = time.Second

func (g *Gateway) close() {
	g.cancel()
	closePeers(g.peers, g.log)
	g.gateway.Wait()
	g.jobs.Wait()
	g.leader.Wait()
	g.keeper.Wait()
	g.follower.Wait()
	g.gossip.Wait()
	g.admin.Wait()
	g.work.Wait()
	g.client.Wait()
}

// urlAddress returns the address of a URL that names its host by IP number.
func urlAddress(field, raw string) (netip.AddrPort, error) {
	parsed, err := url.Parse(raw)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, field)
	}
	address, err := netip.ParseAddrPort(parsed.Host)
	return address, errors.Wrapf(err, "%s %s", field, raw)
}
