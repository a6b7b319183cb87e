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
	// platformDialTimeout limits connecting to the platform, which answers within milliseconds.
	platformDialTimeout = 500 * time.Millisecond
	// serverDialTimeout limits connecting to a backend server. A lost packet of the handshake is resent after a second,
	// and another server has answered by then.
	serverDialTimeout = 300 * time.Millisecond
	// serverIdleTimeout is how long an unused connection to a server is kept. Servers close theirs after ten seconds.
	serverIdleTimeout = 8 * time.Second
	// peerHeartbeatInterval and peerTimeout serve to detect a connection to another entry that has become silent.
	peerHeartbeatInterval = time.Second
	peerTimeout           = 2500 * time.Millisecond
)

// gcPercent is how much the heap grows before a garbage collection, in percent. Peak memory is paid for on every host,
// while processor time costs little: see docs/CAPACITY.md for the measurement.
const gcPercent = 25

// platformKeepAlive ends a watch within about two seconds when its connection has become silent.
var platformKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Gateway is a running entry that sends requests to backend servers itself.
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
	balancer *backend.Balancer
	// conditions is used by the view's updates only, which come one at a time.
	conditions conditionsSource
	calls      *call.Sender
	ledger     *usage.Ledger
	jobs       *batchjob.Manager
	keeper     *duty.Keeper
	// sharedKeeper is nil until keeper is set. Goroutines that start before that read the keeper from here.
	sharedKeeper atomic.Pointer[duty.Keeper]
	leader       *leader.Leader
	gateway      *gateway.Gateway
	admin        *admin.Server
	heartbeats   *gossipHandler
	// readyAt is when this process first had the store's state; nil before.
	readyAt atomic.Pointer[time.Time]
	// usesWeights is whether this entry uses the weight versions of servers.
	usesWeights atomic.Bool
	work        conc.WaitGroup
}

// RunGateway runs the gateway until ctx ends, then drains it. The settings are reloaded from path when they change.
func RunGateway(ctx context.Context, path string, set settings.Settings, log zerolog.Logger) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(set.MemoryMB) * bytesPerMB * heapShare))
	g, err := StartGateway(context.WithoutCancel(ctx), set, log)
	if err != nil {
		return err
	}
	g.work.Go(func() { watchSettings(ctx, path, settings.RoleGateway, log, g.reload) })
	return serve(ctx, g, set, log)
}

// StartGateway starts a gateway. It runs until Close is called or ctx ends.
func StartGateway(ctx context.Context, set settings.Settings, log zerolog.Logger) (*Gateway, error) {
	ctx, cancel := context.WithCancel(ctx)
	g := &Gateway{set: set, log: log, cancel: cancel, registry: peer.NewRegistry()}
	if err := g.start(ctx); err != nil {
		cancel()
		return nil, err
	}
	return g, nil
}

