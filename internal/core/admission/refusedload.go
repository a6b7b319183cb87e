package admission

import (
	"sync"
	"time"
)

const (
	// refusalWindow is the time over which refused work is averaged: it covers several rounds of the availability zone's
	// scaling decision, and is well below a server's start-up time.
	refusalWindow = 10 * time.Second
	// A request's latency includes its wait in the queue, which grows when the pool is full. The run-time estimate
	// follows lower latencies fast and higher ones slowly, so that it stays near that of requests that hardly waited.
	decreaseSmoothing = 0.5
	increaseSmoothing = 0.02
)

// RefusedLoad measures the work refused for lack of capacity as the average number of requests that would have
// been running: the rate of refusals times the run time of a request (Little's law).
//
// Load pattern: a full pool refuses requests at the entries, so its agents never see that work. Without this
// measure the availability zone's scaling decision would see a full pool with a short queue and order too few servers.
//
// It is safe for concurrent use.
type RefusedLoad struct {
	mu    sync.Mutex
	pools map[string]*poolRefusals
}

type poolRefusals struct {
	// runTime is the estimated time that a request runs.
	runTime time.Duration
	// refusals is the number of refusals, decayed over refusalWindow.
	refusals float64
	decayed  time.Time
}

// NewRefusedLoad returns an empty measure.
func NewRefusedLoad() *RefusedLoad { return &RefusedLoad{pools: map[string]*poolRefusals{}} }

// Served records the latency of a request that was answered in full.
func (l *RefusedLoad) Served(pool string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(pool)
	if p.runTime == 0 {
		p.runTime = latency
		return
	}
	smoothing := increaseSmoothing
	if latency < p.runTime {
		smoothing = decreaseSmoothing
	}
	p.runTime += time.Duration(smoothing * float64(latency-p.runTime))
}

// Refused records a request that was refused for lack of capacity.
func (l *RefusedLoad) Refused(now time.Time, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(pool)
	p.decay(now)
	p.refusals++
}

// Load returns the refused work, in running requests, of each pool that has any.
func (l *RefusedLoad) Load(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	loads := map[string]float64{}
	for name, p := range l.pools {
		p.decay(now)
		if load := p.refusals / refusalWindow.Seconds() * p.runTime.Seconds(); load > 0 {
			loads[name] = load
		}
	}
	return loads
}

func (l *RefusedLoad) pool(name string) *poolRefusals {
	p, ok := l.pools[name]
	if !ok {
		p = &poolRefusals{}
		l.pools[name] = p
	}
	return p
}

// decay reduces refusals in proportion to the time since the last call, to zero after refusalWindow.
func (p *poolRefusals) decay(now time.Time) {
	left := 1 - now.Sub(p.decayed).Seconds()/refusalWindow.Seconds()
	p.refusals *= min(max(left, 0), 1)
	p.decayed = now
}
