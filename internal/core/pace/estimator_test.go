package pace

import (
	"math"
	"testing"
	"time"
)

// Guards against a pool whose fast servers stay unknown: one in four takes 0.55 of the usual time, and all are 2.5 times slower for 0.6 s at
// a time. The pool must be uneven, and the factors right, within a few seconds; with a dozen servers within two.
func TestLastingSpeedsAreFoundInInterference(t *testing.T) {
	for _, test := range []struct {
		servers int
		within  time.Duration
	}{{4, 5 * time.Second}, {12, 3 * time.Second}, {49, 2 * time.Second}} {
		for seed := range uint64(30) {
			s := newSimulation(seed, test.servers, oneInFour)
			s.run(test.within, nil)
			if !s.estimator.Uneven("engines") {
				t.Errorf("%d servers, seed %d: not uneven after %v", test.servers, seed, test.within)
			}
			s.run(4*time.Second, nil)
			for i := range s.servers {
				want := oneInFour(i, 0) / 1.2
				if got := s.estimate(i).Lasting; math.Abs(got/want-1) > 0.15 {
					t.Errorf("%d servers, seed %d: factor of server %d is %.2f, want %.2f", test.servers, seed, i, got, want)
				}
			}
		}
	}
}

// Guards against items that are placed blindly for the first seconds, since steps come every 4 s: a second of streams, of which the first
// begin within 0.3 s, must tell three servers apart, and another one must show that eight are uneven.
func TestASecondOfStreamsIsEnough(t *testing.T) {
	s := newSimulation(1, 3, oneInFour)
	s.noise = false
	s.run(1300*time.Millisecond, nil)
	if fast, slow := s.estimate(0), s.estimate(1); fast.Lasting > 0.6 || slow.Lasting < 0.9 || fast.Deviation > 0.3 {
		t.Errorf("fast %+v, slow %+v", fast, slow)
	}
	s = newSimulation(1, 8, oneInFour)
	s.noise = false
	s.run(2*time.Second, nil)
	if !s.estimator.Uneven("engines") {
		t.Error("not uneven")
	}
}

// Guards against a pool of equal servers that is served differently because interference, or different numbers of running requests, make
// some look slower.
func TestEqualServersAreNeverUneven(t *testing.T) {
	for _, test := range []struct {
		name    string
		running func(server int, after time.Duration) int
		factor  func(server int, after time.Duration) float64
	}{
		{name: "full", factor: equal},
		{name: "one stream each", factor: equal, running: func(int, time.Duration) int { return 1 }},
		{name: "different numbers of requests", factor: equal, running: func(server int, _ time.Duration) int { return 1 + server%testSlots }},
		{name: "steps", factor: equal, running: func(server int, after time.Duration) int {
			return max(1, testSlots-int(after%(4*time.Second)/(500*time.Millisecond))-server%2)
		}},
		{name: "steep effect of load", running: func(server int, _ time.Duration) int { return 1 + server%testSlots }, factor: func(server int, _ time.Duration) float64 {
			return 1 + 0.1*float64(server%testSlots)
		}},
		{name: "speeds that change every 600 ms", factor: func(server int, after time.Duration) float64 {
			if (int(after/(600*time.Millisecond))*7+server*3)%4 == 0 {
				return 0.55
			}
			return 1.2
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				for _, servers := range []int{3, 9, 16} {
					s := newSimulation(seed, servers, test.factor)
					if test.running != nil {
						s.running = test.running
					}
					uneven := time.Duration(0)
					s.run(24*time.Second, func(now time.Time) {
						if uneven == 0 && s.estimator.Uneven("engines") {
							uneven = now.Sub(start)
						}
					})
					if uneven > 0 {
						t.Errorf("%d servers, seed %d: uneven after %v", servers, seed, uneven)
					}
				}
			}
		})
	}
}