// start creates the parts in the order of their dependencies.
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
	metrics := prometheus.NewRegistry()
	options, err := peerOptions(g.set, metrics, g.log)
	if err != nil {
		return err
	}
	metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	options = append(options, peer.WithHeartbeat(peerHeartbeatInterval, peerTimeout), peer.WithIdleTimeout(gossip.ConnectionIdleTimeout))
	g.client = peer.NewClient(ctx, []byte(g.set.PeerSecret), options...)
	balancerOptions := []backend.Option{backend.WithRegions(g.set.Regions)}
	if g.set.SpeedPlacement == settings.SpeedPlacementAuto {
		balancerOptions = append(balancerOptions, backend.WithSpeedPlacement())
	}
	g.balancer = backend.NewBalancer(g.set.HostID, g.set.AvailabilityZone, balancerOptions...)
	metrics.MustRegister(denialCollector{balancer: g.balancer}, speedCollector{balancer: g.balancer})
	g.ledger = usage.NewLedger()
	g.view = view.New(g.log, g.updateBalancer)
	g.heartbeats = newGossipHandler(g, incarnation)
	self := gossip.Member{
		HostID:           g.set.HostID,
		Address:          g.set.PeerAddress(),
		AvailabilityZone: g.set.AvailabilityZone,
		Cores:            g.set.ProcessorCores,
		Incarnation:      incarnation,
	}
	answers := answerOptions(metrics, g.log)
	platformCalls := exchange.NewClient(append(answers, exchange.WithDialTimeout(platformDialTimeout), exchange.WithKeepAlive(platformKeepAlive))...)
	serverCalls := exchange.NewClient(append(answers, exchange.WithDialTimeout(serverDialTimeout), exchange.WithIdleTimeout(serverIdleTimeout))...)
	relay := &deferredRelay{}
	g.store = store.New(store.NewHTTPTransport(platformAddress, platformCalls), relay, store.NewMetrics(metrics), g.log)
	store.Serve(g.registry, g.store)
	members := &deferredMembers{self: self}
	g.follower = view.NewFollower(ctx, members, g.view, g.store, g.client, g.registry, g.log,
		view.WithWeightsIf(g.usesWeights.Load))
	g.calls = call.NewSender(g.balancer, serverCalls, g.log)
	g.jobs = batchjob.NewManager(ctx, batchjob.Deps{
		Store:           g.store,
		Balancer:        g.balancer,
		Servers:         serverCalls,
		Calls:           g.calls,
		Route:           g.route,
		Peers:           g.client,
		Members:         members,
		Outage:          g.follower.Outage,
		StoreReached:    g.storeReached,
		Demand:          g.demand,
		Region:          g.region,
		EarlyGeneration: g.set.EarlyGeneration,
		RouteInForce:    g.batchRouteInForce,
		Metrics:         batchjob.NewMetrics(metrics),
		Log:             g.log,
	}, g.registry)
	g.gossip = gossip.New(ctx, self, g.client, g.registry, g.heartbeats, g.log)
	relay.set(store.NewRelay(g.client, sameRegion{members: g.gossip, region: g.region, self: self},
		g.follower.ReachesStore, g.log))
	members.set(g.gossip)
	g.gossip.Meet(g.set.Seeds...)
	if err := g.serve(ctx, metrics, options); err != nil {
		return err
	}
	g.work.Go(func() { g.register(ctx, self) })
	g.work.Go(func() { g.updateEntries(ctx, time.Now()) })
	g.startDuties(ctx, self, store.NewHTTPTransport(reportsAddress, platformCalls), serverCalls)
	g.work.Go(func() {
		if g.view.WaitReady(ctx) {
			now := time.Now()
			g.readyAt.Store(&now)
			g.admin.SetReady(true)
			g.log.Info().Msg("ready")
		}
	})
	return nil
}

// serve opens the listeners and starts the servers on them.
func (g *Gateway) serve(ctx context.Context, metrics *prometheus.Registry, peerOptions []peer.Option) error {
	peerListener, err := listen(ctx, "peerListen", g.set.PeerListen)
	if err != nil {
		return err
	}
	g.peers = peer.NewServer(ctx, peerListener, g.registry, []byte(g.set.PeerSecret), peerOptions...)
	listener, err := listen(ctx, "listen", g.set.Listen)
	if err != nil {
		return err
	}
	g.gateway = gateway.New(ctx, listener, callerAccount(g.set, metrics, g.log), g.set.BodyLimitBytes, gateway.Deps{
		View:    g.view,
		Calls:   g.calls,
		Jobs:    g.jobs,
		Usage:   g.heartbeats,
		Metrics: gateway.NewMetrics(metrics),
		Log:     g.log,
	})
	adminListener, err := listenAdmin(ctx, g.set, metrics, g.log)
	if err != nil {
		return err
	}
	g.admin = admin.NewServer(ctx, adminListener, metrics, map[string]admin.Dump{
		"gateway": g.gateway.State,
		"view":    g.view.State,
		"members": g.gossip.State,
		"jobs":    g.jobs.State,
		"pace":    func() any { return g.balancer.SpeedState(time.Now()) },
		"duties":  func() any { return g.keeper.State() },
	})
	return nil
}

