package admission

import (
	"maps"
	"slices"
	"time"
)

// The package comment gives the reasons for these values.
const (
	// window is the period over which a pool's load is measured.
	window = time.Second
	// fullThreshold is the part of a window's finished requests above which refusals mean that the pool is full.
	fullThreshold = 0.02
	// capacityHeadroom is the ratio of the assumed capacity to the goodput when the pool becomes full, and its least value after.
	capacityHeadroom = 1.05
	// capacityGrowth and capacityBackoff are the factors by which the assumed capacity of a full pool changes after
	// a window without and with refusals.
	capacityGrowth  = 1.05
	capacityBackoff = 0.95
	// demandSmoothing and goodputSmoothing are the weights of a new window in the moving averages.
	demandSmoothing  = 0.3
	goodputSmoothing = 0.3
	// relaxFactor is the ratio of capacity to demand above which a pool no longer counts as full.
	relaxFactor = 1.2
	// shareBurstSeconds is the burst of a share, in seconds of its rate.
	shareBurstSeconds = 2.0
	maxRetryAfter     = 30 * time.Second
	// maxIdleWindows is the number of windows without a request after which an organisation is dropped.
	maxIdleWindows = 60
)

// organisation is the state of one organisation at a pool.
type organisation struct {
	claim
	// rate is the bucket of the rate limit, in requests; share is that of the fair share, in cost.
	rate  bucket
	share bucket
	keys  keyUsage
	// offered is the cost of the requests received in this window, whether admitted or not.
	offered     float64
	minLatency  [costClasses]minLatency
	idleWindows int
}

// pool is what the entry has measured of a pool's load. The counts finished, refused and served are those of the
// current window; goodput is the average cost served per second and capacity the assumed cost per second.
type pool struct {
	organisations map[string]*organisation
	windowStart   time.Time
	finished      int
	refused       int
	served        float64
	goodput       float64
	capacity      float64
	full          bool
}

// rollWindow ends the window if it is over.
func (p *pool) rollWindow(now time.Time) {
	if p.windowStart.IsZero() {
		p.windowStart = now
		return
	}
	elapsed := now.Sub(p.windowStart)
	if elapsed < window {
		return
	}
	p.updateAverages(elapsed.Seconds())
	p.adjustCapacity()
	p.windowStart = now
	p.finished, p.refused, p.served = 0, 0, 0
}

// updateAverages adds the window, which lasted elapsed seconds, to the averages and drops idle organisations.
func (p *pool) updateAverages(elapsed float64) {
	p.goodput += (p.served/elapsed - p.goodput) * goodputSmoothing
	for name, o := range p.organisations {
		o.demand += (o.offered/elapsed - o.demand) * demandSmoothing
		o.idleWindows++
		if o.offered > 0 {
			o.idleWindows = 0
		}
		o.offered = 0
		if o.idleWindows > maxIdleWindows {
			delete(p.organisations, name)
		}
	}
}

// adjustCapacity updates the assumed capacity and divides it among the organisations.
func (p *pool) adjustCapacity() {
	refusing := float64(p.refused) > fullThreshold*float64(p.finished)
	switch {
	case refusing && !p.full:
		p.full = true
		p.capacity = p.goodput * capacityHeadroom
	case refusing:
		p.capacity = max(p.capacity*capacityBackoff, p.goodput*capacityHeadroom)
	case p.full:
		p.capacity *= capacityGrowth
	}
	if !p.full {
		return
	}
	claims, demand := p.claims()
	if p.capacity > demand*relaxFactor {
		p.full = false
		return
	}
	divide(p.capacity, claims)
	for _, o := range p.organisations {
		o.share.configure(o.allocated, o.allocated*shareBurstSeconds)
	}
}

// claims returns the organisations' claims, sorted by name, and their total demand.
func (p *pool) claims() ([]*claim, float64) {
	claims := make([]*claim, 0, len(p.organisations))
	demand := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.organisations)) {
		o := p.organisations[name]
		claims = append(claims, &o.claim)
		demand += o.demand
	}
	return claims, demand
}
