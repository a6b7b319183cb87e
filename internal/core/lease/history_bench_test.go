package lease

import (
	"testing"
	"time"
)

// losses are ways in which a holder is lost for some time.
var losses = []struct {
	name string
	lose func(h *entryHost, until time.Duration)
}{
	{name: "killed", lose: func(h *entryHost, until time.Duration) { h.killedUntil = until }},
	{name: "paused", lose: func(h *entryHost, until time.Duration) { h.pausedUntil = until }},
	{name: "cutOff", lose: func(h *entryHost, until time.Duration) {
		h.cut = cut{incoming: true, outgoing: true, store: true, until: until}
	}},
	{name: "cutOffByResets", lose: func(h *entryHost, until time.Duration) {
		h.cut = cut{incoming: true, outgoing: true, store: true, refuses: true, until: until}
	}},
}

// benchmarkTimings are the timings that are compared.
var benchmarkTimings = []struct {
	name   string
	timing Timing
}{
	{name: "term3.65s", timing: historyTiming},
	{name: "term2.4s", timing: Timing{Term: 2400 * time.Millisecond, Renew: 800 * time.Millisecond, Margin: 350 * time.Millisecond}},
	{name: "term1.2s", timing: Timing{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Margin: 350 * time.Millisecond}},
}

// settleTime is how long a history runs before its holder is lost, and lossTime how long it is lost.
const (
	settleTime = 12 * time.Second
	lossTime   = 10 * time.Second
)

// BenchmarkLostHolder reports the time from a holder's loss to the first call of the next one.
func BenchmarkLostHolder(b *testing.B) {
	for _, test := range benchmarkTimings {
		for _, loss := range losses {
			b.Run(test.name+"/"+loss.name, func(b *testing.B) {
				var total, longest time.Duration
				for seed := range uint64(b.N) {
					gap := gapAfter(seed, test.timing, loss.lose)
					total += gap
					longest = max(longest, gap)
				}
				b.ReportMetric(total.Seconds()/float64(b.N), "gap-s")
				b.ReportMetric(longest.Seconds(), "longest-gap-s")
			})
		}
	}
}

// gapAfter returns the time from the holder's loss to the first call of the next one.
func gapAfter(seed uint64, timing Timing, lose func(h *entryHost, until time.Duration)) time.Duration {
	s := newHistory(seed, 3, timing)
	settled := settleTime + s.between(0, timing.Renew)
	for s.now < settled || s.holder() == nil {
		s.advance()
	}
	holder, lost := s.holder(), s.now
	former := holder.self
	lose(holder, lost+lossTime)
	s.received = nil
	for s.now < lost+lossTime {
		s.advance()
		for _, c := range s.received {
			if c.holder != former {
				return c.at - lost
			}
		}
	}
	return lossTime
}

// BenchmarkStoreHiccup reports how often and for how long nobody holds the duty when its holder doesn't reach the store for a while, and the
// calls to the store in calm.
func BenchmarkStoreHiccup(b *testing.B) {
	for _, test := range benchmarkTimings {
		for _, hiccup := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second} {
			b.Run(test.name+"/"+hiccup.String(), func(b *testing.B) {
				lost, calls, unheld := 0, 0, time.Duration(0)
				for seed := range uint64(b.N) {
					s := newHistory(seed, 3, test.timing)
					for s.now < settleTime+s.timing.Renew || s.holder() == nil {
						s.advance()
					}
					holder := s.holder()
					from := s.now
					holder.cut = cut{store: true, until: from + hiccup}
					s.storeCalls = 0
					gap := time.Duration(0)
					for s.now < from+lossTime {
						s.advance()
						if s.holder() == nil {
							gap += historyTick
						}
					}
					calls += s.storeCalls
					unheld += gap
					if gap > 0 {
						lost++
					}
				}
				b.ReportMetric(float64(lost)/float64(b.N), "losses/op")
				b.ReportMetric(unheld.Seconds()/float64(b.N), "unheld-s/op")
				b.ReportMetric(float64(calls)/float64(b.N)/lossTime.Seconds(), "store-calls/s")
			})
		}
	}
}