// Guards against a server that is avoided because of a slow spell of 8 s that has passed.
func TestSlowSpellIsForgotten(t *testing.T) {
	s := newSimulation(1, 9, func(server int, after time.Duration) float64 {
		if server == 0 && after > 2*time.Second && after < 10*time.Second {
			return 2.5
		}
		return 1
	})
	s.run(9500*time.Millisecond, nil)
	if got := s.estimate(0).Lasting; got < 2 {
		t.Errorf("factor %.2f in the spell", got)
	}
	s.run(4500*time.Millisecond, nil)
	if got := s.estimate(0).Lasting; got > 1.1 {
		t.Errorf("factor %.2f 4 s after the spell", got)
	}
	s.run(2*time.Second, nil)
	if s.estimator.Uneven("engines") {
		t.Error("the pool is still uneven")
	}
}

// Guards against a momentary factor that follows an outdated or false report.
func TestPresent(t *testing.T) {
	const spell = 6 * time.Second
	for _, test := range []struct {
		name string
		// slow is whether the streams are 2.5 times slower.
		slow     bool
		reported float64
		// reportAge is how long before the estimate the report came.
		reportAge time.Duration
		idle      time.Duration
		want      float64
	}{
		{name: "usual", want: 1},
		{name: "report", idle: 2 * time.Second, reported: 2.5, want: 2.5},
		{name: "report below the usual", idle: 2 * time.Second, reported: 0.5, want: 1},
		{name: "report that is 2 s old", idle: 3 * time.Second, reported: 2.5, reportAge: 2 * time.Second, want: 1},
		{name: "false report of a usual speed", slow: true, reported: 1, want: 2.5},
		{name: "false report that is older than a span", reported: 2.5, reportAge: 600 * time.Millisecond, want: 1},
		{name: "slow streams without reports", slow: true, want: 2.5},
		{name: "slow streams long ago", slow: true, idle: 1500 * time.Millisecond, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(1, 4, func(server int, after time.Duration) float64 {
				if test.slow && server == 0 && after > spell {
					return 2.5
				}
				return 1
			})
			s.noise = false
			key := s.servers[0].Key
			s.run(spell+800*time.Millisecond, nil)
			at := s.time().Add(test.idle)
			s.estimator.Report(at.Add(-test.reportAge), key, test.reported)
			if got := s.estimator.Estimate(at, key, testSlots).Present; math.Abs(got/test.want-1) > 0.15 {
				t.Errorf("got %.2f, want %.2f", got, test.want)
			}
		})
	}
}

// Guards against a server that restarts under its ID with the speed of its former run.
func TestRestartedServerIsUnknown(t *testing.T) {
	s := newSimulation(1, 8, oneInFour)
	s.run(4*time.Second, nil)
	s.servers[0].Key.Started++
	s.estimator.Retain(s.servers)
	if got := s.estimate(0); got.Lasting != 1 || got.Samples != 0 || got.Deviation != 1 {
		t.Errorf("restarted: %+v", got)
	}
	if got := s.estimate(4).Lasting; got > 0.6 {
		t.Errorf("the factor of another server is %.2f", got)
	}
}

// Guards against a server that is never tried again after a slow period, and against losing a fast server that had no work for a while.
func TestUnusedServers(t *testing.T) {
	s := newSimulation(1, 9, func(server int, _ time.Duration) float64 { return []float64{2, 1, 0.5}[server%3] })
	s.run(4*time.Second, nil)
	s.now += 40 * time.Second
	if got := s.estimate(0); got.Lasting > 1.15 || got.Deviation < 0.5 {
		t.Errorf("slow server after 40 s: %+v", got)
	}
	if got := s.estimate(2).Lasting; got > 0.6 {
		t.Errorf("fast server after 40 s: %.2f", got)
	}
}

// Guards against entries that start without knowing any speed: summaries alone must make the pool uneven, an own observation takes precedence
// over them, and they lose weight with age.
func TestSummaries(t *testing.T) {
	s := newSimulation(1, 8, oneInFour)
	s.run(6*time.Second, nil)
	learner := newSimulation(2, 8, func(server int, _ time.Duration) float64 { return 1.5 * oneInFour(server+2, 0) })
	var summaries []Summary
	seen := map[string]bool{}
	for range 4 {
		for _, summary := range s.estimator.SummariesInTurn(s.time(), 2) {
			seen[summary.ID] = true
			summaries = append(summaries, summary)
		}
	}
	if len(seen) != 8 {
		t.Errorf("%d servers had their turn", len(seen))
	}
	learner.estimator.Merge(s.time(), summaries)
	learner.now = s.now
	if got := learner.estimate(0).Lasting; !learner.estimator.Uneven("engines") || got > 0.6 {
		t.Errorf("learner: uneven %v, factor %.2f", learner.estimator.Uneven("engines"), got)
	}
	for i := range learner.streams {
		learner.streams[i].began += s.now
		learner.streams[i].ends += s.now
	}
	learner.run(4*time.Second, nil)
	if got := learner.estimate(0).Lasting; got < 0.9 {
		t.Errorf("own observation ignored: %.2f", got)
	}
	idle := newSimulation(3, 8, oneInFour)
	idle.estimator.Merge(s.time(), summaries)
	if got := idle.estimator.Estimate(s.time().Add(40*time.Second), s.servers[0].Key, 1); got.Lasting < 0.85 || got.Deviation < 0.5 {
		t.Errorf("after 40 s: %+v", got)
	}
}

