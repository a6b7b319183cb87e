package weights

import (
	"maps"
	"time"
)

// peakWindow is the minimum time for which a peak counts; the maximum is twice as long. It exceeds the few seconds between
// two steps of a trainer, in which its token rate is zero.
const peakWindow = 8 * time.Second

// Workload tracks the recent peak of the token rate that each model requires. It is not safe for concurrent use.
type Workload struct {
	since             time.Time
	current, previous map[string]float64
}

// Observe records the token rates, by model, that the jobs of one entry require.
func (w *Workload) Observe(now time.Time, rates map[string]float64) {
	w.rotate(now)
	for model, rate := range rates {
		w.current[model] = max(w.current[model], rate)
	}
}

// Peaks returns the recent peak of the token rate of each model that had one.
func (w *Workload) Peaks(now time.Time) map[string]float64 {
	w.rotate(now)
	peaks := maps.Clone(w.previous)
	for model, rate := range w.current {
		peaks[model] = max(peaks[model], rate)
	}
	return peaks
}

// rotate starts a new window once the current one has ended.
func (w *Workload) rotate(now time.Time) {
	switch age := now.Sub(w.since); {
	case age < peakWindow:
		return
	case age < 2*peakWindow:
		w.previous = w.current
	default:
		w.previous = map[string]float64{}
	}
	w.current = map[string]float64{}
	w.since = now
}
