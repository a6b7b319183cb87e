package capacity

import (
	"context"
	"fmt"

	"github.com/oleandershelf/oleandershelf/internal/core/placement"
)

// subsetSize is the number of servers of a pool that an entry uses, the same as in the package entry.
const subsetSize = 24

// placementExperiment measures the cost of choosing an entry's subset of the servers of a pool, which is done for each
// request.
type placementExperiment struct{}

// Description implements Experiment.
func (placementExperiment) Description() Description {
	return Description{
		Name: "placements", SizeUnit: "server",
		Notes: "Serving: choosing an entry's 24 servers of a pool, which is done for each request. One host; nothing else runs.",
	}
}

// Sizes implements Experiment.
func (placementExperiment) Sizes() []int { return []int{10, 100, 500, 2200} }

// Measure implements Experiment.
func (placementExperiment) Measure(_ context.Context, count int) ([]Metric, error) {
	servers := make([]placement.Server, count)
	for i := range servers {
		servers[i] = placement.Server{
			HostID: fmt.Sprintf("host-%05d", i), Pool: modelPool, AvailabilityZone: fmt.Sprintf("zone-%02d", i%zoneCount+1),
		}
	}
	processorStart := processorTime()
	chosen := 0
	for range 5 * repeats {
		chosen = len(placement.Subset("entry-001", measuredZone, servers, subsetSize))
	}
	return []Metric{
		{Name: "processor time of a placement", Unit: "µs", Value: (processorTime() - processorStart).Seconds() * microsecondsPerSecond / (5 * repeats)},
		{Name: "servers found", Unit: "servers", Value: float64(chosen)},
	}, nil
}
