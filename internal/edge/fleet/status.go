package fleet

import (
	"maps"
	"slices"

	"github.com/oleandershelf/oleandershelf/internal/core/fleet"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Status is the runner's part of a state dump.
type Status struct {
	AvailabilityZone string           `json:"availabilityZone"`
	Held             bool             `json:"held"`
	Fencing          platform.Version `json:"fencing"`
	Pools            []PoolStatus     `json:"pools"`
}

// PoolStatus is the last decision for a pool.
type PoolStatus struct {
	Pool    string     `json:"pool"`
	Count   int        `json:"count"`
	Need    int        `json:"need"`
	Hold    fleet.Hold `json:"hold"`
	Drain   []string   `json:"drain"`
	Pending bool       `json:"pending"`
}

// State returns the last published status.
func (r *Runner) State() any { return r.status.Load() }

// publish makes the current status visible to other goroutines.
func (r *Runner) publish(held bool) {
	status := &Status{AvailabilityZone: r.zone, Held: held, Fencing: r.fencing}
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		pool := r.pools[name]
		status.Pools = append(status.Pools, PoolStatus{
			Pool:    name,
			Count:   pool.last.Count,
			Need:    pool.last.Need,
			Hold:    pool.last.Hold,
			Drain:   pool.last.Drain,
			Pending: pool.pending != nil,
		})
	}
	r.status.Store(status)
}
