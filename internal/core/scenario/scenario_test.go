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

var seeds = []uint64{1, 2, 3}

// scenario is a load pattern with what happens to the servers.
type scenario struct {
	name    string
	sources []source
	// available is the part of the capacity that is there at a time; nil is all.
	available func(at time.Duration) float64
	prepare   func(s *sim)
}

// sources returns eight organisations, two of them large, that ask for total of the capacity.
func sources(total float64) []source {
	out := make([]source, 8)
	for i := range out {
		out[i] = source{weight: 1, load: steady(total / 12), keys: 1}
		if i < 2 {
			out[i] = source{weight: 3, load: steady(total / 4), keys: 1}
		}
	}
	return out
}

// with changes one organisation's source.
func with(sources []source, org int, change func(*source)) []source {
	change(&sources[org])
	return sources
}

func burst(at time.Duration) float64 {
	if at >= 80*time.Second && at < 90*time.Second {
		return 1.5
	}
	return 0.05
}

func loseThird(s *sim) {
	for i := range 3 {
		s.clock.after(90*time.Second, func() { s.lose(i) })
		s.clock.after(120*time.Second, func() { s.recover(i) })
	}
}

func thirdLost(at time.Duration) float64 {
	if at >= 90*time.Second && at < 120*time.Second {
		return 0.7
	}
	return 1
}

// swapping leaves out the two seconds of each swap.
func swapping(at time.Duration) float64 {
	for _, swap := range []time.Duration{80, 110, 140} {
		if into := at - swap*time.Second; into >= 500*time.Millisecond && into < 2500*time.Millisecond {
			return 0
		}
	}
	return 1
}

// swapWeights stops all servers for two seconds, spread over one second, three times.
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
	long := sources(0.9)
	for i := range long {
		long[i].longShare = 0.08
	}
	longOver := sources(1.2)
	for i := range longOver {
		longOver[i].longShare = 0.08
	}
	flood := with(sources(0.6), 1, func(src *source) { src.load, src.longShare = steady(1.2), 1 })
	return []scenario{
		{name: "at capacity", sources: sources(1)},
		{name: "burst", sources: with(sources(0.7), 2, func(src *source) { src.load = burst })},
		{name: "hot organisation", sources: with(sources(0.7), 2, func(src *source) { src.load = steady(1.5) })},
		{name: "hot key", sources: with(sources(0.7), 2, func(src *source) { src.load, src.keys, src.hotKey, src.limit = steady(0.5), 5, 0.9, 4 })},
		{name: "slow server", sources: sources(0.7), available: steady(0.92), prepare: func(s *sim) { s.agents[0].server.setSpeed(0.2) }},
		{name: "long among short", sources: long},
		{name: "long among short 1.2", sources: longOver},
		{name: "flood of long", sources: flood},
		{name: "overload 1.5", sources: sources(1.5)},
		{name: "overload 3", sources: sources(3)},
		{name: "loss of a third", sources: sources(0.6), available: thirdLost, prepare: loseThird},
		{name: "weight swap", sources: sources(0.8), available: swapping, prepare: swapWeights},
	}
}

func (s *sim) lose(i int) {
	a := s.agents[i]
	s.gone[i] = s.clock.elapsed()
	a.server.fail()
	waiting := a.plain
	a.plain = nil
	for _, c := range waiting {
		c.entry.outstanding[a.server.name]--
		a.acceptPlain(c)
	}
	for {
		item, ok := a.queue.Pop(s.clock.now)
		if !ok {
			return
		}
		a.queue.Finished(item)
		a.lost(item.Value)
	}
}

func (s *sim) recover(i int) {
	s.gone[i] = 0
	s.agents[i].server.up = true
}

func (sc scenario) run(p policy, seed uint64) result {
	s := newSim(seed, p, sc.sources)
	if sc.prepare != nil {
		sc.prepare(s)
	}
	s.clock.runUntil(drain)
	return s.result(func(at time.Duration) float64 {
		if sc.available == nil {
			return capacity
		}
		return capacity * sc.available(at)
	})
}

// TestScenarios compares what callers receive with the golden table, whose rows docs/DECISIONS.md shows.
func TestScenarios(t *testing.T) {
	t.Parallel()
	var table strings.Builder
	table.WriteString(header)
	all := scenarios()
	policies := []policy{roundRobin, leastOutstanding, leastShort, modules}
	rows := make([]string, len(all)*len(policies))
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for i := range rows {
		workers.Go(func() {
			sc, p := all[i/len(policies)], policies[i%len(policies)]
			var results []result
			for _, seed := range seeds {
				results = append(results, sc.run(p, seed))
			}
			rows[i] = mean(results).row(sc.name, p)
		})
	}
	workers.Wait()
	table.WriteString(strings.Join(rows, ""))
	golden(t, "scenarios.md", table.String())
}

func golden(t *testing.T, name, got string) {
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
