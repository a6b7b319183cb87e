package pace

import (
	"math"
	"slices"
)

const (
	// minLoadDifference is the difference in load from which two slots tell the effect of load.
	minLoadDifference = 0.25
	// maxLoadEffect and usualLoadEffect are logarithms of the interval at a full server divided by that of a single request: streams on a
	// full engine take less than 1.9 times as long, usually about 1.2 times.
	maxLoadEffect   = 0.642
	usualLoadEffect = 0.19
	// loadSamples is how many comparisons a pool keeps. From minLoadSamples on they limit the range of the effect.
	loadSamples    = 64
	minLoadSamples = 8
)

// loadEffect estimates how much load slows the servers of a pool, from comparisons of a server with itself. Comparisons between servers would
// take a fast server, which gets more requests, for one on which load has no effect.
type loadEffect struct {
	samples [loadSamples]float64
	total   int
	// estimate is the expected effect; low and high limit the range in which it lies with great certainty.
	estimate, low, high float64
}

func newLoadEffect() loadEffect {
	return loadEffect{estimate: usualLoadEffect, high: maxLoadEffect}
}

// effects returns the expected, the smallest and the largest effect.
func (l *loadEffect) effects() [3]float64 { return [3]float64{l.estimate, l.low, l.high} }

// add adds a comparison.
func (l *loadEffect) add(effect float64) {
	l.samples[l.total%loadSamples] = effect
	l.total++
	if l.total < minLoadSamples {
		return
	}
	n := min(l.total, loadSamples)
	var buffer [loadSamples]float64
	values := buffer[:n]
	copy(values, l.samples[:n])
	slices.Sort(values)
	median := values[n/2]
	for i, value := range values {
		values[i] = math.Abs(value - median)
	}
	slices.Sort(values)
	// 1.48 x 1.25 converts the median deviation to the standard error of a median. Neighbouring comparisons share slots, so that only about
	// a third of them are independent. A quarter is added because counts of running requests lag, which makes the effect look smaller.
	margin := 3*1.85*values[n/2]/math.Sqrt(float64(n)/3) + median/4
	l.low = min(max(0, median-margin), maxLoadEffect)
	l.high = min(max(0, median+margin), maxLoadEffect)
	weight := float64(n) / float64(n+minLoadSamples)
	l.estimate = min(max(l.low, usualLoadEffect+weight*(median-usualLoadEffect)), l.high)
}
