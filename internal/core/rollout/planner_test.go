package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0).UTC()

// step makes a step of groups with the given numbers of samples, of cost 100 each.
func step(job string, number int, weight float64, sizes ...int) Step {
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

func startNext(t *testing.T, p *Planner, now time.Time, n int) []string {
	t.Helper()
	var out []string
	for range n {
		work, ok := p.Next(now, 0)
		if !ok {
			return out
		}
		p.Started(now, work)
		out = append(out, work.SampleID)
	}
	return out
}

func TestNextOrder(t *testing.T) {
	tests := []struct {
		name    string
		steps   []Step
		prepare func(p *Planner)
		n       int
		want    []string
	}{
		{
			name:  "steps in order, groups one after the other",
			steps: []Step{step("a", 1, 1, 2, 1), step("a", 2, 1, 1)},
			n:     4,
			want:  []string{"a1/0/0", "a1/0/1", "a1/1/0", "a2/0/0"},
		},
		{
			name:  "jobs share by weight",
			steps: []Step{step("a", 1, 2, 6), step("b", 1, 1, 6)},
			n:     6,
			want:  []string{"a1/0/0", "b1/0/0", "a1/0/1", "a1/0/2", "b1/0/1", "a1/0/3"},
		},
		{
			name:  "a lost sample of a begun group goes before a new group",
			steps: []Step{step("a", 1, 1, 2, 2)},
			prepare: func(p *Planner) {
				startAll(p, 2)
				p.Lost(start, "a1/0/1", 60)
			},
			n:    2,
			want: []string{"a1/0/1", "a1/1/0"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPlanner()
			for _, added := range tt.steps {
				p.Add(added)
			}
			if tt.prepare != nil {
				tt.prepare(p)
			}
			if diff := cmp.Diff(tt.want, startNext(t, p, start, tt.n)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func startAll(p *Planner, n int) {
	for range n {
		work, _ := p.Next(start, 0)
		p.Started(start, work)
	}
}

// An engine dies in the middle of a long sample. The trainer sees a step that takes twice as long if
// the sample begins anew; it must go on from the tokens that are known.
func TestLostSampleResumes(t *testing.T) {
	p := NewPlanner()
	p.Add(step("a", 1, 1, 1))
	startAll(p, 1)
	p.Lost(start, "a1/0/0", 70)
	got, _ := p.Next(start, 0)
	want := Work{Job: "a", Step: 1, SampleID: "a1/0/0", Tokens: 70}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// seven of a group of eight samples finish in two seconds; the eighth has a tenth of the speed.
func straggling(share float64, opts ...Option) (*Planner, time.Time) {
	p := NewPlanner(append(opts, WithCopyShare(share))...)
	p.Add(step("a", 1, 1, 8))
	startAll(p, 8)
	now := start.Add(2 * time.Second)
	p.Progress(now, "a1/0/7", 10)
	for i := range 7 {
		p.Finished(now, fmt.Sprintf("a1/0/%d", i), 100)
	}
	return p, now
}

// One engine is slow, and one sample of a group of eight keeps the trainer waiting for twenty seconds
// when the others took two. It must be copied from its prefix, once, and only within the budget.
func TestHedge(t *testing.T) {
	p, now := straggling(0.2)
	if got := p.Hedge(now.Add(-time.Second)); len(got) != 0 {
		t.Errorf("copied before the usual time of a sample: %v", got)
	}
	now = now.Add(100 * time.Millisecond)
	want := []Work{{Job: "a", Step: 1, SampleID: "a1/0/7", Tokens: 10, Copy: true}}
	if diff := cmp.Diff(want, p.Hedge(now)); diff != "" {
		t.Fatal(diff)
	}
	p.Started(now, want[0])
	if got := p.Hedge(now); len(got) != 0 {
		t.Errorf("copied again at once: %v", got)
	}
	if got := p.Finished(now.Add(2*time.Second), "a1/0/7", 100); got != 1 {
		t.Errorf("%d copies to cancel, want 1", got)
	}
	if got := p.Finished(now.Add(3*time.Second), "a1/0/7", 100); got != -1 {
		t.Errorf("the late copy counted as a sample: %d", got)
	}
}

// A copy that resumes is charged for the last 90 tokens of a sample, one that begins anew for all 100; work is 800 tokens.
func TestWholeCopiesAreChargedWhole(t *testing.T) {
	for _, tt := range []struct {
		name  string
		opts  []Option
		share float64
		want  int
	}{
		{name: "resumed", share: 0.12, want: 1},
		{name: "begun anew", opts: []Option{WithWholeCopies()}, share: 0.12, want: 0},
		{name: "begun anew within the budget", opts: []Option{WithWholeCopies()}, share: 0.13, want: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, now := straggling(tt.share, tt.opts...)
			if got := p.Hedge(now.Add(time.Second)); len(got) != tt.want {
				t.Errorf("copied %v, want %d", got, tt.want)
			}
		})
	}
}

func TestHedgeBudget(t *testing.T) {
	p, now := straggling(0.05)
	if got := p.Hedge(now.Add(time.Second)); len(got) != 0 {
		t.Errorf("a copy of 90 tokens was started for 800 tokens of work at 5 %%: %v", got)
	}
}

// A trainer's step never ends. An engine stalls with its streams open, the samples that it holds need more copies
// than the job's share of extra work allows, and no error tells that they are lost. None of them generates, so
// all are copied, each after the usual time of a whole sample without a token, and not sooner.
func TestStalledSamplesAreCopiedBeyondTheBudget(t *testing.T) {
	p := NewPlanner()
	p.Add(step("a", 1, 1, 16))
	startAll(p, 16)
	now := start.Add(2 * time.Second)
	for i := range 16 {
		if i%4 == 3 {
			p.Progress(now, fmt.Sprintf("a1/0/%d", i), 10)
			continue
		}
		p.Finished(now, fmt.Sprintf("a1/0/%d", i), 100)
	}
	if got := p.Hedge(now.Add(1900 * time.Millisecond)); len(got) != 0 {
		t.Errorf("copied beyond the budget while tokens may still come: %v", got)
	}
	var got []string
	for _, work := range p.Hedge(now.Add(2 * time.Second)) {
		got = append(got, work.SampleID)
	}
	if diff := cmp.Diff([]string{"a1/0/11", "a1/0/15", "a1/0/3", "a1/0/7"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestLostCopyLeavesTheSampleRunning(t *testing.T) {
	p, now := straggling(0.2)
	now = now.Add(time.Second)
	for _, work := range p.Hedge(now) {
		p.Started(now, work)
	}
	p.Lost(now, "a1/0/7", 20)
	if work, ok := p.Next(now, 0); ok {
		t.Errorf("%v starts again while one copy runs", work)
	}
	p.Lost(now, "a1/0/7", 30)
	if work, ok := p.Next(now, 0); !ok || work.Tokens != 30 {
		t.Errorf("got %v, want the sample from token 30", work)
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
				p.Add(step(fmt.Sprint("job", job), 1, 1, sizes...))
			}
			for b.Loop() {
				work, _ := p.Next(start, 0)
				p.Started(start, work)
				p.Lost(start, work.SampleID, 0)
			}
		})
	}
}
