package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// failRun records that the item's run failed, and queues the item again unless that was its last one.
func failRun(p *Progress, now time.Time, id string) {
	p.RecordFailure(now, id)
	p.Requeue(id)
}

// failReward records how often servers failed the item's reward call, and queues the call again unless that was its last one.
func failReward(p *Progress, now time.Time, id string, failures, maxAttempts int) {
	p.RecordRewardFailures(now, id, failures, maxAttempts)
	p.RequeueReward(id)
}

// Guards against items that are sent again as often as before by each entry that takes their job over: a failure must not wait in the memory
// of the entry that saw it.
func TestFailureIsWrittenAtOnce(t *testing.T) {
	reward := func(job *Job) { job.Items[0].Reward = &RewardCall{ID: "r"} }
	for _, test := range []struct {
		name    string
		change  func(job *Job)
		fail    func(p *Progress, now time.Time)
		results []Result
		partial Partial
	}{
		{name: "item that can never succeed", fail: func(p *Progress, now time.Time) { p.MarkFailed(now, "0a") },
			results: []Result{{ID: "0a", State: StateLost}}},
		{name: "last failure", change: func(job *Job) { job.MaxAttempts = 1 }, fail: func(p *Progress, now time.Time) { failRun(p, now, "0a") },
			results: []Result{{ID: "0a", State: StateLost}}},
		{name: "earlier failure", change: func(job *Job) { job.MaxAttempts = 3 }, fail: func(p *Progress, now time.Time) { failRun(p, now, "0a") },
			partial: Partial{Item: "0a", Failures: 1}},
		{name: "failure before the pause that follows", change: func(job *Job) { job.MaxAttempts = 3 },
			fail: func(p *Progress, now time.Time) { p.RecordFailure(now, "0a") }, partial: Partial{Item: "0a", Failures: 1}},
		{name: "last failure of a reward call", change: reward, fail: func(p *Progress, now time.Time) {
			p.RecordCompletion(now, "0a")
			startReward(p)
			failReward(p, now, "0a", 2, 2)
		}, results: []Result{{ID: "0a", State: StateLost}}},
		{name: "earlier failure of a reward call", change: reward, fail: func(p *Progress, now time.Time) {
			p.RecordCompletion(now, "0a")
			startReward(p)
			failReward(p, now, "0a", 1, 2)
		}, partial: Partial{Item: "0a", RewardFailures: 1, TextComplete: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			job := newTestJob(2, 2)
			if test.change != nil {
				test.change(job)
			}
			p := NewProgress(job, 1)
			p.Start("0b")
			p.lastPageAt = start
			p.Start("0a")
			test.fail(p, start)
			page, ok := p.NextPage(start)
			if !ok {
				t.Fatal("no page is due")
			}
			if diff := cmp.Diff(test.results, page.Results, cmpopts.IgnoreFields(Result{}, "Versions")); diff != "" {
				t.Error(diff)
			}
			var partials []Partial
			if test.partial.Item != "" {
				partials = append(partials, test.partial)
			}
			if diff := cmp.Diff(partials, page.Partials, cmpopts.EquateEmpty()); diff != "" {
				t.Error(diff)
			}
			if again, ok := p.NextPage(start); ok {
				t.Errorf("another page is due at once: %+v", again)
			}
			p.ConfirmPage(start, page)
			if again, ok := p.NextPage(start); ok {
				t.Errorf("another page is due after the first is written: %+v", again)
			}
		})
	}
}

// Guards against a failure that no page holds because another process wrote the page under its number.
func TestFailureIsWrittenAfterAConflict(t *testing.T) {
	for _, maxAttempts := range []int{1, 2} {
		p := NewProgress(newTestJob(2, 2), 1)
		p.job.MaxAttempts = maxAttempts
		p.Start("0a")
		failRun(p, start, "0a")
		if _, ok := p.NextPage(start); !ok {
			t.Fatal("no page is due")
		}
		p.ApplyConflictingPage(Page{Writer: 2, Serial: 1, Results: []Result{{ID: "0b", State: StateCompleted, Text: "x"}}})
		page, ok := p.NextPage(start)
		if !ok || len(page.Results)+len(page.Partials) != 1 {
			t.Errorf("%d attempts: page %+v, %v", maxAttempts, page, ok)
		}
	}
}

// Guards against failures that another entry's page brought and that are written again at once, and against one that counts for less than it says.
func TestFailuresOfOthersAreKnownAndNotWrittenAgain(t *testing.T) {
	p := NewProgress(newTestJob(2, 2), 1)
	p.job.MaxAttempts = 3
	p.lastPageAt = start
	p.Start("0a")
	p.ApplyPage(Page{Writer: 2, Serial: 1, Partials: []Partial{{Item: "0a", Failures: 2}}})
	if page, ok := p.NextPage(start); ok {
		t.Errorf("a page is due: %+v", page)
	}
	failRun(p, start, "0a")
	if got := p.items["0a"].result.State; got != StateLost {
		t.Errorf("the item is %q after three failures", got)
	}
}

// Guards against an item that is sent again after a handover by an entry that could not write its failure.
func TestHandoverTellsOfFailedItems(t *testing.T) {
	leaving := NewProgress(newTestJob(2, 2), 1)
	leaving.Start("0a")
	leaving.MarkFailed(start, "0a")
	taker := NewProgress(newTestJob(2, 2), 2)
	taker.TakeOver(start, leaving.HandoverPartials())
	if item, ok := taker.Next(); !ok || item.ID != "0b" {
		t.Errorf("next item %v, %v", item, ok)
	}
	if page, ok := taker.NextPage(start); !ok || len(page.Results) != 1 || page.Results[0].State != StateLost {
		t.Errorf("page %+v, %v", page, ok)
	}
}