func (g *Gateway) startDuties(ctx context.Context, self gossip.Member, reports store.Transport, serverCalls *exchange.Client) {
	started := time.Now()
	holder := duty.Holder{HostID: self.HostID, Address: self.Address, Incarnation: self.Incarnation}
	// While skipTakeover returns true, this entry neither polls the lease nor contends for it.
	skipTakeover := func() bool { return !g.isContender() || g.isHolderAlive(g.sharedKeeper.Load()) }
	leases := store.NewLeaseStore(g.store, skipTakeover)
	g.keeper = duty.NewKeeper(ctx, leases, leader.LeaseName, holder, duty.WithTiming(leader.LeaseTiming()), duty.WithOneProcess(),
		// The notes name the open batch jobs for entries that start later.
		duty.WithNotes(g.jobs.OpenNotes, func(notes []string) { g.jobs.Reopen(notes, g.dutyRank()) }),
		duty.WithStartIf(func() bool {
			return roster.Settled(time.Since(started), g.gossip.Alive(time.Now())) && g.isContender()
		}),
		// While the holder is alive it renews its lease, and an attempt to take it over would cost two calls in each term.
		duty.WithContendIf(func() bool { return !skipTakeover() }))
	g.sharedKeeper.Store(g.keeper)
	g.leader = leader.New(ctx, leader.Deps{
		HostID:  self.HostID,
		Keeper:  g.keeper,
		Store:   g.store,
		Reports: reports,
		ServerCarrier: func(server backend.Server) store.Transport {
			return store.NewHTTPTransport(server.Address, serverCalls)
		},
		View:          g.view,
		Balancer:      g.balancer,
		Ledger:        g.ledger,
		Sweep:         g.jobs.Sweep,
		SweepPause:    batchjob.SweepInterval,
		CountsMissing: g.heartbeats.memberLostRecently,
		TokenRates:    g.heartbeats.tokenRates,
		Window:        g.set.UsageWindow,
		Log:           g.log,
	})
}

// isContender reports whether this entry is among the first of the living entries, in an order that is the same at
// all entries. A contender reads the lease every second while the holder isn't alive.
func (g *Gateway) isContender() bool { return g.dutyRank() < contenders }

// dutyRank returns the number of living entries that precede this one in that order.
func (g *Gateway) dutyRank() int {
	return roster.DutyPosition(g.gossip.Self(), g.gossip.Alive(time.Now()))
}

// isHolderAlive reports whether the entry that holds the keeper's duty is alive and isn't leaving.
func (g *Gateway) isHolderAlive(keeper *duty.Keeper) bool {
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

// storeReached returns when this process first had the store's state, if it has.
func (g *Gateway) storeReached() (time.Time, bool) {
	at := g.readyAt.Load()
	if at == nil {
		return time.Time{}, false
	}
	return *at, true
}

// demand returns the models being trained and the number of requests that their servers can run at once.
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

// route returns the route of a request in the current configuration.
func (g *Gateway) route(host, path string) (routing.Route, bool) {
	table := g.view.Snapshot().Table
	if table == nil {
		return routing.Route{}, false
	}
	return table.Match(host, path)
}

// batchRouteInForce reports whether the configuration in force has the route by which a batch job was submitted. While no configuration is
// known, the route counts as in force.
func (g *Gateway) batchRouteInForce(job *batch.Job) bool {
	table := g.view.Snapshot().Table
	return table == nil || table.HasBatchRoute(job.Host, job.Pool)
}

// reload applies the settings that may change while the process runs.
func (g *Gateway) reload(set settings.Settings) {
	g.gossip.Meet(set.Seeds...)
}

func (g *Gateway) drain(ctx context.Context) error {
	// A part of the drain time is reserved for closing the process.
	ctx, cancel := context.WithTimeout(ctx, g.set.DrainTime-drainReserve)
	defer cancel()
	g.admin.SetReady(false)
	g.gateway.Leave(ctx, g.set.LeaveDelay)
	g.gossip.Leave()
	g.jobs.HandOverJobs(ctx)
	g.leader.Stop()
	if err := g.keeper.Release(ctx); err != nil {
		g.log.Warn().Err(err).Msg("cannot release the duties")
	}
	select {
	case <-ctx.Done():
	case <-time.After(g.set.LeaveDelay):
	}
	err := g.gateway.Drain(ctx)
	g.jobs.AwaitHandovers()
	return err
}

// Drain hands over jobs and duties, refuses new connections and waits for running requests.
func (g *Gateway) Drain(ctx context.Context) error { return g.drain(ctx) }

// Close stops the gateway at once.
func (g *Gateway) Close() { g.close() }

// drainReserve is the part of the drain time that is reserved for closing the process.
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

// urlAddress returns the address in a URL whose host is an IP address. Errors name the settings field that contains the
// URL.
func urlAddress(field, raw string) (netip.AddrPort, error) {
	parsed, err := url.Parse(raw)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, field)
	}
	address, err := netip.ParseAddrPort(parsed.Host)
	return address, errors.Wrapf(err, "%s %s", field, raw)
}
