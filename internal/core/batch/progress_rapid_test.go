package batch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pageLog simulates the store's log of pages: a create succeeds only under the next number.
type pageLog struct {
	pages []Page
	// returned holds the results that any process has returned to a reader, by position.
	returned []Result
}

// process runs the job beside another one; it may not know the latest pages of the log.
type process struct {
	progress *Progress
	// unanswered is a page whose create was sent and whose answer was lost.
	unanswered *Page
}

// write tries to create the page under the number that the process believes is next, and applies the outcome.
func (p *process) write(now time.Time, log *pageLog, page Page, answered bool) {
	number := p.progress.Pages()
	if number == len(log.pages) {
		log.pages = append(log.pages, page)
		if !answered {
			p.unanswered = &page
			return
		}
		p.progress.ConfirmPage(now, page)
		return
	}
	existing := log.pages[number]
	if existing.SameWrite(page) {
		p.progress.ConfirmPage(now, page)
		return
	}
	p.progress.ApplyConflictingPage(existing)
}

// catchUp applies all pages that the process doesn't know, including its own pages whose answers were lost.
func (p *process) catchUp(log *pageLog) {
	for p.progress.Pages() < len(log.pages) {
		p.progress.ApplyConflictingPage(log.pages[p.progress.Pages()])
	}
}

// checkRead reads from a position at or before the end of the returned results, and checks the results against all
// that were returned before.
func (p *process) checkRead(t *rapid.T, log *pageLog) {
	from := rapid.IntRange(0, len(log.returned)).Draw(t, "position")
	results, ok := p.progress.ReadResults(from, 1<<30, false)
	if !ok {
		p.catchUp(log)
		results, _ = p.progress.ReadResults(from, 1<<30, true)
	}
	// There may be fewer results than were returned before, since a reader continues from their end. There may be none
	// only where none were returned before.
	if len(results) == 0 && from < len(log.returned) {
		t.Fatalf("no result at position %d, but %d results were returned", from, len(log.returned))
	}
	for i, result := range results {
		if from+i == len(log.returned) {
			log.returned = append(log.returned, result)
		}
		if returned := log.returned[from+i]; returned.ID != result.ID || returned.State != result.State {
			t.Fatalf("position %d has result %v, but %v was returned", from+i, result, returned)
		}
	}
}

// Two entries that can't reach each other run one job, and both reach the store. In any order of their operations,
// with lost answers of the store and restarted processes, each item must be published once, both must publish the
// same result at each position, and neither may omit a result that either has returned to a reader.
func TestConcurrentProcessesPublishEachItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := newTestJob(rapid.IntRange(1, 5).Draw(t, "groups"), 2)
		log := &pageLog{}
		processes := []*process{{progress: NewProgress(job, 1)}, {progress: NewProgress(job, 2)}}
		now := start
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			runStep(t, now, log, processes[rapid.IntRange(0, 1).Draw(t, "process")])
		}
		checkLog(t, log, processes)
	})
}

// runStep performs one random operation of a process.
func runStep(t *rapid.T, now time.Time, log *pageLog, p *process) {
	progress := p.progress
	switch rapid.SampledFrom([]string{"run", "cut", "fail", "write", "read", "show", "start"}).Draw(t, "step") {
	case "run":
		if item, ok := progress.Next(); ok {
			progress.Start(item.ID).Append(Event{Number: 1, Data: item.ID}, 1)
			progress.RecordCompletion(now, item.ID)
		}
	case "cut":
		if item, ok := progress.Next(); ok {
			progress.Start(item.ID)
			progress.Requeue(item.ID)
		}
	case "fail":
		if item, ok := progress.Next(); ok {
			progress.Start(item.ID)
			failRun(progress, now, item.ID)
		}
	case "write":
		page, ok := progress.NextPage(now)
		if p.unanswered != nil {
			page, ok = *p.unanswered, true
			p.unanswered = nil
		}
		if ok {
			p.write(now, log, page, rapid.Bool().Draw(t, "answered"))
		}
	case "read":
		if progress.Pages() < len(log.pages) {
			progress.ApplyConflictingPage(log.pages[progress.Pages()])
		}
	case "show":
		p.checkRead(t, log)
	case "start":
		p.unanswered = nil
		p.progress = NewProgress(progress.Job(), progress.writer+2)
	}
}

// checkLog checks that the log has each item once and that the results of each process are the first ones of the log.
func checkLog(t *rapid.T, log *pageLog, processes []*process) {
	reader := NewProgress(processes[0].progress.Job(), 3)
	for _, page := range log.pages {
		reader.ApplyPage(page)
	}
	seen := map[string]bool{}
	logged := reader.Results(0, 1<<30)
	for _, result := range logged {
		if seen[result.ID] {
			t.Fatalf("item %s is published twice", result.ID)
		}
		seen[result.ID] = true
	}
	for number, p := range processes {
		for position, result := range p.progress.Results(0, 1<<30) {
			if position >= len(logged) || logged[position].ID != result.ID || logged[position].State != result.State {
				t.Fatalf("process %d has result %v at position %d, but the log has %v", number, result, position, logged)
			}
		}
	}
}
