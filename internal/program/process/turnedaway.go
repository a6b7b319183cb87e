package process

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/oleandershelf/oleandershelf/internal/core/admission"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const methodTurnedAway peer.Method = "turnedAway"

// turnedAwayAsk asks an entry for the work that it refused for want of capacity.
type turnedAwayAsk struct{}

// turnedAwayAnswer holds that work by pool, as the number of requests that would have been running.
type turnedAwayAnswer struct {
	Loads map[string]float64 `msgpack:"l"`
}

func serveTurnedAway(r *peer.Registry, measure *admission.RefusedLoad) {
	peer.Handle(r, methodTurnedAway, func(context.Context, turnedAwayAsk) (turnedAwayAnswer, error) {
		return turnedAwayAnswer{Loads: measure.Load(time.Now())}, nil
	})
}

// turnedAway sums up what the entries of the zone refused. An entry that can't be asked counts as having refused
// nothing: fewer servers are ordered then, never more.
func (z zone) turnedAway(ctx context.Context) map[string]float64 {
	sums := map[string]float64{}
	var mu sync.Mutex
	asks := pool.New().WithMaxGoroutines(probeParallel)
	for _, host := range z.runtime.members.Entries() {
		if host.AvailabilityZone != z.name {
			continue
		}
		asks.Go(func() {
			loads := z.turnedAwayAt(ctx, host)
			mu.Lock()
			defer mu.Unlock()
			for name, load := range loads {
				sums[name] += load
			}
		})
	}
	asks.Wait()
	return sums
}

func (z zone) turnedAwayAt(ctx context.Context, host platform.Host) map[string]float64 {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := peer.Call[turnedAwayAsk, turnedAwayAnswer](ctx, z.runtime.client, host.PeerAddress, methodTurnedAway, turnedAwayAsk{})
	if err != nil {
		return nil
	}
	return answer.Loads
}
