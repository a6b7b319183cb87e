package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// newScoredJob returns a job of groups with two items each that have to be scored.
func newScoredJob(groups, wanted int) *Job {
	job := newTestJob(groups, wanted)
	for i := range job.Items {
		job.Items[i].Reward = &RewardCall{ID: "score-" + job.Items[i].ID, Path: "/score"}
	}
	return job
}

// startReward starts the next reward call and returns its item; empty if none waits.
func startReward(p *Progress) string {
	item, _, ok := p.NextReward(start)
	if !ok {
		return ""
	}
	p.StartReward(item.ID)
	return item.ID
}

// Guards against a result that is listed without its score.
func TestATextIsNoResultUntilItIsScored(t *testing.T) {
	p := NewProgress(newScoredJob(1, 1), 1)
	finish(t, p, start, "0a")
	finish(t, p, start, "0b")
	if got := startReward(p) + startReward(p) + startReward(p); got != "0a0b" {
		t.Errorf("reward calls of %q", got)
	}
	if _, ok := p.Flush(start.Add(time.Minute)); ok {
		t.Error("a text without score would be written")
	}
	p.Scored(start, "0a", "sa")
	p.Scored(start, "0b", "sb")
	page, ok := p.Commit(start)
	want := []Result{
		{ID: "0a", State: StateCompleted, Text: "x0a", Versions: []int{1}, Score: "sa"},
		{ID: "0b", State: StateCompleted, Text: "x0b", Versions: []int{1}, Score: "sb"},
	}
	if diff := cmp.Diff(want, page.Results); diff != "" || !ok {
		t.Errorf("%v %s", ok, diff)
	}
}

// Guards against a group that waits for an item whose reward call fails each time, and against giving one up that fails less often.
func TestAnItemIsLostOnceItsRewardCallFailedAsOftenAsAllowed(t *testing.T) {
	const maxAttempts = 4
	for _, test := range []struct {
		name     string
		failures []int
		lost     bool
	}{
		{name: "no answer, however often", failures: []int{0, 0, 0, 0, 0, 0}},
		{name: "fewer", failures: []int{1, 2}},
		{name: "in one call", failures: []int{4}, lost: true},
		{name: "over several calls", failures: []int{1, 0, 2, 1}, lost: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := NewProgress(newScoredJob(1, 1), 1)
			finish(t, p, start, "0a")
			for i, failures := range test.failures {
				if got := startReward(p); got != "0a" {
					t.Fatalf("call %d is of %q", i, got)
				}
				p.Unscored(start, "0a", failures, maxAttempts)
			}
			if lost := p.items["0a"].result.State == StateLost; lost != test.lost {
				t.Errorf("lost: %v", lost)
			}
		})
	}
}

// Guards against reward calls that reach a server after the end of their job, and against results that come after it.
func TestNothingIsScoredAfterTheEnd(t *testing.T) {
	p := NewProgress(newScoredJob(1, 1), 1)
	finish(t, p, start, "0a")
	finish(t, p, start, "0b")
	startReward(p)
	p.End()
	if got := startReward(p); got != "" {
		t.Errorf("the reward call of %s would be sent", got)
	}
	p.Scored(start, "0a", "s")
	if _, ok := p.Commit(start); ok {
		t.Error("a page would be written")
	}
}

// Guards against a score that comes after its item was given up or listed by another process.
func TestALateScoreChangesNothing(t *testing.T) {
	for _, test := range []struct {
		name string
		ends func(p *Progress)
		want State
	}{
		{name: "given up", ends: func(p *Progress) { p.GiveUp(start.Add(time.Hour)) }, want: StateLost},
		{name: "listed", ends: func(p *Progress) {
			p.Absorb(Page{Writer: 9, Results: []Result{{ID: "0a", State: StateCompleted, Text: "other", Score: "other's"}}})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := NewProgress(newScoredJob(1, 1), 1)
			finish(t, p, start, "0a")
			startReward(p)
			test.ends(p)
			before := p.items["0a"].result
			p.Scored(start, "0a", "late")
			if diff := cmp.Diff(before, p.items["0a"].result); diff != "" || before.State != test.want {
				t.Errorf("%s %s", before.State, diff)
			}
		})
	}
}

// Guards against a whole text that is generated again by the entry that takes its job over, and against a score of another text: none goes
// with the text.
func TestAWholeTextIsScoredByTheNextEntry(t *testing.T) {
	from := NewProgress(newScoredJob(1, 1), 1)
	finish(t, from, start, "0a")
	startReward(from)
	from.Unscored(start, "0a", 3, 4)
	startReward(from)
	to := NewProgress(newScoredJob(1, 1), 2)
	to.Resume(from.Partials())
	if item, ok := to.Next(); !ok || item.ID != "0b" {
		t.Errorf("next item %v", item)
	}
	if got := startReward(to); got != "0a" {
		t.Fatalf("reward call of %q", got)
	}
	if got := to.items["0a"].rewardFailures; got != 3 {
		t.Errorf("%d failures are known", got)
	}
	to.Scored(start, "0a", "s")
	if got := to.items["0a"].result; got.Text != "x0a" || got.Score != "s" {
		t.Errorf("%+v", got)
	}
}

// Guards against failures that are forgotten with the entry that saw them: the item would fail at servers without end.
func TestFailuresAreCopied(t *testing.T) {
	p := NewProgress(newScoredJob(1, 1), 1)
	finish(t, p, start, "0a")
	startReward(p)
	p.Unscored(start, "0a", 1, 4)
	p.Start("0b")
	p.Failed(start, "0b")
	copies := p.copies(maxPageBytes)
	if len(copies) != 2 || copies[0].RewardFailures != 1 || copies[1].Failures != 1 {
		t.Errorf("%+v", copies)
	}
	if again := p.copies(maxPageBytes); len(again) != 0 {
		t.Errorf("copied again: %+v", again)
	}
	to := NewProgress(newScoredJob(1, 1), 2)
	to.Resume(copies)
	to.Start("0b")
	to.Failed(start, "0b")
	if got := to.items["0b"].result.State; got != StateLost {
		t.Errorf("0b is %q after two failures", got)
	}
}

// Guards against reward calls that wait for ever behind callers: they tell how long they have waited.
func TestTheNextRewardCallTellsItsWait(t *testing.T) {
	p := NewProgress(newScoredJob(1, 1), 1)
	finish(t, p, start, "0a")
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second} {
		if _, waited, ok := p.NextReward(start.Add(after)); !ok || waited != after {
			t.Errorf("waited %v of %v", waited, after)
		}
	}
}
