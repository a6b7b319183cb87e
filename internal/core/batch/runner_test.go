package batch

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// testRunners returns runners with 0.8 and 0.144 cores in turn, as in a deployment that grew.
func testRunners(count int) []Runner {
	var runners []Runner
	for i := range count {
		cores := 0.8
		if i%2 == 1 {
			cores = 0.144
		}
		runners = append(runners, Runner{HostID: fmt.Sprintf("entry-%d", i), Cores: cores})
	}
	return runners
}

// preferredRunners returns the preferred runner of each model.
func preferredRunners(t *testing.T, models []string, runners []Runner) map[string]string {
	t.Helper()
	chosen := map[string]string{}
	for _, model := range models {
		runner, ok := PreferredRunner("job", model, Demand{Models: models}, runners)
		if !ok {
			t.Fatalf("no runner for model %s among %d", model, len(runners))
		}
		chosen[model] = runner
	}
	return chosen
}

// Eighteen trainers submit a step every few seconds, each at any entry. Guards against entries that choose
// different runners because they know the others in a different order, against an entry with two models while
// another eligible one has none, and against small entries that are given models.
func TestPreferredRunnerSpreadsModels(t *testing.T) {
	var models []string
	for i := range 18 {
		models = append(models, fmt.Sprintf("m%d", i))
	}
	for _, test := range []struct {
		name      string
		runners   int
		maxModels int
	}{
		{name: "many runners", runners: 380, maxModels: 1},
		{name: "few runners", runners: 8, maxModels: 5},
		{name: "one runner", runners: 1, maxModels: 18},
	} {
		t.Run(test.name, func(t *testing.T) {
			runners := testRunners(test.runners)
			chosen := preferredRunners(t, models, runners)
			reversed := slices.Clone(runners)
			slices.Reverse(reversed)
			assigned := map[string]int{}
			for model, runner := range preferredRunners(t, models, reversed) {
				assigned[runner]++
				if chosen[model] != runner {
					t.Errorf("model %s has runner %s or %s, depending on the order of runners", model, runner, chosen[model])
				}
			}
			for _, r := range runners {
				if assigned[r.HostID] > test.maxModels || r.Cores < 0.8 && assigned[r.HostID] > 0 {
					t.Errorf("%s with %v cores has %d models", r.HostID, r.Cores, assigned[r.HostID])
				}
			}
		})
	}
}

// An entry leaves. Guards against moving the models of other entries as well, since all connections of a moved
// model are reopened.
func TestFewModelsMoveWhenARunnerLeaves(t *testing.T) {
	var models []string
	for i := range 18 {
		models = append(models, fmt.Sprintf("m%d", i))
	}
	runners := testRunners(380)
	before := preferredRunners(t, models, runners)
	removed := before["m7"]
	after := preferredRunners(t, models, slices.DeleteFunc(slices.Clone(runners), func(r Runner) bool { return r.HostID == removed }))
	moved := 0
	for model := range before {
		if before[model] != after[model] {
			moved++
		}
	}
	if after["m7"] == removed || moved > 2 {
		t.Errorf("%d models moved; m7 moved from %s to %s", moved, removed, after["m7"])
	}
}

func TestPreferredRunnerEdgeCases(t *testing.T) {
	if runner, ok := PreferredRunner("job", "m", Demand{Models: []string{"m"}}, nil); ok {
		t.Errorf("got %q", runner)
	}
	if runner, _ := PreferredRunner("job", "unknown", Demand{}, []Runner{{HostID: "a"}}); runner != "a" {
		t.Errorf("a model that is not trained yet has runner %q", runner)
	}
}

// A model has 1,350 engines of twelve slots, and a hundred jobs run at once. Guards against one entry that carries
// all their streams: jobs must spread evenly over as many entries as the engines need, while the jobs of a model
// with few engines stay together.
func TestPreferredRunnerSpreadsJobsOfALargeModel(t *testing.T) {
	for _, test := range []struct {
		name                string
		slots               int
		minRunners, maxJobs int
		runners             int
	}{
		{name: "a dozen engines", slots: 108, minRunners: 1, maxJobs: 400, runners: 8},
		{name: "1,350 engines a model", slots: 32400, minRunners: 60, maxJobs: 20, runners: 300},
	} {
		t.Run(test.name, func(t *testing.T) {
			runners := testRunners(test.runners)
			jobs := map[string]int{}
			for i := range 400 {
				runner, _ := PreferredRunner(fmt.Sprintf("job-%d", i), "a", Demand{Models: []string{"a", "b"}, Slots: test.slots}, runners)
				jobs[runner]++
			}
			busiest := 0
			for _, count := range jobs {
				busiest = max(busiest, count)
			}
			if len(jobs) < test.minRunners || busiest > test.maxJobs {
				t.Errorf("%d runners, the busiest with %d jobs", len(jobs), busiest)
			}
		})
	}
}

// Guards against several entries loading the same job from the store, against an uneven spread of jobs, and against
// jobs without a reader after an entry is lost.
func TestStoreReaderIsUniqueForEachJob(t *testing.T) {
	runners := testRunners(88)
	reversed := slices.Clone(runners)
	slices.Reverse(reversed)
	jobs := map[string]int{}
	for i := range 440 {
		job := fmt.Sprintf("job-%d", i)
		reader, ok := StoreReader(job, runners)
		if other, _ := StoreReader(job, reversed); !ok || other != reader {
			t.Fatalf("%s: got readers %q and %q for the same runners in different order", job, reader, other)
		}
		jobs[reader]++
		remaining := slices.DeleteFunc(slices.Clone(runners), func(r Runner) bool { return r.HostID == reader })
		if next, ok := StoreReader(job, remaining); !ok || next == reader {
			t.Errorf("%s: no other reader after the loss of %s", job, reader)
		}
	}
	for reader, count := range jobs {
		if count > 30 {
			t.Errorf("%s is the reader of %d of 440 jobs", reader, count)
		}
	}
	if len(jobs) < 40 {
		t.Errorf("%d of the 44 runners with enough cores are readers", len(jobs))
	}
	if _, ok := StoreReader("job", nil); ok {
		t.Error("got a reader for an empty list of runners")
	}
}

// Guards against two opinions on which entries run the jobs of a model: cold servers are left to them.
func TestPreferredRunnersContainEachPreferredRunner(t *testing.T) {
	var runners []Runner
	for i := range 40 {
		runners = append(runners, Runner{HostID: fmt.Sprintf("entry-%d", i), Cores: 1})
	}
	for _, slots := range []int{4, 4 * slotsPerRunner, 40 * slotsPerRunner} {
		demand := Demand{Models: []string{"a", "b", "c", "d"}, Slots: slots}
		for _, model := range append(demand.Models, "later") {
			all, used := PreferredRunners(model, demand, runners), map[string]bool{}
			for job := range 2000 {
				runner, _ := PreferredRunner(fmt.Sprint(job), model, demand, runners)
				used[runner] = true
			}
			if diff := cmp.Diff(slices.Sorted(maps.Keys(used)), all); diff != "" {
				t.Errorf("%d slots, model %s (-used +listed):\n%s", slots, model, diff)
			}
		}
	}
	if got := PreferredRunners("a", Demand{}, nil); len(got) > 0 {
		t.Errorf("runners without entries: %v", got)
	}
}
