package scenario

import (
	"slices"
	"time"
)

// call is one request of a client.
type call struct {
	// org is the index of the organisation in sim.orgs.
	org int
	// key numbers the API keys of the organisation; 0 is the hot one.
	key int
	// cost is the length of the answer in tokens.
	cost float64
	// timeout is how long the client waits for the answer.
	timeout  time.Duration
	arrived  time.Time
	deadline time.Time
	// measured calls are counted in the results.
	measured bool
	// resubmitted marks the second submission of a call that was refused; a client resubmits once.
	resubmitted bool
	// retries counts the attempts after the first one that the entry made for the call.
	retries int
	// exclude holds the servers that refused or lost the call.
	exclude map[string]bool
	entry   *entry
}

// orgStats is what the clients of an organisation requested and received. Work is in tokens.
type orgStats struct {
	offeredWork float64
	servedWork  float64
	// windowWork is the work of all calls that were answered in time between measureStart and measureEnd.
	windowWork        float64
	calls             int
	refused           int
	failed            int
	late              int
	resubmissions     int
	resubmittedServed int
	// waits holds the latency of each served call minus its latency at an idle server; shortWaits holds those of short calls.
	waits      []time.Duration
	shortWaits []time.Duration
	// arrivals holds the first submission of each call, from which the fair share is computed.
	arrivals []arrival
	// workByKey holds the offered and the served work of each API key.
	workByKey map[int]*[2]float64
}

// quantile returns the q-quantile of the values, for q from 0 to 1; 0 if there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// keyWork returns the offered and the served work of an API key, to be updated in place.
func (stats *orgStats) keyWork(key int) *[2]float64 {
	if stats.workByKey == nil {
		stats.workByKey = map[int]*[2]float64{}
	}
	if stats.workByKey[key] == nil {
		stats.workByKey[key] = &[2]float64{}
	}
	return stats.workByKey[key]
}

// idleLatency returns the latency of a call at an idle server.
func idleLatency(cost float64) time.Duration {
	return time.Duration(cost / slotSpeed * float64(time.Second))
}

// recordArrival counts the first submission of a call.
func (s *sim) recordArrival(c *call) {
	if c.resubmitted {
		return
	}
	stats := &s.stats[c.org]
	stats.arrivals = append(stats.arrivals, arrival{
		at: s.clock.elapsed(), remaining: c.cost, lastStart: c.deadline.Sub(epoch) - idleLatency(c.cost), measured: c.measured,
	})
	if !c.measured {
		return
	}
	stats.calls++
	stats.offeredWork += c.cost
	stats.keyWork(c.key)[0] += c.cost
}

// recordServed counts a complete answer. An answer after the deadline counts as late, since it is worth nothing to the client.
func (s *sim) recordServed(c *call) {
	stats := &s.stats[c.org]
	if s.clock.now.After(c.deadline) {
		s.recordLate(c)
		return
	}
	if at := s.clock.elapsed(); at >= measureStart && at <= measureEnd {
		stats.windowWork += c.cost
	}
	if !c.measured {
		return
	}
	stats.servedWork += c.cost
	stats.keyWork(c.key)[1] += c.cost
	if c.resubmitted {
		stats.resubmittedServed++
		return
	}
	wait := s.clock.now.Sub(c.arrived) - idleLatency(c.cost)
	stats.waits = append(stats.waits, wait)
	if c.cost < longCostThreshold {
		stats.shortWaits = append(stats.shortWaits, wait)
	}
}

// refuse ends a call with a refusal. The client resubmits it once, after the time given; if that is 0, never.
func (s *sim) refuse(c *call, retryAfter time.Duration) {
	stats := &s.stats[c.org]
	if c.measured && !c.resubmitted {
		stats.refused++
	}
	if c.resubmitted || retryAfter <= 0 {
		return
	}
	if c.measured {
		stats.resubmissions++
	}
	s.clock.after(retryAfter, func() {
		resubmission := *c
		resubmission.resubmitted, resubmission.retries, resubmission.exclude = true, 0, nil
		s.submit(&resubmission)
	})
}

// recordFailed counts a call that ended with an error because its server was lost.
func (s *sim) recordFailed(c *call) {
	if c.measured && !c.resubmitted {
		s.stats[c.org].failed++
	}
}
