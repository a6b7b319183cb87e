package batch

import (
	"fmt"
	"slices"
	"testing"
)

// entries returns hosts with 0.144 and 0.8 cores in turn, as on a deployment that grew.
func entries(count int) []Runner {
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

func homes(t *testing.T, models []string, runners []Runner) map[string]string {
	t.Helper()
	found := map[string]string{}
	for _, model := range models {
		home, ok := Home("job", model, Demand{Models: models}, runners)
		if !ok {
			t.Fatalf("%s has no home among %d", model, len(runners))
		}
		found[model] = home
	}
	return found
}

// Eighteen trainers hand in a step each few seconds, anywhere. All entries must name the same home whatever order they know the others
// in, no entry may have two models while another that can run them has none, and the small entries have none.
func TestModelsAreSpreadOverEntries(t *testing.T) {
	var models []string
	for i := range 18 {
		models = append(models, fmt.Sprintf("m%d", i))
	}
	for _, test := range []struct {
		name    string
		entries int
		most    int
	}{
		{name: "many entries", entries: 380, most: 1},
		{name: "few entries", entries: 8, most: 5},
		{name: "one entry", entries: 1, most: 18},
	} {
		t.Run(test.name, func(t *testing.T) {
			runners := entries(test.entries)
			found := homes(t, models, runners)
			back := slices.Clone(runners)
			slices.Reverse(back)
			dealt := map[string]int{}
			for model, home := range homes(t, models, back) {
				dealt[home]++
				if found[model] != home {
					t.Errorf("%s has two homes: %s and %s", model, home, found[model])
				}
			}
			for _, r := range runners {
				if dealt[r.HostID] > test.most || r.Cores < 0.8 && dealt[r.HostID] > 0 {
					t.Errorf("%s with %v cores has %d models", r.HostID, r.Cores, dealt[r.HostID])
				}
			}
		})
	}
}

// An entry goes. The steps of its model go elsewhere, and few others move, or their connections would all be opened anew.
func TestFewModelsMoveWhenAnEntryGoes(t *testing.T) {
	var models []string
	for i := range 18 {
		models = append(models, fmt.Sprintf("m%d", i))
	}
	runners := entries(380)
	before := homes(t, models, runners)
	gone := before["m7"]
	after := homes(t, models, slices.DeleteFunc(slices.Clone(runners), func(r Runner) bool { return r.HostID == gone }))
	moved := 0
	for model := range before {
		if before[model] != after[model] {
			moved++
		}
	}
	if after["m7"] == gone || moved > 2 {
		t.Errorf("%d models moved, m7 from %s to %s", moved, gone, after["m7"])
	}
}

func TestNoHome(t *testing.T) {
	if home, ok := Home("job", "m", Demand{Models: []string{"m"}}, nil); ok {
		t.Errorf("got %q", home)
	}
	if home, _ := Home("job", "unknown", Demand{}, []Runner{{HostID: "a"}}); home != "a" {
		t.Errorf("a model that is not trained yet has home %q", home)
	}
}

// A model has 1,350 engines of twelve places, and a hundred jobs run at once. One entry can't carry the streams of all; they must spread over
// as many as the engines need, evenly, while the jobs of a model with few engines stay together.
func TestJobsOfALargeModelAreSpread(t *testing.T) {
	for _, test := range []struct {
		name         string
		slots        int
		least, busy  int
		entriesCount int
	}{
		{name: "a dozen engines", slots: 108, least: 1, busy: 400, entriesCount: 8},
		{name: "1,350 engines a model", slots: 32400, least: 60, busy: 20, entriesCount: 300},
	} {
		t.Run(test.name, func(t *testing.T) {
			runners := entries(test.entriesCount)
			jobs := map[string]int{}
			for i := range 400 {
				home, _ := Home(fmt.Sprintf("job-%d", i), "a", Demand{Models: []string{"a", "b"}, Slots: test.slots}, runners)
				jobs[home]++
			}
			busiest := 0
			for _, count := range jobs {
				busiest = max(busiest, count)
			}
			if len(jobs) < test.least || busiest > test.busy {
				t.Errorf("%d homes, the busiest with %d jobs", len(jobs), busiest)
			}
		})
	}
}

// Guards against several entries loading the same job from the store, against an uneven spread of jobs, and against jobs without a reader
// after an entry is lost.
func TestStoreReaderIsUniqueForEachJob(t *testing.T) {
	runners := entries(88)
	reversed := slices.Clone(runners)
	slices.Reverse(reversed)
	jobs := map[string]int{}
	for i := range 440 {
		job := fmt.Sprintf("job-%d", i)
		reader, ok := StoreReader(job, runners)
		if other, _ := StoreReader(job, reversed); !ok || other != reader {
			t.Fatalf("%s: got readers %q and %q for the same entries in different order", job, reader, other)
		}
		jobs[reader]++
		left := slices.DeleteFunc(slices.Clone(runners), func(r Runner) bool { return r.HostID == reader })
		if next, ok := StoreReader(job, left); !ok || next == reader {
			t.Errorf("%s: no other reader after the loss of %s", job, reader)
		}
	}
	for reader, count := range jobs {
		if count > 30 {
			t.Errorf("%s is the reader of %d of 440 jobs", reader, count)
		}
	}
	if len(jobs) < 40 {
		t.Errorf("%d of the 44 entries with enough cores are readers", len(jobs))
	}
	if _, ok := StoreReader("job", nil); ok {
		t.Error("got a reader for an empty list of entries")
	}
}
