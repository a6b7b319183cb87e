package admission

import (
	"sync"
	"time"
)

const (
	// turnedAwayTime is over how long refused work is averaged: several rounds of the zone's decision, and
	// well below a server's start-up time.
	turnedAwayTime = 10 * time.Second
	// A request's time holds its wait in the queue too, which grows when the pool is full. The estimate goes down
	// fast and up slowly, which keeps it near the time of requests that hardly waited.
	downShare = 0.5
	upShare   = 0.02
)

// TurnedAway measures the work that was refused for want of capacity, as the average number of requests that would
// have been running: the rate of refusals times the time that a request runs (Little's law).
//
// Load pattern: a pool that is full refuses at the entries, so its agents never see the work. Without this measure the
// zone's decision on servers sees a full pool with a short queue and orders too few.
//
// It is safe for concurrent use.
type TurnedAway struct {
	mu    sync.Mutex
	pools map[string]*turnedAway
}

type turnedAway struct {
	took time.Duration
	// refusals decays with turnedAwayTime.
	refusals float64
	at       time.Time
}

// NewTurnedAway returns a measure that has seen nothing.
func NewTurnedAway() *TurnedAway { return &TurnedAway{pools: map[string]*turnedAway{}} }

// Served takes in the time of a request that was answered whole.
func (t *TurnedAway) Served(pool string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(pool)
	if p.took == 0 {
		p.took = took
		return
	}
	share := upShare
	if took < p.took {
		share = downShare
	}
	p.took += time.Duration(share * float64(took-p.took))
}

// Refused takes in a request that was refused for want of capacity.
func (t *TurnedAway) Refused(now time.Time, pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(pool)
	p.decay(now)
	p.refusals++
}

// Load returns the refused work of each pool that has any.
func (t *TurnedAway) Load(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := map[string]float64{}
	for name, p := range t.pools {
		p.decay(now)
		if load := p.refusals / turnedAwayTime.Seconds() * p.took.Seconds(); load > 0 {
			loads[name] = load
		}
	}
	return loads
}

func (t *TurnedAway) pool(name string) *turnedAway {
	p, ok := t.pools[name]
	if !ok {
		p = &turnedAway{}
		t.pools[name] = p
	}
	return p
}

// decay lets refusals fade linearly, so that a pool without refusals for the whole time has none.
func (p *turnedAway) decay(now time.Time) {
	left := 1 - now.Sub(p.at).Seconds()/turnedAwayTime.Seconds()
	p.refusals *= min(max(left, 0), 1)
	p.at = now
}
