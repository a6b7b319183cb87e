package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
)

// newEngines returns count engines that have version 1 of each model.
func newEngines(count int, models ...string) []Engine {
	var engines []Engine
	for i := range count {
		versions := map[string]int{}
		for _, model := range models {
			versions[model] = 1
		}
		engines = append(engines, Engine{Server: backend.Server{ID: fmt.Sprintf("e%03d", i), Slots: 6, Started: start, Models: versions}})
	}
	return engines
}

// planForMinute runs the planner every 200 ms for a minute and returns the number of engines of each model.
func planForMinute(t *testing.T, planner *Planner, from time.Time, engines []Engine, newest map[string]int, rates map[string]float64) map[string]int {
	t.Helper()
	for i := range 300 {
		planner.Next(from.Add(time.Duration(i)*200*time.Millisecond), engines, newest, rates)
	}
	return planner.ServerCounts()
}

// Guards against idle engines of one trainer while the steps of another one, which require a higher token rate, miss their deadlines.
func TestEnginesAreSharedByTokenRate(t *testing.T) {
	for _, test := range []struct {
		name    string
		engines int
		rates   map[string]float64
		// maxRatio bounds the ratio of the highest token rate per engine to the lowest.
		maxRatio float64
	}{
		{name: "two trainers, one with twice the token rate", engines: 9, rates: map[string]float64{"a": 200, "b": 100}, maxRatio: 1.4},
		{name: "six trainers on many engines", engines: 92, rates: map[string]float64{"a": 26, "b": 14, "c": 24, "d": 26, "e": 12, "f": 27}, maxRatio: 1.25},
		{name: "six trainers on few engines", engines: 17, rates: map[string]float64{"a": 26, "b": 14, "c": 24, "d": 26, "e": 12, "f": 27}, maxRatio: 1.7},
		{name: "equal token rates", engines: 20, rates: map[string]float64{"a": 5, "b": 5, "c": 5, "d": 5}, maxRatio: 1.01},
	} {
		t.Run(test.name, func(t *testing.T) {
			var models []string
			newest := map[string]int{}
			for model := range test.rates {
				models = append(models, model)
				newest[model] = 1
			}
			counts := planForMinute(t, NewPlanner(), start, newEngines(test.engines, models...), newest, test.rates)
			var perEngine []float64
			for model, rate := range test.rates {
				perEngine = append(perEngine, rate/float64(counts[model]))
			}
			highest, lowest := perEngine[0], perEngine[0]
			for _, rate := range perEngine {
				highest, lowest = max(highest, rate), min(lowest, rate)
			}
			if highest > test.maxRatio*lowest {
				t.Errorf("highest token rate per engine is %.2f times the lowest: %v", highest/lowest, counts)
			}
		})
	}
}

// Guards against engines that change models whenever a step varies in size: each change costs a weight load and the cached prompts.
func TestSmallChangesOfTokenRatesMoveNoEngine(t *testing.T) {
	engines := newEngines(92, "a", "b", "c")
	newest := map[string]int{"a": 1, "b": 1, "c": 1}
	planner := NewPlanner()
	planForMinute(t, planner, start, engines, newest, map[string]float64{"a": 100, "b": 200, "c": 100})
	before := map[backend.Key]string{}
	for key, model := range planner.models {
		before[key] = model
	}
	planForMinute(t, planner, start.Add(time.Minute), engines, newest, map[string]float64{"a": 105, "b": 195, "c": 97})
	for key, model := range planner.models {
		if before[key] != model {
			t.Errorf("%s changed from %s to %s", key.ID, before[key], model)
		}
	}
}

// Guards against mass reassignment after a change of leader: the new leader doesn't know the token rates at first, and
// equal shares would make half of the engines load another model.
func TestNewLeaderKeepsTheAssignment(t *testing.T) {
	rates := map[string]float64{"a": 30, "b": 10, "c": 10}
	engines := newEngines(20, "a", "b", "c")
	first := NewPlanner()
	counts := planForMinute(t, first, start, engines, map[string]int{"a": 1, "b": 1, "c": 1}, rates)
	newest := map[string]int{"a": 5, "b": 4, "c": 6}
	for i := range engines {
		model := first.models[engines[i].Key()]
		engines[i].Models[model] = newest[model] - i%3
	}
	next := NewPlanner()
	if got := planForMinute(t, next, start, engines, newest, nil); fmt.Sprint(got) != fmt.Sprint(counts) {
		t.Errorf("engines by model changed from %v to %v", counts, got)
	}
	for key, model := range first.models {
		if next.models[key] != model {
			t.Errorf("%s changed from %s to %s", key.ID, model, next.models[key])
		}
	}
}

// Guards against shares that collapse between two steps of a trainer, when its token rate is zero.
func TestPeaksOutlastThePauseBetweenSteps(t *testing.T) {
	var w Workload
	w.Observe(start, map[string]float64{"a": 40})
	w.Observe(start.Add(time.Second), map[string]float64{"a": 10, "b": 5})
	for _, test := range []struct {
		after time.Duration
		want  map[string]float64
	}{
		{after: 2 * time.Second, want: map[string]float64{"a": 40, "b": 5}},
		{after: peakWindow + time.Second, want: map[string]float64{"a": 40, "b": 5}},
		{after: 2*peakWindow + 2*time.Second, want: map[string]float64{}},
	} {
		if got := w.Peaks(start.Add(test.after)); fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("after %v: %v", test.after, got)
		}
	}
}
