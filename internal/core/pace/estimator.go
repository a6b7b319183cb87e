package pace

import (
	"math"
	"time"
)

const (
	// defaultInterval is the expected time between events in a pool of which no stream was observed; usually 30 to 150 ms.
	defaultInterval = 50 * time.Millisecond
	// maxInterference bounds the average slowdown by other tenants that is expected.
	maxInterference = 1.6
	// presentTTL is how long a reported or observed momentary slowdown is used.
	presentTTL = time.Second
	// minPresent is the observed slowdown below which a server counts as usual: single spans vary by about a tenth.
	minPresent = 1.2
	// staleAge is the age from which knowledge loses weight, by half in each fadeTime, so that a server that is avoided is tried again.
	staleAge = 10 * time.Second
	fadeTime = 10 * time.Second
	// staleDeviation is added to the deviation for each second beyond staleAge.
	staleDeviation = 0.02
	// minInterval and maxInterval bound the intervals that are taken for measurements.
	minInterval = time.Millisecond
	maxInterval = 10 * time.Second
)

// Estimator estimates the speed of servers. It is not safe for concurrent use.
type Estimator struct {
	records map[Key]*record
	pools   map[string]*poolState
	// announced is the list of the records whose summaries are sent, and turn the position of the next one that is sent in turn.
	announced []*record
	turn      int
}

// record is what is known of a server.
type record struct {
	server Server
	pool   *poolState
	// window is nil until a stream of the server was observed.
	window *window
	// reported is the last reported slowdown.
	reported   float64
	reportedAt time.Time
	summary    learned
	// comparedSlots is the number of slots that were compared with the fastest servers, and slowRun the time covered by the last of them
	// that were all slower.
	comparedSlots int
	slowRun       time.Duration
	// known is whether lasting, the logarithm of the lasting factor, is known; fromSummary is whether it comes from another entry.
	known, fromSummary bool
	lasting, deviation float64
	announcement       announcement
}

// learned is a summary that another entry sent. Lasting is a logarithm; samples is 0 if there is none.
type learned struct {
	lasting float64
	samples int
	at      time.Time
}

// NewEstimator returns an Estimator without servers.
func NewEstimator() *Estimator {
	return &Estimator{records: map[Key]*record{}, pools: map[string]*poolState{}}
}

// Retain replaces the list of servers. It forgets what is known of servers that are no longer listed.
func (e *Estimator) Retain(servers []Server) {
	previous, pools := e.records, e.pools
	e.records, e.pools = make(map[Key]*record, len(servers)), map[string]*poolState{}
	for _, server := range servers {
		r, ok := previous[server.Key]
		if !ok || r.server.Pool != server.Pool {
			r = &record{}
		}
		r.server = server
		pool, ok := e.pools[server.Pool]
		if !ok {
			if pool, ok = pools[server.Pool]; !ok {
				pool = &poolState{load: newLoadEffect(), interference: 1}
			}
			pool.records, pool.dirty = pool.records[:0], true
			e.pools[server.Pool] = pool
		}
		r.pool = pool
		pool.records = append(pool.records, r)
		e.records[server.Key] = r
	}
	e.announced = nil
}

// Observe records the mean interval over a span of events of a stream at a server that had the given number of running requests.
func (e *Estimator) Observe(now time.Time, key Key, running int, interval time.Duration) {
	r, ok := e.records[key]
	if !ok || interval < minInterval || interval > maxInterval {
		return
	}
	if r.window == nil {
		r.window = &window{}
	}
	if r.window.add(now, interval, r.load(running)) {
		if effect, ok := r.window.loadEffect(); ok {
			r.pool.load.add(effect)
		}
	}
	r.pool.dirty = true
	r.pool.evaluate(now)
}

// Report records the slowdown that a server reported; 1 is usual. Values of 0 and below carry no information.
func (e *Estimator) Report(now time.Time, key Key, slowdown float64) {
	if r, ok := e.records[key]; ok && slowdown > 0 {
		r.reported, r.reportedAt = slowdown, now
	}
}

