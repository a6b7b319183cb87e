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

// gatherAsk asks a host for the usage counts that the platform is not known to have.
type gatherAsk struct {
	// Stored are counts of an earlier answer that the platform has by now.
	Stored []usage.Count `msgpack:"s"`
}

// gatherAnswer holds those counts.
type gatherAnswer struct {
	Counts []usage.Count `msgpack:"c"`
}

// serveGather lets a relay of the zone take the counts of this host.
func serveGather(r *peer.Registry, collector *billing.Collector, refresh func()) {
	peer.Handle(r, methodGatherUsage, func(_ context.Context, ask gatherAsk) (gatherAnswer, error) {
		collector.Stored(ask.Stored)
		refresh()
		return gatherAnswer{Counts: collector.Unstored()}, nil
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
	_, err := peer.Ask[takeUsage, took](ctx, r.client, host.PeerAddress, methodTakeUsage, takeUsage{Counts: counts})
	return err == nil
}

// newAgentCollector hands an agent's counters over instead of writing them: 44 relays write, not 2,200 agents.
// The counters are copied into a ledger of their own, since a collector forgets what is stored and the
// agent's counters must go on from where they are.
func (r *runtime) newAgentCollector(ctx context.Context, counters *usage.Ledger) *billing.Collector {
	collector := billing.NewCollector(ctx, r.platform, usage.NewLedger(), r.set.AvailabilityZone,
		billing.WithFlushInterval(0), billing.WithWindow(r.set.UsageWindow), billing.WithCollectorLog(r.log))
	serveGather(r.peers, collector, func() { collector.Follow(counters) })
	return collector
}

// gatherer collects the usage counts of an availability zone while this entry is one of its relays.
type gatherer struct {
	runtime   *runtime
	collector *billing.Collector
	work      conc.WaitGroup
	// handed are the counts of the last answer of each host. Only the gathering goroutine uses it.
	handed map[string][]usage.Count
}

func (r *runtime) newGatherer(ctx context.Context) *gatherer {
	g := &gatherer{runtime: r, handed: map[string][]usage.Count{}}
	g.collector = billing.NewCollector(ctx, r.platform, usage.NewLedger(), r.set.AvailabilityZone,
		billing.WithWriter(r.set.HostID), billing.WithFlushIf(g.isRelay), billing.WithFlushInterval(flushInterval(r.set.UsageWindow)),
		billing.WithWindow(r.set.UsageWindow), billing.WithCollectorLog(r.log))
	serveGather(r.peers, g.collector, func() {})
	peer.Handle(r.peers, methodTakeUsage, func(_ context.Context, taken takeUsage) (took, error) {
		g.collector.Merge(taken.Counts...)
		return took{}, nil
	})
	g.work.Go(func() {
		ticker := time.NewTicker(gatherInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if g.isRelay() {
					g.round(ctx)
				}
			}
		}
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

// round asks each host of the zone once.
func (g *gatherer) round(ctx context.Context) {
	unstored := map[usage.Cell]usage.Amount{}
	for _, count := range g.collector.Unstored() {
		unstored[count.Cell] = count.Amount
	}
	hosts := g.hosts()
	answers := make([][]usage.Count, len(hosts))
	asks := pool.New().WithMaxGoroutines(gatherParallel)
	for i, host := range hosts {
		stored := storedOf(g.handed[host.ID], unstored)
		asks.Go(func() { answers[i] = g.ask(ctx, host, stored) })
	}
	asks.Wait()
	g.handed = make(map[string][]usage.Count, len(hosts))
	for i, host := range hosts {
		g.collector.Merge(answers[i]...)
		g.handed[host.ID] = answers[i]
	}
}

// storedOf returns the counts that were taken over and that the platform has by now. A host may drop a
// count only then: a relay that dies between taking over and flushing must not lose it.
func storedOf(handed []usage.Count, unstored map[usage.Cell]usage.Amount) []usage.Count {
	stored := []usage.Count{}
	for _, count := range handed {
		if _, pending := unstored[count.Cell]; !pending {
			stored = append(stored, count)
		}
	}
	return stored
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

func (g *gatherer) ask(ctx context.Context, host platform.Host, stored []usage.Count) []usage.Count {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	answer, err := peer.Ask[gatherAsk, gatherAnswer](ctx, g.runtime.client, host.PeerAddress, methodGatherUsage, gatherAsk{Stored: stored})
	if err != nil {
		g.runtime.log.Debug().Err(err).Str("from", host.ID).Msg("usage not gathered")
		return nil
	}
	return answer.Counts
}

func (g *gatherer) wait() {
	g.work.Wait()
	g.collector.Wait()
}
