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
	// switchInterval is how often the servers are asked whether they have loaded an announced version.
	switchInterval = time.Second
	// askedAtOnce bounds the questions of a round, and with them the holder's bytes at thousands of servers: 6 KB/s. A
	// server that has loaded isn't asked again, so 2,200 are through within 90 s, which nobody waits for.
	askedAtOnce = 25
	// nearlyAll of the servers suffice after patience: one that can't load must not hold up the others. It
	// loads and switches by itself later, and its samples name the version that made them.
	nearlyAll = 0.95
	patience  = 30 * time.Second
	// switchLimit ends the wait whatever the servers have loaded: new weights come every ten minutes.
	switchLimit = 5 * time.Minute
)

// weightSwitch makes all servers of a model switch to an announced version by one change of the configuration, once
// they have loaded it. One entry does it for all, under a duty; a successor finds the announced version in the configuration.
type weightSwitch struct {
	runtime   *runtime
	follower  *configuration.Follower
	publisher *configuration.Publisher
	keeper    *duty.Keeper
	// loading is the progress of each announced version. Only the switching goroutine uses it.
	loading map[ticket.ModelVersion]*loading
	work    conc.WaitGroup
}

// loading is what is known of the servers that load an announced version.
type loading struct {
	since time.Time
	// ready holds the hosts that have loaded it.
	ready map[string]bool
	// next is where the next round's questions begin in the list of hosts.
	next int
}

func newWeightSwitch(ctx context.Context, r *runtime, follower *configuration.Follower, publisher *configuration.Publisher, keeper *duty.Keeper) *weightSwitch {
	s := &weightSwitch{runtime: r, follower: follower, publisher: publisher, keeper: keeper, loading: map[ticket.ModelVersion]*loading{}}
	s.work.Go(func() {
		ticker.Every(ctx, switchInterval, func(time.Time) { s.round(ctx) })
	})
	return s
}

// round looks at every model with an announced version.
func (s *weightSwitch) round(ctx context.Context) {
	if _, held := s.keeper.Held(time.Now()); !held {
		clear(s.loading)
		return
	}
	view := s.follower.View()
	for _, configured := range view.Pools() {
		version, ok := view.UpcomingVersion(configured.Model)
		if configured.Kind != ticket.KindModel || !ok {
			continue
		}
		progress, seen := s.loading[version]
		if !seen {
			progress = &loading{since: time.Now(), ready: map[string]bool{}}
			s.loading[version] = progress
		}
		s.ask(ctx, progress, configured.Name, version.Version)
		if !isLoaded(progress.share(s.runtime.members.Servers(configured.Name)), time.Since(progress.since)) {
			continue
		}
		if err := s.publisher.PublishModelVersion(ctx, version); err != nil {
			s.runtime.log.Warn().Err(err).Str("model", version.Model).Int("version", version.Version).Msg("switch weights")
			continue
		}
		delete(s.loading, version)
	}
}

// isLoaded decides from the share of servers that have loaded a version and the time since it was announced.
func isLoaded(share float64, waited time.Duration) bool {
	return share >= 1 || waited >= switchLimit || share >= nearlyAll && waited >= patience
}

// ask asks the next few servers of the pool that haven't loaded the version yet.
func (s *weightSwitch) ask(ctx context.Context, progress *loading, poolName string, version int) {
	hosts := progress.choose(s.runtime.members.Servers(poolName))
	ready := make([]bool, len(hosts))
	probes := pool.New().WithMaxGoroutines(probeParallel)
	for i, host := range hosts {
		probes.Go(func() { ready[i] = s.hasLoaded(ctx, host, version) })
	}
	probes.Wait()
	for i, host := range hosts {
		if ready[i] {
			progress.ready[host.ID] = true
		}
	}
}

// choose returns the next few live hosts that haven't loaded the version, going round the list.
func (l *loading) choose(hosts []platform.Host) []platform.Host {
	chosen := []platform.Host{}
	for range hosts {
		if len(chosen) == askedAtOnce {
			break
		}
		host := hosts[l.next%len(hosts)]
		l.next++
		if host.State == platform.HostLive && !l.ready[host.ID] {
			chosen = append(chosen, host)
		}
	}
	return chosen
}

// share returns the share of the live hosts that have loaded the version. A server that can't be asked counts as one
// that hasn't.
func (l *loading) share(hosts []platform.Host) float64 {
	live, ready := 0, 0
	for _, host := range hosts {
		if host.State != platform.HostLive {
			continue
		}
		live++
		if l.ready[host.ID] {
			ready++
		}
	}
	return float64(ready) / math.Max(1, float64(live))
}

func (s *weightSwitch) hasLoaded(ctx context.Context, host platform.Host, version int) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := peer.Call[request.Probe, request.Load](ctx, s.runtime.client, host.PeerAddress, agent.MethodProbe, request.Probe{})
	return err == nil && max(load.Prefetched, load.Version) >= version
}

// wait returns once the switching has ended, after its context has.
func (s *weightSwitch) wait() { s.work.Wait() }
