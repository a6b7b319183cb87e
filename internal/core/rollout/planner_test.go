package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var startTime = time.Unix(1000, 0).UTC()

// newStep returns a step of groups with the given numbers of samples, with a cost of 100 each.
func newStep(job string, number int, weight float64, sizes ...int) Step {
	out := Step{Job: job, Number: number, Weight: weight}
	for g, size := range sizes {
		var group Group
		for i := range size {
			group.Samples = append(group.Samples, Sample{ID: fmt.Sprintf("%s%d/%d/%d", job, number, g, i), Cost: 100})
		}
		out.Groups = append(out.Groups, group)
	}
	return out
}

// startNext starts up to n samples and returns their ids.
func startNext(t *testing.T, p *Planner, now time.Time, n int) []string {
	t.Helper()
	var ids []string
	for range n {
		generation, ok := p.Next(now, 0)
		if !ok {
			return ids
		}
		p.RecordStart(now, generation)
		ids = append(ids, generation.SampleID)
	}
	return ids
}

func TestStartOrder(t *testing.T) {
	tests := []struct {
		name    string
		steps   []Step
		prepare func(p *Planner)
		n       int
		want    []string
	}{
		{
			name:  "steps in order, groups one after another",
			steps: []Step{newStep("a", 1, 1, 2, 1), newStep("a", 2, 1, 1)},
			n:     4,
			want:  []string{"a1/0/0", "a1/0/1", "a1/1/0", "a2/0/0"},
		},
		{
			name:  "jobs share by weight",
			steps: []Step{newStep("a", 1, 2, 6), newStep("b", 1, 1, 6)},
			n:     6,
			want:  []string{"a1/0/0", "b1/0/0", "a1/0/1", "a1/0/2", "b1/0/1", "a1/0/3"},
		},
		{
			name:  "lost sample of a started group before a new group",
			steps: []Step{newStep("a", 1, 1, 2, 2)},
			prepare: func(p *Planner) {
				startFirst(p, 2)
				p.RecordFailure(startTime, "a1/0/1", 60)
			},
			n:    2,
			want: []string{"a1/0/1", "a1/1/0"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPlanner()
			for _, added := range tt.steps {
				p.AddStep(added)
			}
			if tt.prepare != nil {
				tt.prepare(p)
			}
			if diff := cmp.Diff(tt.want, startNext(t, p, startTime, tt.n)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// startFirst starts the first n samples at startTime.
func startFirst(p *Planner, n int) {
	for range n {
		generation, _ := p.Next(startTime, 0)
		p.RecordStart(startTime, generation)
	}
}

// An engine fails in the middle of a long sample. If the sample started from scratch, the step would take twice as
// long. It must resume from the known tokens.
func TestLostSampleResumes(t *testing.T) {
	p := NewPlanner()
	p.AddStep(newStep("a", 1, 1, 1))
	startFirst(p, 1)
	p.RecordFailure(startTime, "a1/0/0", 70)
	got, _ := p.Next(startTime, 0)
	want := Generation{Job: "a", Step: 1, SampleID: "a1/0/0", Tokens: 70}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// newStragglerPlanner returns a planner and the time at which seven of a group of eight samples have finished, after
// two seconds. The eighth runs at a tenth of their speed.
func newStragglerPlanner(share float64, opts ...Option) (*Planner, time.Time) {
	p := NewPlanner(append(opts, WithCopyShare(share))...)
	p.AddStep(newStep("a", 1, 1, 8))
	startFirst(p, 8)
	now := startTime.Add(2 * time.Second)
	p.RecordProgress(now, "a1/0/7", 10)
	for i := range 7 {
		p.RecordCompletion(now, fmt.Sprintf("a1/0/%d", i), 100)
	}
	return p, now
}

// One engine is slow, so that one sample of a group of eight would take twenty seconds while the others took two.
// The sample must be copied once, resuming from its prefix, and only within the budget.
func TestStragglerIsCopiedOnce(t *testing.T) {
	p, now := newStragglerPlanner(0.2)
	if got := p.Hedge(now.Add(-time.Second)); len(got) != 0 {
		t.Errorf("copies before the usual time of a sample: %v", got)
	}
	now = now.Add(100 * time.Millisecond)
	want := []Generation{{Job: "a", Step: 1, SampleID: "a1/0/7", Tokens: 10, Copy: true}}
	if diff := cmp.Diff(want, p.Hedge(now)); diff != "" {
		t.Fatal(diff)
	}
	p.RecordStart(now, want[0])
	if got := p.Hedge(now); len(got) != 0 {
		t.Errorf("another copy at once: %v", got)
	}
	if got := p.RecordCompletion(now.Add(2*time.Second), "a1/0/7", 100); got != 1 {
		t.Errorf("%d copies to cancel, want 1", got)
	}
	if got := p.RecordCompletion(now.Add(3*time.Second), "a1/0/7", 100); got != -1 {
		t.Errorf("the second result of the sample returned %d, want -1", got)
	}
}

// A copy that resumes is charged for the last 90 tokens of a sample, and one from scratch for all 100. The job's work
// is 800 tokens.
func TestCopiesFromScratchAreChargedInFull(t *testing.T) {
	for _, tt := range []struct {
		name  string
		opts  []Option
		share float64
		want  int
	}{
		{name: "resumed", share: 0.12, want: 1},
		{name: "from scratch", opts: []Option{WithCopiesFromScratch()}, share: 0.12, want: 0},
		{name: "from scratch within the budget", opts: []Option{WithCopiesFromScratch()}, share: 0.13, want: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, now := newStragglerPlanner(tt.share, tt.opts...)
			if got := p.Hedge(now.Add(time.Second)); len(got) != tt.want {
				t.Errorf("copies %v, want %d", got, tt.want)
			}
		})
	}
}

func TestCopiesStayWithinBudget(t *testing.T) {
	p, now := newStragglerPlanner(0.05)
	if got := p.Hedge(now.Add(time.Second)); len(got) != 0 {
		t.Errorf("a copy of 90 tokens was started for 800 tokens of work at 5 %%: %v", got)
	}
}

// An engine stalls with its streams open, so that no error reports its samples as lost, and copies of all of them
// would exceed the job's budget. If they weren't all copied, the step would never finish. None of them generates
// tokens, and so all are copied, each after the usual time of a complete sample without a token and not sooner.
func TestStalledSamplesAreCopiedBeyondTheBudget(t *testing.T) {
	p := NewPlanner()
	p.AddStep(newStep("a", 1, 1, 16))
	startFirst(p, 16)
	now := startTime.Add(2 * time.Second)
	for i := range 16 {
		if i%4 == 3 {
			p.RecordProgress(now, fmt.Sprintf("a1/0/%d", i), 10)
			continue
		}
		p.RecordCompletion(now, fmt.Sprintf("a1/0/%d", i), 100)
	}
	if got := p.Hedge(now.Add(1900 * time.Millisecond)); len(got) != 0 {
		t.Errorf("copies beyond the budget while tokens may still arrive: %v", got)
	}
	var got []string
	for _, generation := range p.Hedge(now.Add(2 * time.Second)) {
		got = append(got, generation.SampleID)
	}
	if diff := cmp.Diff([]string{"a1/0/11", "a1/0/15", "a1/0/3", "a1/0/7"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestLostCopyLeavesTheSampleRunning(t *testing.T) {
	p, now := newStragglerPlanner(0.2)
	now = now.Add(time.Second)
	for _, generation := range p.Hedge(now) {
		p.RecordStart(now, generation)
	}
	p.RecordFailure(now, "a1/0/7", 20)
	if generation, ok := p.Next(now, 0); ok {
		t.Errorf("%v is started again while a copy is running", generation)
	}
	p.RecordFailure(now, "a1/0/7", 30)
	if generation, ok := p.Next(now, 0); !ok || generation.Tokens != 30 {
		t.Errorf("got %v, want a generation from token 30", generation)
	}
}

func BenchmarkNext(b *testing.B) {
	for _, jobs := range []int{1, 18} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			p := NewPlanner()
			for job := range jobs {
				sizes := make([]int, 128)
				for i := range sizes {
					sizes[i] = 8
				}
				p.AddStep(newStep(fmt.Sprint("job", job), 1, 1, sizes...))
			}
			for b.Loop() {
				generation, _ := p.Next(startTime, 0)
				p.RecordStart(startTime, generation)
				p.RecordFailure(startTime, generation.SampleID, 0)
			}
		})
	}
}
