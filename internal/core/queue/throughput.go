package queue

import (
	"math"
	"time"
)

const (
	// throughputDecay is the time constant with which throughput measurements decay: it spans some dozen
	// requests of a second, yet is short enough to follow a change of weights or of the limit.
	throughputDecay = 20 * time.Second
	// minSlotWait is the shortest wait that counts as waiting for a slot; a shorter one found a free slot.
	minSlotWait = time.Millisecond
)

// throughput measures the work per second that leaves a queue while items wait, and the typical cost of items.
// The sums work and busy decay exponentially.
type throughput struct {
	work float64
	// busy is the time in seconds during which items waited.
	busy float64
	// waitingSince is when the current wait for a slot began.
	waitingSince time.Time
	// logCost is the moving average of the logarithms of the costs.
	logCost     float64
	costSamples float64
	// longestGap is the longest single interval in busy, in seconds, and decays with it.
	longestGap float64
	// current is set when an item has left since the queue was last empty.
	current bool
}

// startWaiting records that an item began to wait in an empty queue.
func (t *throughput) startWaiting(now time.Time) {
	t.waitingSince = now
	t.current = false
}

// observeDeparture records an item that left the queue for the server.
func (t *throughput) observeDeparture(now, enqueued time.Time, cost float64) {
	gap := now.Sub(t.waitingSince)
	waited := now.Sub(enqueued)
	t.waitingSince = now
	if waited < minSlotWait {
		return
	}
	decay := math.Exp(-gap.Seconds() / throughputDecay.Seconds())
	t.work = t.work*decay + cost
	t.busy = t.busy*decay + gap.Seconds()
	t.longestGap = max(t.longestGap*decay, gap.Seconds())
	t.current = true
}

// reliable reports whether an item has left since the queue was last empty and no single gap makes up more
// than half of the measured time.
func (t *throughput) reliable() bool { return t.current && t.longestGap <= t.busy/2 }

// rate returns the work per second; 0 if it isn't known yet.
func (t *throughput) rate() float64 {
	if t.busy <= 0 {
		return 0
	}
	return t.work / t.busy
}

// duration returns how long the work takes at the measured rate, at most maxWait; 0 if the rate isn't known yet.
func (t *throughput) duration(work float64) time.Duration {
	rate := t.rate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(work/rate, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds the waits that are reported to callers.
const maxWait = time.Hour

// costWindow is the number of items over which the typical cost is averaged.
const costWindow = 256

// observeCost records the cost of an arriving item.
func (t *throughput) observeCost(cost float64) {
	t.costSamples = min(t.costSamples+1, costWindow)
	t.logCost += (math.Log(cost) - t.logCost) / t.costSamples
}

// typicalCost returns the geometric mean of recent costs, which a few long items hardly shift.
func (t *throughput) typicalCost() float64 { return math.Exp(t.logCost) }

// longCost returns the cost from which an item is long.
func (t *throughput) longCost() float64 { return longCostFactor * t.typicalCost() }
