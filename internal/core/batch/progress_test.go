package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1_700_000_000, 0)

// newTestJob returns a job with that many groups of two items each.
func newTestJob(groups, wanted int) *Job {
	job := &Job{
		ID: "j", Accepted: start, Terms: Terms{MaxAttempts: 2, ItemTimeout: 40 * time.Second}, Submission: Submission{WantedGroups: wanted},
	}
	for g := range groups {
		for i := range 2 {
			job.Items = append(job.Items, Item{ID: fmt.Sprintf("%d%c", g, 'a'+i), Group: fmt.Sprint(g), Body: []byte{byte(g), byte(i)}})
		}
	}
	return job
}

// finishItem runs an item with a single event to completion.
func finishItem(t *testing.T, p *Progress, now time.Time, id string) {
	t.Helper()
	output := p.Start(id)
	if !output.Append(Event{Number: output.LastEvent + 1, Data: "x" + id}, 1) {
		t.Fatalf("item %s: event not appended", id)
	}
	p.RecordCompletion(now, id)
}

func itemIDs(results []Result) []string {
	var ids []string
	for _, result := range results {
		ids = append(ids, result.ID)
	}
	return ids
}

func TestItemsRunLongestFirst(t *testing.T) {
	job := newTestJob(2, 2)
	job.Items[2].ExpectedTokens = 500
	job.Items[1].ExpectedTokens = 90
	p := NewProgress(job, 1)
	var got []string
	for item, ok := p.Next(); ok; item, ok = p.Next() {
		got = append(got, item.ID)
		p.Start(item.ID)
	}
	if diff := cmp.Diff([]string{"1a", "0b", "0a", "1b"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestNextPage(t *testing.T) {
	for _, test := range []struct {
		name   string
		groups int
		wanted int
		done   []string
		after  time.Duration
		want   []string
	}{
		{name: "no results", groups: 2, wanted: 2, after: time.Minute},
		{name: "incomplete group waits", groups: 2, wanted: 2, done: []string{"0a"}, after: time.Second},
		{name: "incomplete group after its delay", groups: 2, wanted: 2, done: []string{"0a"}, after: incompleteGroupDelay, want: []string{"0a"}},
		{name: "first complete group is written at once", groups: 3, wanted: 3, done: []string{"0a", "0b"}, want: []string{"0a", "0b"}},
		{name: "all wanted groups are written at once", groups: 3, wanted: 1, done: []string{"1a", "1b"}, want: []string{"1a", "1b"}},
		{name: "complete groups go first", groups: 3, wanted: 3, done: []string{"0a", "2a", "2b"}, want: []string{"2a", "2b", "0a"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := NewProgress(newTestJob(test.groups, test.wanted), 1)
			for _, id := range test.done {
				finishItem(t, p, start, id)
			}
			page, ok := p.NextPage(start.Add(test.after))
			if diff := cmp.Diff(test.want, itemIDs(page.Results)); diff != "" || ok != (test.want != nil) {
				t.Errorf("%v %s", ok, diff)
			}
		})
	}
}

func TestNextPageDelaysFurtherGroups(t *testing.T) {
	p := NewProgress(newTestJob(4, 4), 1)
	finishItem(t, p, start, "0a")
	finishItem(t, p, start, "0b")
	page, _ := p.NextPage(start)
	p.ConfirmPage(start, page)
	finishItem(t, p, start, "1a")
	finishItem(t, p, start, "1b")
	if _, ok := p.NextPage(start.Add(groupWriteInterval / 2)); ok {
		t.Error("page returned before the interval ended")
	}
	if _, ok := p.NextPage(start.Add(groupWriteInterval)); !ok {
		t.Error("no page after the interval")
	}
}

// Two entries ran the same job and both finished an item. Guards against publishing the item at two positions: the
// process that lost the create of a page must drop its own results for the items in the other's page.
func TestConflictingPageTakesPrecedence(t *testing.T) {
	p := NewProgress(newTestJob(2, 2), 1)
	finishItem(t, p, start, "0a")
	finishItem(t, p, start, "0b")
	page, _ := p.NextPage(start)
	p.ApplyConflictingPage(Page{Writer: 2, Serial: 1, Results: []Result{{ID: "0a", State: StateCompleted, Text: "other"}}})
	if page, ok := p.NextPage(start.Add(time.Minute)); !ok || len(page.Results) != 1 || page.Results[0].ID != "0b" {
		t.Errorf("next page: %v", page)
	}
	if page.SameWrite(Page{Writer: 2, Serial: 1}) {
		t.Error("the page of another process is taken for its own")
	}
	if got := p.Results(0, 1000)[0].Text; got != "other" {
		t.Errorf("position 0 holds %q", got)
	}
}

func TestItemIsLostAfterMaxAttempts(t *testing.T) {
	p := NewProgress(newTestJob(1, 1), 1)
	for range 2 {
		p.Start("0a")
		failRun(p, start, "0a")
	}
	if item, ok := p.Next(); !ok || item.ID != "0b" {
		t.Errorf("next item %v, %v", item, ok)
	}
	finishItem(t, p, start, "0b")
	page, _ := p.NextPage(start)
	if page.Results[0].State != StateLost || page.Results[1].State != StateCompleted {
		t.Errorf("%v", page.Results)
	}
}

// An interrupted stream resumes at another server. Guards against events that are repeated or missing in the text.
func TestOutputAppendRequiresOrder(t *testing.T) {
	var output Output
	for _, step := range []struct {
		number int
		want   bool
	}{{1, true}, {2, true}, {2, false}, {4, false}, {1, false}, {3, true}} {
		if got := output.Append(Event{Number: step.number, Data: fmt.Sprint(step.number)}, 7); got != step.want {
			t.Errorf("event %d: appended: %v", step.number, got)
		}
	}
	if output.Text() != "1\n2\n3" || !cmp.Equal(output.Versions, []int{7}) {
		t.Errorf("%q %v", output.Text(), output.Versions)
	}
}

func TestOutputVersionsAllowed(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions []int
		single   bool
		want     bool
	}{
		{name: "no versions", want: true},
		{name: "new enough", versions: []int{5, 6}, want: true},
		{name: "too old", versions: []int{4, 6}},
		{name: "several versions where one is allowed", versions: []int{5, 6}, single: true},
		{name: "one version where one is allowed", versions: []int{6}, single: true, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := (&Output{Versions: test.versions}).VersionsAllowed(5, test.single); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

func TestExpire(t *testing.T) {
	p := NewProgress(newTestJob(1, 1), 1)
	p.Start("0a")
	p.Expire(start.Add(40*time.Second + maxClockSkew - time.Millisecond))
	if p.Waiting() != 1 || p.Running() != 1 {
		t.Error("items were lost too early")
	}
	p.Expire(start.Add(40*time.Second + maxClockSkew))
	page, ok := p.NextPage(start.Add(40*time.Second + maxClockSkew))
	if !ok || len(page.Results) != 2 || page.Results[0].State != StateLost {
		t.Errorf("%v", page)
	}
}

// Guards against items being lost before their timeout when the accepting host's clock is stepped back and the
// running host's clock forward.
func TestExpireToleratesClockSkew(t *testing.T) {
	const clockStep = 2 * time.Second
	job := newTestJob(1, 1)
	job.Accepted = start.Add(-clockStep)
	p := NewProgress(job, 1)
	p.Expire(start.Add(job.ItemTimeout - time.Millisecond).Add(clockStep))
	if p.Waiting() != 2 {
		t.Errorf("%d items waiting, want 2", p.Waiting())
	}
}

func TestNothingStartsAfterEnd(t *testing.T) {
	p := NewProgress(newTestJob(1, 1), 1)
	finishItem(t, p, start, "0a")
	p.End()
	if _, ok := p.Next(); ok {
		t.Error("an item starts after the end")
	}
	if _, ok := p.Flush(start); ok {
		t.Error("a page is written after the end")
	}
}

func TestResultsRespectMaxBytes(t *testing.T) {
	p := NewProgress(newTestJob(2, 2), 1)
	text := string(make([]byte, 1000))
	p.ApplyPage(Page{Results: []Result{{ID: "0a", Text: text}, {ID: "0b", Text: text}, {ID: "1a", Text: text}}})
	for _, test := range []struct {
		name           string
		from, maxBytes int
		want           int
	}{
		{name: "two fit", maxBytes: 2500, want: 2},
		{name: "at least one", maxBytes: 10, want: 1},
		{name: "from a position", from: 2, maxBytes: 9999, want: 1},
		{name: "after the last result", from: 3, maxBytes: 9999},
		{name: "negative position", from: -1, maxBytes: 9999},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := len(p.Results(test.from, test.maxBytes)); got != test.want {
				t.Errorf("got %d", got)
			}
		})
	}
}

// Guards against results that wait for a second page after an outage of the store: items finish while the write of a page fails.
func TestRefreshAddsLaterResults(t *testing.T) {
	p := NewProgress(newTestJob(3, 3), 1)
	finishItem(t, p, start, "0a")
	finishItem(t, p, start, "0b")
	failed, _ := p.NextPage(start)
	if diff := cmp.Diff(failed, p.Refresh(start, failed)); diff != "" {
		t.Errorf("the page changed without a further result:\n%s", diff)
	}
	for _, id := range []string{"1a", "1b", "2a", "2b"} {
		finishItem(t, p, start.Add(time.Second), id)
	}
	fresh := p.Refresh(start.Add(2*time.Second), failed)
	if diff := cmp.Diff([]string{"0a", "0b", "1a", "1b", "2a", "2b"}, itemIDs(fresh.Results)); diff != "" {
		t.Error(diff)
	}
	if fresh.SameWrite(failed) {
		t.Error("the new page counts as the same write as the former one")
	}
	p.ConfirmPage(start.Add(2*time.Second), fresh)
	if !p.Complete() {
		t.Error("results are missing")
	}
}

// Guards against results that are listed twice or never: the write of the former page had no answer, but took effect.
func TestRefreshedPageMeetsItsFormerOne(t *testing.T) {
	p := NewProgress(newTestJob(2, 2), 1)
	finishItem(t, p, start, "0a")
	finishItem(t, p, start, "0b")
	failed, _ := p.NextPage(start)
	finishItem(t, p, start, "1a")
	finishItem(t, p, start, "1b")
	p.Refresh(start, failed)
	p.ApplyConflictingPage(failed)
	rest, ok := p.NextPage(start.Add(time.Second))
	if diff := cmp.Diff([]string{"1a", "1b"}, itemIDs(rest.Results)); diff != "" || !ok {
		t.Errorf("%v %s", ok, diff)
	}
	p.ConfirmPage(start.Add(time.Second), rest)
	if diff := cmp.Diff([]string{"0a", "0b", "1a", "1b"}, itemIDs(p.Results(0, 1<<20))); diff != "" {
		t.Error(diff)
	}
}

// Guards against checkpoints that are lost with the page that could not be written.
func TestRefreshKeepsCheckpoints(t *testing.T) {
	p := NewProgress(newTestJob(2, 2), 1)
	output := p.Start("0a")
	for number := 1; number <= minCheckpointEvents; number++ {
		output.Append(Event{Number: number, Data: "x"}, 1)
	}
	failed, ok := p.NextPage(start.Add(checkpointInterval))
	if !ok || len(failed.Partials) != 1 {
		t.Fatalf("page without a checkpoint: %+v", failed)
	}
	finishItem(t, p, start, "1a")
	fresh := p.Refresh(start.Add(time.Second), failed)
	if len(fresh.Results) != 1 || len(fresh.Partials) != 1 || fresh.Partials[0].Item != "0a" {
		t.Errorf("refreshed page: %+v", fresh)
	}
}
