package capacity

import (
	"context"
	"fmt"

	"github.com/oleandershelf/oleandershelf/internal/core/placement"
)

// subsetSize is the entries' own.
const subsetSize = 24

// placements is the cost of finding an entry's subset of a pool, which each request does.
type placements struct{}

// About implements Slope.
func (placements) About() About {
	return About{
		Name: "placements", Axis: "server",
		Notes: "Serving: finding an entry's 24 servers of a pool, at each request. One end, nothing else runs.",
	}
}

// Sizes implements Slope.
func (placements) Sizes() []int { return []int{10, 100, 500, 2200} }

// Measure implements Slope.
func (placements) Measure(_ context.Context, count int) ([]Figure, error) {
	servers := make([]placement.Server, count)
	for i := range servers {
		servers[i] = placement.Server{
			HostID: fmt.Sprintf("host-%05d", i), Pool: modelPool, AvailabilityZone: fmt.Sprintf("zone-%02d", i%zones+1),
		}
	}
	used := usedTime()
	chosen := 0
	for range 5 * repeats {
		chosen = len(placement.Subset("entry-001", measuredZone, servers, subsetSize))
	}
	return []Figure{
		{Name: "processor time of a placement", Unit: "µs", Value: (usedTime() - used).Seconds() * microsecondsPerSecond / (5 * repeats)},
		{Name: "servers found", Unit: "servers", Value: float64(chosen)},
	}, nil
}
