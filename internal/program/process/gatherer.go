package process

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/billing"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	methodGatherUsage peer.Method = "gatherUsage"
	methodTakeUsage   peer.Method = "takeUsage"
	// leaveFlushTime bounds the last flush of a leaving host, before it hands its counts over instead.
	leaveFlushTime = 5 * time.Second
	// handOverTries is how many entries are asked to take the counts of a leaving host.
	handOverTries = 5
	// gatherInterval is below the flush interval, so that a flush holds what ran a few seconds before.
	gatherInterval = 3 * time.Second
	gatherTimeout  = 2 * time.Second
	gatherParallel = 16
	// usageRelays is how many entries of an availability zone write usage: two, so that one may fail.
	usageRelays = 2
	// A flush comes a few times a window, and at most every 15 s: gathered and flushed within the grace of a window's
	// closing, and it writes a counter once that grows several times meanwhile.
	flushesPerWindow = 4
	longestFlush     = 15 * time.Second
	shortestFlush    = time.Second
)

// serveGather lets a relay of the zone take the counts of this host.
func serveGather(r *peer.Registry, handover *billing.Handover, refresh func()) {
	peer.Handle(r, methodGatherUsage, func(_ context.Context, ask billing.GatherAsk) (billing.GatherAnswer, error) {
		refresh()
		return handover.Answer(ask), nil
	})
}

// takeUsage are the counts of a host that leaves while the platform can't be written.
type takeUsage struct {
	Counts []usage.Count `msgpack:"c"`
}

// took confirms that the counts were taken over.
type took struct{}

// leaveUsage stores the counts of a host that is about to end, or hands them to another entry.
//
// Guard: a host is replaced during an outage of the platform. What ran there since the last flush would be missing
// in the reports. Another entry holds the counts until the platform is back.
func (r *runtime) leaveUsage(ctx context.Context, collector *billing.Collector) {
	flush, cancel := context.WithTimeout(ctx, leaveFlushTime)
	defer cancel()
	err := collector.Flush(flush)
	if err == nil {
		return
	}
	counts := collector.Unstored()
	tries := 0
	for _, host := range r.members.Entries() {
		if host.ID == r.set.HostID || tries == handOverTries {
			continue
		}
		tries++
		if r.handOver(ctx, host, counts) {
			r.log.Info().Str("to", host.ID).Int("cells", len(counts)).Msg("usage counts handed over")
			return
		}
	}
	r.log.Error().Err(err).Int("cells", len(counts)).Msg("usage counts were neither stored nor handed over")
}

func (r *runtime) handOver(ctx context.Context, host platform.Host, counts []usage.Count) bool {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	_, err := peer.Call[takeUsage, took](ctx, r.client, host.PeerAddress, methodTakeUsage, takeUsage{Counts: counts})
	return err == nil
}

// newAgentCollector hands an agent's counters over instead of writing them: 44 relays write, not 2,200 agents.
// The counters are copied into a ledger of their own, since a collector forgets what is stored and the
// agent's counters must go on from where they are.
func (r *runtime) newAgentCollector(ctx context.Context, counters *usage.Ledger) *billing.Collector {
	collector := billing.NewCollector(ctx, r.platform, usage.NewLedger(), r.set.AvailabilityZone,
		billing.WithFlushInterval(0), billing.WithWindow(r.set.UsageWindow), billing.WithCollectorLog(r.log))
	serveGather(r.peers, billing.NewHandover(collector), func() { collector.Follow(counters) })
	return collector
}

// gatherer collects the usage counts of an availability zone while this entry is one of its relays.
type gatherer struct {
	runtime   *runtime
	collector *billing.Collector
	handover  *billing.Handover
	work      conc.WaitGroup
	// sources are the hosts of the zone by their names. Only the gathering goroutine uses it.
	sources map[string]*billing.Source
}

func (r *runtime) newGatherer(ctx context.Context) *gatherer {
	g := &gatherer{runtime: r, sources: map[string]*billing.Source{}}
	g.collector = billing.NewCollector(ctx, r.platform, usage.NewLedger(), r.set.AvailabilityZone,
		billing.WithWriter(r.set.HostID), billing.WithFlushIf(g.isRelay), billing.WithFlushInterval(flushInterval(r.set.UsageWindow)),
		billing.WithWindow(r.set.UsageWindow), billing.WithCollectorLog(r.log))
	g.handover = billing.NewHandover(g.collector)
	serveGather(r.peers, g.handover, func() {})
	peer.Handle(r.peers, methodTakeUsage, func(_ context.Context, taken takeUsage) (took, error) {
		g.collector.Merge(taken.Counts...)
		return took{}, nil
	})
	g.work.Go(func() {
		ticker.Every(ctx, gatherInterval, func(time.Time) {
			if g.isRelay() {
				g.round(ctx)
			}
		})
	})
	return g
}

func flushInterval(window time.Duration) time.Duration {
	return min(max(window/flushesPerWindow, shortestFlush), longestFlush)
}

func (g *gatherer) isRelay() bool {
	own := g.runtime.set.AvailabilityZone
	return g.runtime.isAmong(rankingKey{purpose: "usageRelay", zone: own, count: usageRelays})
}

// round asks each host of the zone once. Hosts that have gone from the list are forgotten.
func (g *gatherer) round(ctx context.Context) {
	hosts := g.hosts()
	sources := make(map[string]*billing.Source, len(hosts))
	asks := pool.New().WithMaxGoroutines(gatherParallel)
	for _, host := range hosts {
		source, ok := g.sources[host.ID]
		if !ok {
			source = &billing.Source{}
		}
		sources[host.ID] = source
		asks.Go(func() { g.ask(ctx, host, source) })
	}
	asks.Wait()
	g.sources = sources
}

func (g *gatherer) hosts() []platform.Host {
	hosts := []platform.Host{}
	for _, host := range g.runtime.members.Hosts() {
		if host.AvailabilityZone == g.runtime.set.AvailabilityZone && host.ID != g.runtime.set.HostID {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (g *gatherer) ask(ctx context.Context, host platform.Host, source *billing.Source) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	answer, err := peer.Call[billing.GatherAsk, billing.GatherAnswer](ctx, g.runtime.client, host.PeerAddress, methodGatherUsage, source.Ask(g.collector))
	if err != nil {
		g.runtime.log.Debug().Err(err).Str("from", host.ID).Msg("usage not gathered")
		return
	}
	g.handover.Gathered(answer.Counts...)
	source.Take(answer)
}

func (g *gatherer) wait() {
	g.work.Wait()
	g.collector.Wait()
}
