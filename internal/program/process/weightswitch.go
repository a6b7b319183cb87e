package process

import (
	"context"
	"math"
	"sync/atomic"
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
)

const (
	dutyWeightSwitch = "weightSwitch"
	// switchInterval is how often the servers are asked whether they have loaded an announced version.
	switchInterval = time.Second
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
	// since is when each announced version was first seen. Only the switching goroutine uses it.
	since map[ticket.ModelVersion]time.Time
	work  conc.WaitGroup
}

func newWeightSwitch(ctx context.Context, r *runtime, follower *configuration.Follower, publisher *configuration.Publisher, keeper *duty.Keeper) *weightSwitch {
	s := &weightSwitch{runtime: r, follower: follower, publisher: publisher, keeper: keeper, since: map[ticket.ModelVersion]time.Time{}}
	s.work.Go(func() {
		ticker := time.NewTicker(switchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				s.round(ctx)
			}
		}
	})
	return s
}

// round looks at every model with an announced version.
func (s *weightSwitch) round(ctx context.Context) {
	if _, held := s.keeper.Held(time.Now()); !held {
		clear(s.since)
		return
	}
	view := s.follower.View()
	for _, configured := range view.Pools() {
		version, ok := view.Upcoming(configured.Model)
		if configured.Kind != ticket.KindModel || !ok {
			continue
		}
		if _, seen := s.since[version]; !seen {
			s.since[version] = time.Now()
		}
		if !isLoaded(s.loaded(ctx, configured.Name, version.Version), time.Since(s.since[version])) {
			continue
		}
		if err := s.publisher.PublishModelVersion(ctx, version); err != nil {
			s.runtime.log.Warn().Err(err).Str("model", version.Model).Int("version", version.Version).Msg("switch weights")
			continue
		}
		delete(s.since, version)
	}
}

// isLoaded decides from the share of servers that have loaded a version and the time since it was announced.
func isLoaded(share float64, waited time.Duration) bool {
	return share >= 1 || waited >= switchLimit || share >= nearlyAll && waited >= patience
}

// loaded returns the share of the pool's live servers that have loaded the version. A server that can't be asked
// counts as one that hasn't.
func (s *weightSwitch) loaded(ctx context.Context, poolName string, version int) float64 {
	var live, ready atomic.Int64
	probes := pool.New().WithMaxGoroutines(probeParallel)
	for _, host := range s.runtime.members.Servers(poolName) {
		if host.State != platform.HostLive {
			continue
		}
		live.Add(1)
		probes.Go(func() {
			if s.hasLoaded(ctx, host, version) {
				ready.Add(1)
			}
		})
	}
	probes.Wait()
	return float64(ready.Load()) / math.Max(1, float64(live.Load()))
}

func (s *weightSwitch) hasLoaded(ctx context.Context, host platform.Host, version int) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := peer.Ask[request.Probe, request.Load](ctx, s.runtime.client, host.PeerAddress, agent.MethodProbe, request.Probe{})
	return err == nil && max(load.Prefetched, load.Version) >= version
}

// wait returns once the switching has ended, after its context has.
func (s *weightSwitch) wait() { s.work.Wait() }
