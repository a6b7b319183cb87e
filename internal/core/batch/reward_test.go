package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// newScoredJob returns a job with that many groups of two items each, all with a reward call.
func newScoredJob(groups, wanted int) *Job {
	job := newTestJob(groups, wanted)
	for i := range job.Items {
		job.Items[i].Reward = &RewardCall{ID: "score-" + job.Items[i].ID, Path: "/score"}
	}
	return job
}

// startReward starts the next reward call and returns the ID of its item, or an empty string if none waits.
func startReward(p *Progress) string {
	item, _, ok := p.NextReward(start)
	if !ok {
		return ""
	}
	p.StartReward(item.ID)
	return item.ID
}

// Guards against publishing a result without its score.
func TestTextIsNoResultUntilScored(t *testing.T) {
	p := NewProgress(newScoredJob(1, 1), 1)
	finishItem(t, p, start, "0a")
	finishItem(t, p, start, "0b")
	if got := startReward(p) + startReward(p) + startReward(p); got != "0a0b" {
		t.Errorf("reward calls for items %q", got)
	}
	if _, ok := p.Flush(start.Add(time.Minute)); ok {
		t.Error("a text without a score is written")
	}
	p.RecordScore(start, "0a", "sa")
	p.RecordScore(start, "0b", "sb")
	page, ok := p.NextPage(start)
	want := []Result{
		{ID: "0a", State: StateCompleted, Text: "x0a", Versions: []int{1}, Score: "sa"},
		{ID: "0b", State: StateCompleted, Text: "x0b", Versions: []int{1}, Score: "sb"},
	}
	if diff := cmp.Diff(want, page.Results); diff != "" || !ok {
		t.Errorf("%v %s", ok, diff)
	}
}

// Guards against a group that waits for an item whose reward call always fails, and against losing an item whose
// reward call fails less often than the limit.
func TestItemIsLostAfterMaxRewardAttempts(t *testing.T) {
	const maxAttempts = 4
	for _, test := range []struct {
		name     string
		failures []int
		lost     bool
	}{
		{name: "calls without answer", failures: []int{0, 0, 0, 0, 0, 0}},
		{name: "fewer failures than allowed", failures: []int{1, 2}},
		{name: "all failures in one call", failures: []int{4}, lost: true},
		{name: "failures over several calls", failures: []int{1, 0, 2, 1}, lost: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := NewProgress(newScoredJob(1, 1), 1)
			finishItem(t, p, start, "0a")
			for i, failures := range test.failures {
				if got := startReward(p); got != "0a" {
					t.Fatalf("reward call %d is for item %q", i, got)
				}
				failReward(p, start, "0a", failures, maxAttempts)
			}
			if lost := p.items["0a"].result.State == StateLost; lost != test.lost {
				t.Errorf("lost: %v", lost)
			}
		})
	}
}

// Guards against reward calls that are sent after the end of their job, and against results that arrive after it.
func TestNoRewardCallsAfterEnd(t *testing.T) {
	p := NewProgress(newScoredJob(1, 1), 1)
	finishItem(t, p, start, "0a")
	finishItem(t, p, start, "0b")
	startReward(p)
	p.End()
	if got := startReward(p); got != "" {
		t.Errorf("the reward call of item %s is sent after the end", got)
	}
	p.RecordScore(start, "0a", "s")
	if _, ok := p.NextPage(start); ok {
		t.Error("a page is written after the end")
	}
}

// Guards against a score that arrives after its item was lost or published by another process.
func TestLateScoreIsIgnored(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(p *Progress)
		want State
	}{
		{name: "lost", end: func(p *Progress) { p.Expire(start.Add(time.Hour)) }, want: StateLost},
		{name: "published", end: func(p *Progress) {
			p.ApplyPage(Page{Writer: 9, Results: []Result{{ID: "0a", State: StateCompleted, Text: "other", Score: "other's"}}})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := NewProgress(newScoredJob(1, 1), 1)
			finishItem(t, p, start, "0a")
			startReward(p)
			test.end(p)
			before := p.items["0a"].result
			p.RecordScore(start, "0a", "late")
			if diff := cmp.Diff(before, p.items["0a"].result); diff != "" || before.State != test.want {
				t.Errorf("%s %s", before.State, diff)
			}
		})
	}
}

// Guards against an entry that takes a job over and generates complete texts again, and against attaching a score to
// another text: partials carry no score.
func TestCompleteTextIsScoredAfterTakeover(t *testing.T) {
	source := NewProgress(newScoredJob(1, 1), 1)
	finishItem(t, source, start, "0a")
	startReward(source)
	failReward(source, start, "0a", 3, 4)
	startReward(source)
	target := NewProgress(newScoredJob(1, 1), 2)
	target.Resume(source.Partials())
	if item, ok := target.Next(); !ok || item.ID != "0b" {
		t.Errorf("next item %v", item)
	}
	if got := startReward(target); got != "0a" {
		t.Fatalf("reward call for item %q", got)
	}
	if got := target.items["0a"].rewardFailures; got != 3 {
		t.Errorf("%d failures after the takeover, want 3", got)
	}
	target.RecordScore(start, "0a", "s")
	if got := target.items["0a"].result; got.Text != "x0a" || got.Score != "s" {
		t.Errorf("%+v", got)
	}
}

// Guards against failure counts that are lost with the entry that saw them: the item would fail at servers without
// end.
func TestCheckpointsIncludeFailures(t *testing.T) {
	p := NewProgress(newScoredJob(1, 1), 1)
	finishItem(t, p, start, "0a")
	startReward(p)
	failReward(p, start, "0a", 1, 4)
	p.Start("0b")
	failRun(p, start, "0b")
	checkpoints := p.takeCheckpoints(maxPageBytes)
	if len(checkpoints) != 2 || checkpoints[0].RewardFailures != 1 || checkpoints[1].Failures != 1 {
		t.Errorf("%+v", checkpoints)
	}
	if again := p.takeCheckpoints(maxPageBytes); len(again) != 0 {
		t.Errorf("repeated checkpoints: %+v", again)
	}
	target := NewProgress(newScoredJob(1, 1), 2)
	target.Resume(checkpoints)
	target.Start("0b")
	failRun(target, start, "0b")
	if got := target.items["0b"].result.State; got != StateLost {
		t.Errorf("item 0b is %q after two failures", got)
	}
}

// Guards against reward calls that wait behind callers' requests forever: NextReward must report how long they have
// waited.
func TestNextRewardReportsWaitingTime(t *testing.T) {
	p := NewProgress(newScoredJob(1, 1), 1)
	finishItem(t, p, start, "0a")
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second} {
		if _, waited, ok := p.NextReward(start.Add(after)); !ok || waited != after {
			t.Errorf("got waiting time %v, want %v", waited, after)
		}
	}
}
