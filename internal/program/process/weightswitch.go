package process

import (
	"context"
	"math"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/agent"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	dutyWeightSwitch = "weightSwitch"
	// loadCheckInterval is how often servers are asked whether they have loaded an announced version.
	loadCheckInterval = time.Second
	// maxProbesPerRound limits the probes of a round, and with them the traffic of the holder to 6 KB/s with thousands of
	// servers. A server that has loaded the version isn't asked again, so 2,200 servers are checked within 90 s, and
	// nothing waits for the result.
	maxProbesPerRound = 25
	// sufficientShare is the share of servers that must have loaded a version once sufficientShareDelay has passed: a
	// server that can't load it must not hold up the others. Such a server loads and switches by itself later, and its
	// samples name the version that produced them.
	sufficientShare      = 0.95
	sufficientShareDelay = 30 * time.Second
	// switchTimeout ends the wait regardless of how many servers have loaded the version: new weights arrive every ten
	// minutes.
	switchTimeout = 5 * time.Minute
)

// weightSwitcher makes all servers of a model switch to an announced version with a single change of the configuration,
// once they have loaded it. The entry that holds the duty does it for all. A successor finds the announced version in the
// configuration.
type weightSwitcher struct {
	runtime   *runtime
	follower  *configuration.Follower
	publisher *configuration.Publisher
	keeper    *duty.Keeper
	// progress holds the state of each announced version. Only the switching goroutine uses it.
	progress map[ticket.ModelVersion]*loadProgress
	work     conc.WaitGroup
}

// loadProgress records which servers have loaded an announced version.
type loadProgress struct {
	since time.Time
	// loaded contains the host IDs of servers that have loaded it.
	loaded map[string]bool
	// nextIndex is the position in the list of hosts at which the next round starts.
	nextIndex int
}

func newWeightSwitcher(ctx context.Context, r *runtime, follower *configuration.Follower,
	publisher *configuration.Publisher, keeper *duty.Keeper) *weightSwitcher {
	s := &weightSwitcher{runtime: r, follower: follower, publisher: publisher, keeper: keeper,
		progress: map[ticket.ModelVersion]*loadProgress{}}
	s.work.Go(func() {
		ticker.Every(ctx, loadCheckInterval, func(time.Time) { s.checkVersions(ctx) })
	})
	return s
}

// checkVersions checks every model that has an announced version, and publishes the version once enough servers have
// loaded it.
func (s *weightSwitcher) checkVersions(ctx context.Context) {
	if _, held := s.keeper.Held(time.Now()); !held {
		clear(s.progress)
		return
	}
	view := s.follower.View()
	for _, configured := range view.Pools() {
		version, ok := view.UpcomingVersion(configured.Model)
		if configured.Kind != ticket.KindModel || !ok {
			continue
		}
		progress, seen := s.progress[version]
		if !seen {
			progress = &loadProgress{since: time.Now(), loaded: map[string]bool{}}
			s.progress[version] = progress
		}
		s.probe(ctx, progress, configured.Name, version.Version)
		if !shouldSwitch(progress.loadedShare(s.runtime.members.Servers(configured.Name)), time.Since(progress.since)) {
			continue
		}
		if err := s.publisher.PublishModelVersion(ctx, version); err != nil {
			s.runtime.log.Warn().Err(err).Str("model", version.Model).Int("version", version.Version).Msg("cannot publish the model version")
			continue
		}
		delete(s.progress, version)
	}
}

// shouldSwitch decides whether to switch, from the share of servers that have loaded a version and the time since it was
// announced.
func shouldSwitch(loadedShare float64, waited time.Duration) bool {
	return loadedShare >= 1 || waited >= switchTimeout || loadedShare >= sufficientShare && waited >= sufficientShareDelay
}

// probe asks the next servers of the pool that haven't loaded the version yet.
func (s *weightSwitcher) probe(ctx context.Context, progress *loadProgress, poolName string, version int) {
	hosts := progress.nextHosts(s.runtime.members.Servers(poolName))
	ready := make([]bool, len(hosts))
	probes := pool.New().WithMaxGoroutines(maxParallelProbes)
	for i, host := range hosts {
		probes.Go(func() { ready[i] = s.hasLoaded(ctx, host, version) })
	}
	probes.Wait()
	for i, host := range hosts {
		if ready[i] {
			progress.loaded[host.ID] = true
		}
	}
}

// nextHosts returns the next live hosts that haven't loaded the version, and continues from the start at the end of the
// list.
func (p *loadProgress) nextHosts(hosts []platform.Host) []platform.Host {
	chosen := []platform.Host{}
	for range hosts {
		if len(chosen) == maxProbesPerRound {
			break
		}
		host := hosts[p.nextIndex%len(hosts)]
		p.nextIndex++
		if host.State == platform.HostLive && !p.loaded[host.ID] {
			chosen = append(chosen, host)
		}
	}
	return chosen
}

// loadedShare returns the share of the live hosts that have loaded the version. A server that can't be reached counts as
// not loaded.
func (p *loadProgress) loadedShare(hosts []platform.Host) float64 {
	live, ready := 0, 0
	for _, host := range hosts {
		if host.State != platform.HostLive {
			continue
		}
		live++
		if p.loaded[host.ID] {
			ready++
		}
	}
	return float64(ready) / math.Max(1, float64(live))
}

func (s *weightSwitcher) hasLoaded(ctx context.Context, host platform.Host, version int) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := peer.Call[request.Probe, request.Load](ctx, s.runtime.client, host.PeerAddress, agent.MethodProbe, request.Probe{})
	return err == nil && max(load.Prefetched, load.Version) >= version
}

// wait blocks until the switching goroutine has returned, after its context has ended.
func (s *weightSwitcher) wait() { s.work.Wait() }