// Estimate returns the estimate for a server with the given number of running requests.
func (e *Estimator) Estimate(now time.Time, key Key, running int) Estimate {
	r, ok := e.records[key]
	if !ok {
		return Unknown()
	}
	r.pool.evaluate(now)
	estimate := Unknown()
	if r.known {
		at, samples := r.basis()
		estimate.Samples, estimate.Age = samples, max(0, now.Sub(at))
		estimate.Lasting = math.Exp(r.fadedLasting(estimate.Age))
		estimate.Deviation = min(1, r.deviation+staleDeviation*max(0, estimate.Age-staleAge).Seconds())
	}
	interval := defaultInterval.Seconds()
	if r.pool.baseKnown {
		interval = math.Exp(r.pool.base+r.pool.load.estimate*r.load(running)) * r.pool.interference
	}
	estimate.Interval = time.Duration(interval * estimate.Lasting * float64(time.Second))
	estimate.Present = r.present(now)
	return estimate
}

// Typical returns the expected interval at the median server of the key's pool with the given number of running requests; 0 if unknown.
func (e *Estimator) Typical(key Key, running int) time.Duration {
	r, ok := e.records[key]
	if !ok || !r.pool.baseKnown {
		return 0
	}
	seconds := math.Exp(r.pool.base+r.pool.load.estimate*r.load(running)) * r.pool.interference
	return time.Duration(seconds * float64(time.Second))
}

// Uneven reports whether the servers of the pool were shown to differ in speed.
func (e *Estimator) Uneven(pool string) bool {
	p, ok := e.pools[pool]
	return ok && p.uneven
}

// load returns the load of the server, from 0 with a single request to 1 with all slots in use.
func (r *record) load(running int) float64 {
	if r.server.Slots < 2 {
		return 0
	}
	return min(1, float64(max(0, running-1))/float64(r.server.Slots-1))
}

// summaryPrevails reports whether the summary replaces this entry's own observations, which it does once they are stale.
func (r *record) summaryPrevails(now time.Time) bool {
	last := r.window.last().last
	return r.summary.samples > 0 && now.Sub(last) >= staleAge && r.summary.at.After(last)
}

// setLasting records the result of a comparison.
func (r *record) setLasting(now time.Time, s known) {
	r.known, r.fromSummary = true, s.fromSummary
	r.lasting, r.deviation = s.lasting, s.deviation
	r.announcement.update(now, r)
}

// basis returns the time of the last observation behind the lasting factor and the number of slots.
func (r *record) basis() (at time.Time, samples int) {
	if r.fromSummary {
		return r.summary.at, r.summary.samples
	}
	return r.window.last().last, r.window.len()
}

// fadedLasting returns the logarithm of the lasting factor with the weight that its age leaves it. A server that this entry observed to be
// fast needs no new trial, since it isn't avoided.
func (r *record) fadedLasting(age time.Duration) float64 {
	if age <= staleAge || (r.lasting < 0 && !r.fromSummary) {
		return r.lasting
	}
	return r.lasting * math.Exp2(-float64(age-staleAge)/float64(fadeTime))
}

// present returns the momentary factor. Observed spans take precedence over an older report. A newer report can only add to them: some servers
// always report 1.
func (r *record) present(now time.Time) float64 {
	reported, reportFresh := max(1, r.reported), r.reported > 0 && now.Sub(r.reportedAt) < presentTTL
	if r.window == nil || !r.known || !r.pool.baseKnown || now.Sub(r.window.last().last) >= presentTTL {
		if reportFresh {
			return reported
		}
		return 1
	}
	last := r.window.last()
	observed := math.Exp(last.value - r.pool.load.estimate*last.load - r.pool.base - r.lasting)
	if observed < minPresent {
		observed = 1
	}
	// A span counts as newer if the greater part of it came after the report.
	middle := last.last.Add(-time.Duration(math.Exp(last.value) * spanEvents / 2 * float64(time.Second)))
	if !reportFresh || middle.After(r.reportedAt) {
		return observed
	}
	return max(observed, reported)
}
