package admission

import (
	"maps"
	"slices"
	"time"
)

// Figures of the fair share; the package comment gives the grounds.
const (
	window        = time.Second
	fullFrom      = 0.02
	headroom      = 1.05
	growth        = 1.05
	cut           = 0.95
	demandShare   = 0.3
	servedShare   = 0.3
	calmFactor    = 1.2
	shareBurst    = 2.0
	maxRetryAfter = 30 * time.Second
	// idleWindows is after how many windows without a request a member is forgotten.
	idleWindows = 60
)

// member is an organisation at a pool.
type member struct {
	claim
	rate  bucket
	share bucket
	keys  keyUse
	// offered is the cost asked for in this window.
	offered float64
	fastest [costClasses]fastest
	idle    int
}

// pool is what the entry knows of a pool's load.
type pool struct {
	members  map[string]*member
	began    time.Time
	finished int
	refused  int
	served   float64
	goodput  float64
	capacity float64
	full     bool
}

// roll ends the window if it is over.
func (p *pool) roll(now time.Time) {
	if p.began.IsZero() {
		p.began = now
		return
	}
	elapsed := now.Sub(p.began)
	if elapsed < window {
		return
	}
	p.measure(elapsed.Seconds())
	p.adapt()
	p.began = now
	p.finished, p.refused, p.served = 0, 0, 0
}

// measure takes the window into the averages.
func (p *pool) measure(elapsed float64) {
	p.goodput += (p.served/elapsed - p.goodput) * servedShare
	for name, m := range p.members {
		m.demand += (m.offered/elapsed - m.demand) * demandShare
		m.idle++
		if m.offered > 0 {
			m.idle = 0
		}
		m.offered = 0
		if m.idle > idleWindows {
			delete(p.members, name)
		}
	}
}

// adapt moves the capacity tried and divides it.
func (p *pool) adapt() {
	refusing := float64(p.refused) > fullFrom*float64(p.finished)
	switch {
	case refusing && !p.full:
		p.full = true
		p.capacity = p.goodput * headroom
	case refusing:
		p.capacity = max(p.capacity*cut, p.goodput*headroom)
	case p.full:
		p.capacity *= growth
	}
	if !p.full {
		return
	}
	claims, demand := p.claims()
	if p.capacity > demand*calmFactor {
		p.full = false
		return
	}
	divide(p.capacity, claims)
	for _, m := range p.members {
		m.share.set(m.part, m.part*shareBurst)
	}
}

func (p *pool) claims() ([]*claim, float64) {
	claims := make([]*claim, 0, len(p.members))
	demand := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.members)) {
		m := p.members[name]
		claims = append(claims, &m.claim)
		demand += m.demand
	}
	return claims, demand
}
