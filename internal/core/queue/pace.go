package queue

import (
	"math"
	"time"
)

const (
	// paceTime is how long a measurement of the pace counts: some dozen requests of a second, yet
	// short enough to follow a change of weights or of the limit.
	paceTime = 20 * time.Second
	// leastWait tells an item that waited for a slot from one that found a free slot.
	leastWait = time.Millisecond
)

// pace measures the work that leaves a queue a second while items wait. Both sums fade with time.
type pace struct {
	work float64
	busy float64
	// since is when the current wait for a slot began.
	since time.Time
	// cost is the average logarithm of the costs.
	logCost float64
	seen    float64
	// longest is the longest gap in busy, and fades with it.
	longest float64
	// current says that an item has left since the queue was empty.
	current bool
}

// waiting marks that an item began to wait in an empty queue.
func (p *pace) waiting(now time.Time) {
	p.since = now
	p.current = false
}

// left takes in an item that left the queue for the server.
func (p *pace) left(now, enqueued time.Time, cost float64) {
	gap := now.Sub(p.since)
	waited := now.Sub(enqueued)
	p.since = now
	if waited < leastWait {
		return
	}
	fade := math.Exp(-gap.Seconds() / paceTime.Seconds())
	p.work = p.work*fade + cost
	p.busy = p.busy*fade + gap.Seconds()
	p.longest = max(p.longest*fade, gap.Seconds())
	p.current = true
}

// sure says that the pace stems from the present wait, and that no single gap makes up most of the time it is known from.
func (p *pace) sure() bool { return p.current && p.longest <= p.busy/2 }

// rate is the work a second; 0 if it isn't known yet.
func (p *pace) rate() float64 {
	if p.busy <= 0 {
		return 0
	}
	return p.work / p.busy
}

// duration is the time that the work takes; 0 if the pace isn't known yet.
func (p *pace) duration(work float64) time.Duration {
	rate := p.rate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(work/rate, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds what is told to callers.
const maxWait = time.Hour

// costMemory is how many items the typical cost follows.
const costMemory = 256

// learn takes in the cost of an arriving item.
func (p *pace) learn(cost float64) {
	p.seen = min(p.seen+1, costMemory)
	p.logCost += (math.Log(cost) - p.logCost) / p.seen
}

// typicalCost is the geometric mean, which few long items don't carry away.
func (p *pace) typicalCost() float64 { return math.Exp(p.logCost) }

// longCost is the cost from which an item is long.
func (p *pace) longCost() float64 { return longFactor * p.typicalCost() }
