package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// State is what an estimator knows, for metrics and the debug state.
type State struct {
	Pools   []PoolState   `json:"pools"`
	Servers []ServerState `json:"servers"`
}

// PoolState is what is known of a pool.
type PoolState struct {
	Pool   string `json:"pool"`
	Uneven bool   `json:"uneven"`
	// Known is the number of servers whose lasting factor is known, Fastest and Slowest are the first and the last tenth of these factors.
	Known   int     `json:"known"`
	Fastest float64 `json:"fastest"`
	Slowest float64 `json:"slowest"`
	// Milliseconds is the expected interval at the median server with a single request and without interference; 0 if unknown.
	Milliseconds float64 `json:"milliseconds"`
	// LoadEffect is how many times as long events take with all slots in use, and Interference how many times as long on average because of
	// other tenants.
	LoadEffect   float64 `json:"loadEffect"`
	Interference float64 `json:"interference"`
}

// ServerState is what is known of a server.
type ServerState struct {
	ID      string  `json:"id"`
	Pool    string  `json:"pool"`
	Lasting float64 `json:"lasting"`
	Present float64 `json:"present"`
	// Reported is the slowdown that the server reported last; 0 if it reported none.
	Reported   float64 `json:"reported"`
	Samples    int     `json:"samples"`
	Deviation  float64 `json:"deviation"`
	AgeSeconds float64 `json:"ageSeconds"`
	// FromOthers is whether the factor was learned from other entries.
	FromOthers bool `json:"fromOthers"`
}

// State returns the pools, sorted by name, and the servers of which something is known, sorted by ID.
func (e *Estimator) State(now time.Time) State {
	var state State
	for _, name := range slices.Sorted(maps.Keys(e.pools)) {
		pool := e.pools[name]
		pool.evaluate(now)
		state.Pools = append(state.Pools, pool.state(name))
	}
	for key, r := range e.records {
		if !r.known && r.reported == 0 {
			continue
		}
		estimate := e.Estimate(now, key, 1)
		state.Servers = append(state.Servers, ServerState{
			ID:         key.ID,
			Pool:       r.server.Pool,
			Lasting:    estimate.Lasting,
			Present:    estimate.Present,
			Reported:   r.reported,
			Samples:    estimate.Samples,
			Deviation:  estimate.Deviation,
			AgeSeconds: estimate.Age.Seconds(),
			FromOthers: r.fromSummary,
		})
	}
	slices.SortFunc(state.Servers, func(x, y ServerState) int { return cmp.Compare(x.ID, y.ID) })
	return state
}

func (p *poolState) state(name string) PoolState {
	state := PoolState{Pool: name, Uneven: p.uneven, LoadEffect: math.Exp(p.load.estimate), Interference: p.interference}
	if p.baseKnown {
		state.Milliseconds = 1000 * math.Exp(p.base)
	}
	var factors []float64
	for _, r := range p.records {
		if r.known {
			factors = append(factors, math.Exp(r.lasting))
		}
	}
	if state.Known = len(factors); state.Known > 0 {
		slices.Sort(factors)
		tenth := len(factors) / 10
		state.Fastest, state.Slowest = factors[tenth], factors[len(factors)-1-tenth]
	}
	return state
}

// UnevenPools returns the names of the uneven pools, sorted.
func (e *Estimator) UnevenPools() []string {
	var names []string
	for name, pool := range e.pools {
		if pool.uneven {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