// Guards against heartbeats that carry summaries of equal servers or more than the limit, and against an outdated summary that replaces a
// newer one.
func TestSummariesAreBoundedAndOrdered(t *testing.T) {
	even := newSimulation(1, 8, equal)
	even.run(6*time.Second, nil)
	if got := len(even.estimator.Summaries(even.time(), 8)) + len(even.estimator.SummariesInTurn(even.time(), 8)); got != 0 {
		t.Errorf("%d summaries of equal servers", got)
	}
	s := newSimulation(1, 16, oneInFour)
	sent := map[string]bool{}
	s.run(8*time.Second, func(now time.Time) {
		summaries := s.estimator.Summaries(now, 8)
		if len(summaries) > 8 {
			t.Fatalf("%d summaries", len(summaries))
		}
		for _, summary := range summaries {
			sent[summary.ID] = true
		}
	})
	if len(sent) != 16 {
		t.Errorf("%d of 16 servers were announced", len(sent))
	}
	at := func(age time.Duration, samples int) learned { return learned{samples: samples, at: start.Add(-age)} }
	for _, test := range []struct {
		next, present learned
		want          bool
	}{
		{at(0, 1), learned{}, true},
		{at(time.Second, 3), at(4*time.Second, 16), true},
		{at(4*time.Second, 16), at(time.Second, 3), false},
		{at(time.Second, 3), at(2*time.Second, 16), false},
		{at(2*time.Second, 16), at(time.Second, 3), true},
	} {
		if got := test.next.prevails(test.present); got != test.want {
			t.Errorf("%+v over %+v: %v", test.next, test.present, got)
		}
	}
	for _, factor := range []float64{math.NaN(), math.Inf(1), 0, -1, 1e6} {
		s.estimator.Merge(s.time(), []Summary{{ID: "e01", Started: 1, Lasting: float32(factor), Samples: 200}})
	}
	if got := s.estimate(1).Lasting; math.Abs(got-1) > 0.2 {
		t.Errorf("a summary without meaning was used: %v", got)
	}
}

// Guards against second-hand summaries that drift from entry to entry: an entry that knows few servers must pass on the value that it
// received, and a copy of about the same age and as many samples must not replace the first one.
func TestSecondHandSummariesAreSentAsReceived(t *testing.T) {
	s := newSimulation(1, 8, oneInFour)
	s.run(6*time.Second, nil)
	received := s.estimator.SummariesInTurn(s.time(), 3)
	relay := newSimulation(2, 8, oneInFour).estimator
	relay.Merge(s.time(), received)
	values := map[string]float32{}
	for _, summary := range received {
		values[summary.ID] = summary.Lasting
	}
	for _, r := range relay.records {
		if !r.fromSummary {
			continue
		}
		if got := summarise(s.time(), []*record{r})[0]; math.Abs(float64(got.Lasting-values[got.ID])) > 0.001 {
			t.Errorf("%s: received %v, sent %v", got.ID, values[got.ID], got.Lasting)
		}
	}
	first := learned{lasting: 0.5, samples: 8, at: s.time()}
	for age, want := range map[time.Duration]bool{time.Second: false, 2 * time.Second: true, -2 * time.Second: false} {
		if got := (learned{lasting: 0.6, samples: 8, at: first.at.Add(age)}).prevails(first); got != want {
			t.Errorf("a summary younger by %v prevails: %v", age, got)
		}
	}
}
