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

const methodRefusedLoad peer.Method = "turnedAway"

// refusedLoadRequest asks an entry for the load that it refused because no server had capacity.
type refusedLoadRequest struct{}

// refusedLoadResponse contains that load by pool, as the number of requests that would have been running.
type refusedLoadResponse struct {
	Loads map[string]float64 `msgpack:"l"`
}

func serveRefusedLoad(r *peer.Registry, measure *admission.RefusedLoad) {
	peer.Handle(r, methodRefusedLoad, func(context.Context, refusedLoadRequest) (refusedLoadResponse, error) {
		return refusedLoadResponse{Loads: measure.Load(time.Now())}, nil
	})
}

// refusedLoad sums up the load that the entries of the zone refused. An entry that can't be reached counts as having
// refused none: fewer servers are ordered then, never more.
func (z zone) refusedLoad(ctx context.Context) map[string]float64 {
	sums := map[string]float64{}
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(maxParallelProbes)
	for _, host := range z.runtime.members.Entries() {
		if host.AvailabilityZone != z.name {
			continue
		}
		calls.Go(func() {
			loads := z.refusedLoadAt(ctx, host)
			mu.Lock()
			defer mu.Unlock()
			for name, load := range loads {
				sums[name] += load
			}
		})
	}
	calls.Wait()
	return sums
}

func (z zone) refusedLoadAt(ctx context.Context, host platform.Host) map[string]float64 {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := peer.Call[refusedLoadRequest, refusedLoadResponse](ctx, z.runtime.client, host.PeerAddress, methodRefusedLoad, refusedLoadRequest{})
	if err != nil {
		return nil
	}
	return answer.Loads
}
