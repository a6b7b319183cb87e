package scenario

import (
	"slices"
	"time"
)

// call is one request of a caller.
type call struct {
	org      int
	key      int
	cost     float64
	patience time.Duration
	arrived  time.Time
	deadline time.Time
	// measured calls count; a call that was refused comes back once, as returned.
	measured bool
	returned bool
	tries    int
	exclude  map[string]bool
	entry    *entry
}

// tally is what the callers of an organisation received.
type tally struct {
	offered float64
	served  float64
	// done is the work of all calls answered within the measured time.
	done    float64
	calls   int
	refused int
	failed  int
	late    int
	back    int
	backOK  int
	// waits are the times beyond that of the call at an idle server; short those of short calls.
	waits []time.Duration
	short []time.Duration
	// arrivals are the calls made first, for the fair share.
	arrivals []arrival
	keys     map[int]*[2]float64
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (t *tally) key(key int) *[2]float64 {
	if t.keys == nil {
		t.keys = map[int]*[2]float64{}
	}
	if t.keys[key] == nil {
		t.keys[key] = &[2]float64{}
	}
	return t.keys[key]
}

// ideal is the time of a call at an idle server.
func ideal(cost float64) time.Duration {
	return time.Duration(cost / slotSpeed * float64(time.Second))
}

// offer counts a call when it is made first.
func (s *sim) offer(c *call) {
	if c.returned {
		return
	}
	t := &s.tallies[c.org]
	t.arrivals = append(t.arrivals, arrival{
		at: s.clock.elapsed(), left: c.cost, lastStart: c.deadline.Sub(epoch) - ideal(c.cost), measured: c.measured,
	})
	if !c.measured {
		return
	}
	t.calls++
	t.offered += c.cost
	t.key(c.key)[0] += c.cost
}

// served counts a whole answer. One that comes after the deadline is worth nothing to the caller.
func (s *sim) served(c *call) {
	t := &s.tallies[c.org]
	if s.clock.now.After(c.deadline) {
		s.late(c)
		return
	}
	if at := s.clock.elapsed(); at >= begin && at <= end {
		t.done += c.cost
	}
	if !c.measured {
		return
	}
	t.served += c.cost
	t.key(c.key)[1] += c.cost
	if c.returned {
		t.backOK++
		return
	}
	wait := s.clock.now.Sub(c.arrived) - ideal(c.cost)
	t.waits = append(t.waits, wait)
	if c.cost < longCost {
		t.short = append(t.short, wait)
	}
}

// refuse ends a call; the caller comes back once, at the time it was told.
func (s *sim) refuse(c *call, after time.Duration) {
	t := &s.tallies[c.org]
	if c.measured && !c.returned {
		t.refused++
	}
	if c.returned || after <= 0 {
		return
	}
	if c.measured {
		t.back++
	}
	s.clock.after(after, func() {
		again := *c
		again.returned, again.tries, again.exclude = true, 0, nil
		s.make(&again)
	})
}

func (s *sim) fail(c *call) {
	if c.measured && !c.returned {
		s.tallies[c.org].failed++
	}
}
