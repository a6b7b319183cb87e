package rollout

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEverySampleFinishesOnce drives a planner with random losses, copies and late results. Each sample finishes
// exactly once, only copies run beside another generation of a sample, no sample is copied more than twice, and the
// copies of samples that aren't stalled stay within the budget.
func TestEverySampleFinishesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share = 0.2
		p := NewPlanner(WithCopyShare(share))
		now := startTime
		running, finished := map[string]int{}, map[string]bool{}
		stalled, copied := map[string]bool{}, map[string]int{}
		total, primaryTokens, copyTokens := 0, 0.0, 0.0
		for number := range rapid.IntRange(1, 3).Draw(t, "steps") {
			for _, job := range []string{"a", "b"} {
				sizes := rapid.SliceOfN(rapid.IntRange(1, 6), 1, 4).Draw(t, "sizes")
				p.AddStep(newStep(job, number, 1, sizes...))
				for _, size := range sizes {
					total += size
				}
			}
		}
		start := func(w Generation) {
			if finished[w.SampleID] || !w.Copy && running[w.SampleID] > 0 {
				t.Fatalf("%+v is started although its sample is finished or running", w)
			}
			p.RecordStart(now, w)
			running[w.SampleID]++
			remaining := max(100-float64(w.Tokens), 10)
			switch {
			case w.Copy && stalled[w.SampleID]:
			case w.Copy:
				copyTokens += remaining
			default:
				primaryTokens += remaining
			}
		}
		for range rapid.IntRange(0, 150).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "gap")) * time.Millisecond)
			ids := slices.Sorted(maps.Keys(running))
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case event <= 1 || len(ids) == 0:
				if w, ok := p.Next(now, len(ids)); ok {
					start(w)
				}
			case event == 2:
				clear(stalled)
				for id := range running {
					stalled[id] = p.samples[id] != nil && p.samples[id].group.step.job.stalled(now, p.samples[id])
				}
				for _, w := range p.Hedge(now) {
					if copied[w.SampleID]++; copied[w.SampleID] > maxCopies {
						t.Fatalf("%+v exceeds the maximum number of copies", w)
					}
					start(w)
				}
			default:
				id := rapid.SampledFrom(ids).Draw(t, "sample")
				if event == 3 {
					p.RecordFailure(now, id, rapid.IntRange(0, 99).Draw(t, "tokens"))
				} else if first := p.RecordCompletion(now, id, 100) >= 0; first == finished[id] {
					t.Fatalf("%s finished: first %v, finished before %v", id, first, finished[id])
				} else {
					finished[id] = true
				}
				if running[id]--; running[id] == 0 {
					delete(running, id)
				}
			}
		}
		if copyTokens > share*primaryTokens+1e-6 {
			t.Fatalf("copies of %v tokens for other generations of %v", copyTokens, primaryTokens)
		}
		for id := range running {
			for range running[id] {
				p.RecordFailure(now, id, 0)
			}
		}
		for {
			w, ok := p.Next(now, 0)
			if !ok {
				break
			}
			p.RecordStart(now, w)
			if p.RecordCompletion(now, w.SampleID, 100) != 0 || finished[w.SampleID] {
				t.Fatalf("%s didn't finish for the first time", w.SampleID)
			}
			finished[w.SampleID] = true
		}
		if len(finished) != total {
			t.Fatalf("%d of %d samples finished", len(finished), total)
		}
	})
}
