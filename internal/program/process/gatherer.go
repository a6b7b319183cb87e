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
	// finalFlushTimeout limits the last flush of a leaving host. If the flush fails, the host hands its counts over to
	// another entry.
	finalFlushTimeout = 5 * time.Second
	// maxHandOverAttempts is how many entries a leaving host asks to take its counts.
	maxHandOverAttempts = 5
	// gatherInterval is shorter than the flush interval, so that a flush includes the requests that ran until a few
	// seconds before.
	gatherInterval     = 3 * time.Second
	gatherTimeout      = 2 * time.Second
	maxParallelGathers = 16
	// usageRelaysPerZone is how many entries of an availability zone write usage: two, so that one may fail.
	usageRelaysPerZone = 2
	// Counts are flushed several times per usage window, and at least every 15 s, so that they are gathered and flushed
	// within the grace period after the window's end. A counter that grows several times between two flushes is written
	// once.
	flushesPerWindow = 4
	maxFlushInterval = 15 * time.Second
	minFlushInterval = time.Second
)

// serveGatherRequests answers the relays of the zone with the counts of this host. It calls refresh before each answer.
func serveGatherRequests(r *peer.Registry, handover *billing.Handover, refresh func()) {
	peer.Handle(r, methodGatherUsage, func(_ context.Context, request billing.GatherRequest) (billing.GatherResponse, error) {
		refresh()
		return handover.Respond(request), nil
	})
}

// takeUsageRequest contains the counts of a host that leaves while it can't write to the platform.
type takeUsageRequest struct {
	Counts []usage.Count `msgpack:"c"`
}

// takeUsageResponse confirms that the counts were taken over.
type takeUsageResponse struct{}

// storeOrHandOverUsage stores the counts of a host that is about to stop, or hands them over to another entry.
//
// If a host is replaced during an outage of the platform, the requests that ran there since the last flush would be
// missing from the usage reports. The other entry keeps the counts until the platform is back.
func (r *runtime) storeOrHandOverUsage(ctx context.Context, collector *billing.Collector) {
	flushCtx, cancel := context.WithTimeout(ctx, finalFlushTimeout)
	defer cancel()
	err := collector.Flush(flushCtx)
	if err == nil {
		return
	}
	counts := collector.Unstored()
	attempts := 0
	for _, host := range r.members.Entries() {
		if host.ID == r.set.HostID || attempts == maxHandOverAttempts {
			continue
		}
		attempts++
		if r.handOver(ctx, host, counts) {
			r.log.Info().Str("to", host.ID).Int("cells", len(counts)).Msg("usage counts handed over")
			return
		}
	}
	r.log.Error().Err(err).Int("cells", len(counts)).Msg("cannot store or hand over usage counts")
}

func (r *runtime) handOver(ctx context.Context, host platform.Host, counts []usage.Count) bool {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	_, err := peer.Call[takeUsageRequest, takeUsageResponse](ctx, r.client, host.PeerAddress, methodTakeUsage,
		takeUsageRequest{Counts: counts})
	return err == nil
}

// newAgentCollector returns a collector that passes an agent's counters to the relays instead of writing them, so that 44
// relays write and not 2,200 agents. The counters are copied into a separate ledger: a collector drops counts that are
// stored, but the agent's counters must keep growing from their current values.
func (r *runtime) newAgentCollector(ctx context.Context, counters *usage.Ledger) *billing.Collector {
	collector := billing.NewCollector(ctx, r.platform, usage.NewLedger(), r.set.AvailabilityZone,
		billing.WithFlushInterval(0), billing.WithWindow(r.set.UsageWindow), billing.WithCollectorLog(r.log))
	serveGatherRequests(r.peers, billing.NewHandover(collector), func() { collector.ImportCounters(counters) })
	return collector
}

// gatherer collects the usage counts of an availability zone while this entry is one of the zone's relays.
type gatherer struct {
	runtime   *runtime
	collector *billing.Collector
	handover  *billing.Handover
	work      conc.WaitGroup
	// sources holds the state of gathering from each host of the zone, by host ID. Only the gathering goroutine uses it.
	sources map[string]*billing.Source
}

func (r *runtime) newGatherer(ctx context.Context) *gatherer {
	g := &gatherer{runtime: r, sources: map[string]*billing.Source{}}
	g.collector = billing.NewCollector(ctx, r.platform, usage.NewLedger(), r.set.AvailabilityZone,
		billing.WithWriter(r.set.HostID), billing.WithFlushIf(g.isRelay), billing.WithFlushInterval(flushInterval(r.set.UsageWindow)),
		billing.WithWindow(r.set.UsageWindow), billing.WithCollectorLog(r.log))
	g.handover = billing.NewHandover(g.collector)
	serveGatherRequests(r.peers, g.handover, func() {})
	peer.Handle(r.peers, methodTakeUsage, func(_ context.Context, request takeUsageRequest) (takeUsageResponse, error) {
		g.collector.Merge(request.Counts...)
		return takeUsageResponse{}, nil
	})
	g.work.Go(func() {
		ticker.Every(ctx, gatherInterval, func(time.Time) {
			if g.isRelay() {
				g.gather(ctx)
			}
		})
	})
	return g
}

func flushInterval(window time.Duration) time.Duration {
	return min(max(window/flushesPerWindow, minFlushInterval), maxFlushInterval)
}

func (g *gatherer) isRelay() bool {
	zone := g.runtime.set.AvailabilityZone
	return g.runtime.isAmongFirst(rankingKey{purpose: "usageRelay", zone: zone, count: usageRelaysPerZone})
}

// gather asks each host of the zone once. It drops the state of hosts that are no longer on the list.
func (g *gatherer) gather(ctx context.Context) {
	hosts := g.zoneHosts()
	sources := make(map[string]*billing.Source, len(hosts))
	calls := pool.New().WithMaxGoroutines(maxParallelGathers)
	for _, host := range hosts {
		source, ok := g.sources[host.ID]
		if !ok {
			source = &billing.Source{}
		}
		sources[host.ID] = source
		calls.Go(func() { g.gatherFrom(ctx, host, source) })
	}
	calls.Wait()
	g.sources = sources
}

func (g *gatherer) zoneHosts() []platform.Host {
	hosts := []platform.Host{}
	for _, host := range g.runtime.members.Hosts() {
		if host.AvailabilityZone == g.runtime.set.AvailabilityZone && host.ID != g.runtime.set.HostID {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (g *gatherer) gatherFrom(ctx context.Context, host platform.Host, source *billing.Source) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	answer, err := peer.Call[billing.GatherRequest, billing.GatherResponse](ctx, g.runtime.client, host.PeerAddress, methodGatherUsage,
		source.NextRequest(g.collector))
	if err != nil {
		g.runtime.log.Debug().Err(err).Str("from", host.ID).Msg("cannot gather usage counts")
		return
	}
	g.handover.AddGathered(answer.Counts...)
	source.RecordResponse(answer)
}

func (g *gatherer) wait() {
	g.work.Wait()
	g.collector.Wait()
}
