package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// evaluationInterval is the minimum time between two comparisons of a pool's servers.
	evaluationInterval = 250 * time.Millisecond
	// minServers is how many servers must be known before a pool can be uneven.
	minServers = 3
	// unevenRatio and evenRatio are ratios of the fastest tenth of the lasting factors to the slowest tenth: at or below the first a pool
	// becomes uneven, since callers would lose a seventh of the time until their results are due; above the second for evenDelay it is no
	// longer uneven.
	unevenRatio = 0.85
	evenRatio   = 0.9
	evenDelay   = 2 * time.Second
	// certainty is how many times its deviation a difference must exceed.
	certainty = 3
	// interferenceDuration and interferenceShare describe the interference of other tenants: a server is slow for that long at a time, in
	// at least that share of the time.
	interferenceDuration = 600 * time.Millisecond
	interferenceShare    = 0.15
	// maxSlowShare bounds the share that is derived from observations.
	maxSlowShare = 0.95
	// minEvidence is the negative logarithm of the probability with which interference alone may make a pool look uneven. With 14 two of
	// 1,080 simulated pools of equal servers became uneven within 24 s, with 18 none of 7,200.
	minEvidence = 18
	// maxSlowRun bounds the time for which a server counts as slow. A longer one proves nothing more.
	maxSlowRun = 10 * time.Second
	// minDeviation is the deviation with many clean slots, and sampleDeviation is added to it divided by the number of slots.
	minDeviation    = 0.02
	sampleDeviation = 0.3
)

// poolState is what is known of a pool.
type poolState struct {
	records []*record
	load    loadEffect
	// base is the logarithm of the interval in seconds at the median server without load and interference; baseKnown is whether a stream of
	// the pool was observed.
	base      float64
	baseKnown bool
	// interference is how many times as long work takes on average because of other tenants.
	interference float64
	dirty        bool
	evaluatedAt  time.Time
	uneven       bool
	// evenSince is when an uneven pool began to look even.
	evenSince time.Time
}

// known is a server of which something is known, in a comparison.
type known struct {
	record *record
	// lasting is the logarithm of the lasting factor.
	lasting, deviation float64
	// limits holds the levels with the expected, the smallest and the largest effect of load.
	limits      [3]levels
	samples     int
	fromSummary bool
}

// sampleUncertainty returns the deviation that follows from the number of slots.
func sampleUncertainty(samples int) float64 { return minDeviation + sampleDeviation/float64(samples) }

// evaluate compares the servers of the pool.
func (p *poolState) evaluate(now time.Time) {
	if !p.dirty || now.Sub(p.evaluatedAt) < evaluationInterval {
		return
	}
	p.dirty, p.evaluatedAt = false, now
	servers, offsets := p.collect(now)
	if len(servers) == 0 {
		p.uneven = false
		return
	}
	p.normalise(servers, offsets)
	p.updateInterference(servers)
	for _, s := range servers {
		s.record.setLasting(now, s)
	}
	p.updateUneven(now, servers)
}

// collect returns the servers of which something is known, and estimates of the logarithm of the interval at the median server. An entry that
// observed only some servers learns by the ones that it has both observed and been told about how these compare with the others.
func (p *poolState) collect(now time.Time) (servers []known, offsets []float64) {
	for _, r := range p.records {
		own := r.window != nil && r.window.len() >= minSlots
		switch {
		case own && !r.summaryPrevails(now):
			s := known{record: r, samples: r.window.len()}
			for i, effect := range p.load.effects() {
				s.limits[i] = r.window.levels(effect)
			}
			s.lasting = s.limits[0].clean
			s.deviation = sampleUncertainty(s.samples) + s.limits[0].spread/math.Sqrt(float64(s.samples))
			servers = append(servers, s)
		case r.summary.samples > 0:
			servers = append(servers, known{record: r, samples: r.summary.samples, lasting: r.summary.lasting,
				deviation: sampleUncertainty(r.summary.samples), fromSummary: true})
		}
		if r.window != nil && r.summary.samples > 0 && now.Sub(r.summary.at) < staleAge && now.Sub(r.window.last().last) < staleAge {
			offsets = append(offsets, r.window.levels(p.load.estimate).clean-r.summary.lasting)
		}
	}
	if len(offsets) == 0 {
		for _, s := range servers {
			if !s.fromSummary {
				offsets = append(offsets, s.lasting)
			}
		}
	}
	return servers, offsets
}

// normalise makes the lasting factors relative to the median server.
func (p *poolState) normalise(servers []known, offsets []float64) {
	if len(offsets) > 0 {
		p.base, p.baseKnown = median(offsets), true
	}
	values := make([]float64, 0, len(servers))
	for i := range servers {
		s := &servers[i]
		if !s.fromSummary {
			s.lasting -= p.base
		}
		values = append(values, s.lasting)
	}
	middle := median(values)
	if len(offsets) > 0 {
		p.base += middle
	}
	for i := range servers {
		s := &servers[i]
		s.lasting -= middle
		if s.fromSummary {
			s.limits = [3]levels{}
			for j := range s.limits {
				s.limits[j] = levels{clean: p.base + s.lasting, usual: p.base + s.lasting}
			}
		}
	}
}

