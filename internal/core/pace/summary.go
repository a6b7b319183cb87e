package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// announceTime is how long a summary is sent after it changed: several heartbeats.
	announceTime = 2 * time.Second
	// announceInterval is how often the summary of a server that this entry observes is sent again, so that it doesn't become stale.
	announceInterval = 5 * time.Second
	// minChange is the change of the logarithm of the lasting factor from which a summary has changed.
	minChange = 0.05
	// minAgeDifference is the difference in age from which the younger of two summaries takes precedence over the one with more samples.
	minAgeDifference = 2 * time.Second
	// maxFactor bounds the lasting factors that are accepted from other entries.
	maxFactor = 20
)

// announcement is when and with which lasting factor a summary was last changed.
type announcement struct {
	at      time.Time
	lasting float64
}

// update begins a new announcement if the summary has changed or, for servers that this entry observes, if the last one is old.
func (a *announcement) update(now time.Time, r *record) {
	changed := a.at.IsZero() || math.Abs(r.lasting-a.lasting) >= minChange
	if changed || (!r.fromSummary && now.Sub(a.at) >= announceInterval) {
		*a = announcement{at: now, lasting: r.lasting}
	}
}

// Summaries returns what to tell other entries about servers in uneven pools: the summaries that changed recently, at most limit, those that
// this entry observed before others and the latest first.
func (e *Estimator) Summaries(now time.Time, limit int) []Summary {
	e.announced = e.announced[:0]
	for _, pool := range e.pools {
		pool.evaluate(now)
		if !pool.uneven {
			continue
		}
		for _, r := range pool.records {
			if r.known && now.Sub(r.announcement.at) < announceTime {
				e.announced = append(e.announced, r)
			}
		}
	}
	slices.SortFunc(e.announced, func(x, y *record) int {
		if x.fromSummary != y.fromSummary {
			if x.fromSummary {
				return 1
			}
			return -1
		}
		return y.announcement.at.Compare(x.announcement.at)
	})
	return summarise(now, e.announced[:min(limit, len(e.announced))])
}

// SummariesInTurn returns the summaries of at most limit servers in uneven pools, and those of others at each call until all had their turn.
func (e *Estimator) SummariesInTurn(now time.Time, limit int) []Summary {
	e.announced = e.announced[:0]
	for _, pool := range e.pools {
		if !pool.uneven {
			continue
		}
		for _, r := range pool.records {
			if r.known {
				e.announced = append(e.announced, r)
			}
		}
	}
	if len(e.announced) == 0 {
		return nil
	}
	slices.SortFunc(e.announced, func(x, y *record) int { return x.server.Key.compare(y.server.Key) })
	chosen := make([]*record, 0, limit)
	for range min(limit, len(e.announced)) {
		e.turn = (e.turn + 1) % len(e.announced)
		chosen = append(chosen, e.announced[e.turn])
	}
	return summarise(now, chosen)
}

func summarise(now time.Time, records []*record) []Summary {
	if len(records) == 0 {
		return nil
	}
	summaries := make([]Summary, 0, len(records))
	for _, r := range records {
		at, samples := r.basis()
		lasting := r.lasting
		if r.fromSummary {
			// The own value is relative to the median of the servers that this entry knows, which may be few.
			lasting = r.summary.lasting
		}
		summaries = append(summaries, Summary{
			ID:        r.server.Key.ID,
			Started:   r.server.Key.Started,
			Lasting:   float32(math.Exp(lasting)),
			Samples:   uint8(min(samples, math.MaxUint8)),
			AgeMillis: uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint32)),
		})
	}
	return summaries
}

// Merge records the summaries of another entry.
func (e *Estimator) Merge(now time.Time, summaries []Summary) {
	for _, s := range summaries {
		r, ok := e.records[s.Key()]
		factor := float64(s.Lasting)
		// The comparison is false for a factor that isn't a number.
		if !ok || s.Samples == 0 || !(factor >= 1.0/maxFactor && factor <= maxFactor) {
			continue
		}
		next := learned{lasting: math.Log(factor), samples: int(s.Samples), at: now.Add(-time.Duration(s.AgeMillis) * time.Millisecond)}
		if next.prevails(r.summary) {
			r.summary, r.pool.dirty = next, true
		}
	}
	for _, pool := range e.pools {
		pool.evaluate(now)
	}
}

// prevails reports whether the summary takes precedence over the other one.
func (l learned) prevails(other learned) bool {
	difference := l.at.Sub(other.at)
	switch {
	case other.samples == 0 || difference >= minAgeDifference:
		return true
	case difference <= -minAgeDifference:
		return false
	case l.samples != other.samples:
		return l.samples > other.samples
	default:
		// Summaries of about the same age are copies of one observation, which only took different ways here.
		return false
	}
}
