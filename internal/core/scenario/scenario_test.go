package scenario

import (
	"flag"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc/pool"
)

var update = flag.Bool("update", false, "write the golden tables")

// seeds are the seeds of the random numbers; the tables show a summary over all of them.
var seeds = []uint64{1, 2, 3}

// scenario is the load of all organisations together with the events that affect the servers.
type scenario struct {
	name    string
	sources []trafficSource
	// available returns the share of the capacity that is available at a point in time; nil means all of it.
	available func(at time.Duration) float64
	// prepare schedules the events that affect the servers.
	prepare func(s *sim)
}

// eightSources returns the sources of eight organisations, two of them with three times the weight and load of the
// others. Together they offer the load total, as a share of the capacity.
func eightSources(total float64) []trafficSource {
	out := make([]trafficSource, 8)
	for i := range out {
		out[i] = trafficSource{weight: 1, load: constant(total / 12), keyCount: 1}
		if i < 2 {
			out[i] = trafficSource{weight: 3, load: constant(total / 4), keyCount: 1}
		}
	}
	return out
}

// modifySource applies change to the source of one organisation.
func modifySource(sources []trafficSource, org int, change func(*trafficSource)) []trafficSource {
	change(&sources[org])
	return sources
}

// burstLoad is a low load with a burst of ten seconds.
func burstLoad(at time.Duration) float64 {
	if at >= 80*time.Second && at < 90*time.Second {
		return 1.5
	}
	return 0.05
}

// loseThreeServers takes three of the ten servers down for 30 seconds.
func loseThreeServers(s *sim) {
	for i := range 3 {
		s.clock.after(90*time.Second, func() { s.loseServer(i) })
		s.clock.after(120*time.Second, func() { s.recoverServer(i) })
	}
}

// capacityWithThreeLost is the available capacity under loseThreeServers.
func capacityWithThreeLost(at time.Duration) float64 {
	if at >= 90*time.Second && at < 120*time.Second {
		return 0.7
	}
	return 1
}

// capacityDuringSwaps approximates the available capacity under swapWeights: none for the two seconds
// in the middle of each swap.
func capacityDuringSwaps(at time.Duration) float64 {
	for _, swap := range []time.Duration{80, 110, 140} {
		if sinceSwap := at - swap*time.Second; sinceSwap >= 500*time.Millisecond && sinceSwap < 2500*time.Millisecond {
			return 0
		}
	}
	return 1
}

// swapWeights stops each server for two seconds, three times. The servers stop one after another within a second.
func swapWeights(s *sim) {
	for _, at := range []time.Duration{80, 110, 140} {
		for i, a := range s.agents {
			offset := time.Duration(i) * 100 * time.Millisecond
			s.clock.after(at*time.Second+offset, func() { a.server.setSpeed(0) })
			s.clock.after(at*time.Second+offset+2*time.Second, func() { a.server.setSpeed(1) })
		}
	}
}

func scenarios() []scenario {
	long := eightSources(0.9)
	for i := range long {
		long[i].longShare = 0.08
	}
	longOver := eightSources(1.2)
	for i := range longOver {
		longOver[i].longShare = 0.08
	}
	flood := modifySource(eightSources(0.6), 1, func(src *trafficSource) { src.load, src.longShare = constant(1.2), 1 })
	return []scenario{
		{name: "at capacity", sources: eightSources(1)},
		{name: "burst", sources: modifySource(eightSources(0.7), 2, func(src *trafficSource) { src.load = burstLoad })},
		{name: "hot organisation", sources: modifySource(eightSources(0.7), 2, func(src *trafficSource) { src.load = constant(1.5) })},
		{name: "hot key", sources: modifySource(eightSources(0.7), 2, func(src *trafficSource) {
			src.load, src.keyCount, src.hotKeyShare, src.rateLimit = constant(0.5), 5, 0.9, 4
		})},
		{name: "slow server", sources: eightSources(0.7), available: constant(0.92), prepare: func(s *sim) { s.agents[0].server.setSpeed(0.2) }},
		{name: "long among short", sources: long},
		{name: "long among short 1.2", sources: longOver},
		{name: "flood of long", sources: flood},
		{name: "overload 1.5", sources: eightSources(1.5)},
		{name: "overload 3", sources: eightSources(3)},
		{name: "loss of a third", sources: eightSources(0.6), available: capacityWithThreeLost, prepare: loseThreeServers},
		{name: "weight swap", sources: eightSources(0.8), available: capacityDuringSwaps, prepare: swapWeights},
	}
}

// loseServer takes a server down. Its running and queued calls are sent elsewhere or fail.
func (s *sim) loseServer(i int) {
	a := s.agents[i]
	s.lostAt[i] = s.clock.elapsed()
	a.server.fail()
	queued := a.fifo
	a.fifo = nil
	for _, c := range queued {
		c.entry.outstanding[a.server.name]--
		a.acceptBaseline(c)
	}
	for {
		item, ok := a.queue.Pop(s.clock.now)
		if !ok {
			return
		}
		a.queue.Finished(item)
		a.retryOrFail(item.Value)
	}
}

// recoverServer brings a lost server back, with an empty queue and cache.
func (s *sim) recoverServer(i int) {
	s.lostAt[i] = 0
	s.agents[i].server.up = true
}

// simulate runs the scenario under a policy.
func (sc scenario) simulate(p policy, seed uint64) result {
	s := newSim(seed, p, sc.sources)
	if sc.prepare != nil {
		sc.prepare(s)
	}
	s.clock.runUntil(simulationEnd)
	return s.result(func(at time.Duration) float64 {
		if sc.available == nil {
			return capacity
		}
		return capacity * sc.available(at)
	})
}

// TestScenarios runs each scenario under each policy and compares what the clients receive with the golden table, whose
// rows are shown in docs/DECISIONS.md.
func TestScenarios(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	table.WriteString(scenarioHeader)
	all := scenarios()
	policies := []policy{roundRobin, leastOutstanding, leastOutstandingShortQueue, corePolicy}
	rows := make([]string, len(all)*len(policies))
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for i := range rows {
		workers.Go(func() {
			sc, p := all[i/len(policies)], policies[i%len(policies)]
			var results []result
			for _, seed := range seeds {
				results = append(results, sc.simulate(p, seed))
			}
			rows[i] = meanResult(results).row(sc.name, p)
		})
	}
	workers.Wait()
	table.WriteString(strings.Join(rows, ""))
	compareGolden(t, "scenarios.md", table.String())
}

// compareGolden compares got with a file in testdata, which it writes first if -update is given.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}