// updateInterference averages the interference over the servers with several slots.
func (p *poolState) updateInterference(servers []known) {
	sum, count := 0.0, 0
	for _, s := range servers {
		if !s.fromSummary && s.record.window.len() >= windowSlots/2 {
			sum += s.record.window.interference(p.load.estimate, s.lasting+p.base)
			count++
		}
	}
	if count > 0 {
		p.interference = min(max(1, sum/float64(count)), maxInterference)
	}
}

// updateUneven decides whether the pool is uneven.
func (p *poolState) updateUneven(now time.Time, servers []known) {
	if len(servers) < minServers {
		p.uneven = false
		return
	}
	tenth := len(servers) / 10
	slices.SortFunc(servers, func(x, y known) int { return cmp.Compare(x.lasting, y.lasting) })
	difference := servers[len(servers)-1-tenth].lasting - servers[tenth].lasting
	differ, limits := compare(servers)
	p.updateSlowRuns(servers, limits)
	if p.uneven {
		if difference >= -math.Log(evenRatio) {
			p.evenSince = now
		}
		p.uneven = now.Sub(p.evenSince) < evenDelay
		return
	}
	if differ && p.evidence(now, servers, limits) >= minEvidence {
		p.uneven, p.evenSince = true, now
	}
}

// slowLimits holds the levels from which a server is slow, for each effect of load.
type slowLimits [3]float64

// compare reports whether the servers differ by clearly more than the uncertainty. The effect of load is known only within a range, and the
// difference must hold throughout it. Fast servers count with their usual level, so that servers which are fast at times don't differ from
// each other.
func compare(servers []known) (differ bool, limits slowLimits) {
	tenth := len(servers) / 10
	differ = true
	for i := range limits {
		slices.SortFunc(servers, func(x, y known) int { return cmp.Compare(x.limits[i].usual, y.limits[i].usual) })
		fastest := servers[tenth]
		slices.SortFunc(servers, func(x, y known) int { return cmp.Compare(x.limits[i].clean, y.limits[i].clean) })
		slowest := servers[len(servers)-1-tenth]
		limits[i] = servers[tenth].limits[i].clean - math.Log(unevenRatio)
		deviation := math.Hypot(sampleUncertainty(fastest.samples), sampleUncertainty(slowest.samples))
		if slowest.limits[i].clean-fastest.limits[i].usual < max(-math.Log(unevenRatio), certainty*deviation) {
			differ = false
		}
	}
	return differ, limits
}

// isSlow reports whether the server is slow whatever the effect of load is.
func (s *known) isSlow(limits slowLimits) bool {
	for i, limit := range limits {
		if s.limits[i].clean < limit {
			return false
		}
	}
	return true
}

// isSlow reports whether the slot is slow whatever the effect of load is.
func (p *poolState) isSlow(s *slot, limits slowLimits) bool {
	for i, effect := range p.load.effects() {
		if s.value-effect*s.load < limits[i] {
			return false
		}
	}
	return true
}

// updateSlowRuns measures for how long each server has had no slot that was as fast as the fastest servers.
func (p *poolState) updateSlowRuns(servers []known, limits slowLimits) {
	for _, s := range servers {
		if s.fromSummary {
			continue
		}
		r := s.record
		// The last slot is still open.
		for number := max(r.comparedSlots, r.window.total-windowSlots); number < r.window.total-1; number++ {
			slot := r.window.at(number)
			r.slowRun = min(r.slowRun+slot.covered, maxSlowRun)
			if !p.isSlow(slot, limits) {
				r.slowRun = 0
			}
		}
		r.comparedSlots = max(r.comparedSlots, r.window.total-1)
	}
}

// evidence returns the negative logarithm of the probability that interference alone makes as many servers look slow for as long as they
// have. An entry sends summaries only for a pool that it found uneven, so that recent ones are sufficient.
func (p *poolState) evidence(now time.Time, servers []known, limits slowLimits) float64 {
	share := p.slowShare(servers, limits)
	evidence, slow := 0.0, 0
	for _, s := range servers {
		switch {
		case !s.isSlow(limits):
			continue
		case s.fromSummary:
			if now.Sub(s.record.summary.at) < staleAge {
				return math.Inf(1)
			}
		default:
			// The first of the periods may have begun before the run, and spans at its edges are slow in part.
			periods := float64(s.record.slowRun-interferenceDuration) / float64(interferenceDuration)
			evidence -= (1 + max(0, periods)) * math.Log(share)
		}
		slow++
	}
	return evidence - logChoices(len(servers), slow)
}

// slowShare returns in which share of the slots servers are slow that aren't slow lastingly.
func (p *poolState) slowShare(servers []known, limits slowLimits) float64 {
	slow, total := 0, 0
	for _, s := range servers {
		if s.fromSummary || s.isSlow(limits) {
			continue
		}
		window := s.record.window
		total += window.len()
		for i := range window.len() {
			if p.isSlow(&window.slots[i], limits) {
				slow++
			}
		}
	}
	return min(max(interferenceShare, float64(slow)/float64(max(1, total))), maxSlowShare)
}

// logChoices returns the logarithm of the number of ways to choose k of n.
func logChoices(n, k int) float64 {
	all, _ := math.Lgamma(float64(n + 1))
	chosen, _ := math.Lgamma(float64(k + 1))
	others, _ := math.Lgamma(float64(n - k + 1))
	return all - chosen - others
}

// median returns the median of the values, which it sorts.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
