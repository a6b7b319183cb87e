package batch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pageLog is the store's log of pages: a create succeeds only under the next number.
type pageLog struct {
	pages []Page
	// shown are the results that any process has shown, by position.
	shown []Result
}

// process runs the job beside another; its knowledge of the log lags.
type process struct {
	progress *Progress
	// waiting is a page whose create was sent and whose answer isn't known.
	waiting *Page
}

// write tries to create the page under the number that the process believes is next, and takes the outcome in.
func (p *process) write(now time.Time, log *pageLog, page Page, answered bool) {
	number := p.progress.Pages()
	if number == len(log.pages) {
		log.pages = append(log.pages, page)
		if !answered {
			p.waiting = &page
			return
		}
		p.progress.Wrote(now, page)
		return
	}
	found := log.pages[number]
	if found.Same(page) {
		p.progress.Wrote(now, page)
		return
	}
	p.progress.Lose(found)
}

// catchUp takes in all pages that the process doesn't know, its own among them whose answers were lost.
func (p *process) catchUp(log *pageLog) {
	for p.progress.Pages() < len(log.pages) {
		p.progress.Lose(log.pages[p.progress.Pages()])
	}
}

// show answers a read from a position that was shown, or the next one, and checks it against all that was shown.
func (p *process) show(t *rapid.T, log *pageLog) {
	from := rapid.IntRange(0, len(log.shown)).Draw(t, "position")
	results, ok := p.progress.Show(from, 1<<30, false)
	if !ok {
		p.catchUp(log)
		results, _ = p.progress.Show(from, 1<<30, true)
	}
	// A list may be short: the reader asks on from its end. It may be empty only where nothing was shown.
	if len(results) == 0 && from < len(log.shown) {
		t.Fatalf("nothing at position %d, and %d results were shown", from, len(log.shown))
	}
	for i, result := range results {
		if from+i == len(log.shown) {
			log.shown = append(log.shown, result)
		}
		if known := log.shown[from+i]; known.ID != result.ID || known.State != result.State {
			t.Fatalf("position %d holds %v, and held %v", from+i, result, known)
		}
	}
}

// Two entries run one job at the same time: one was cut off from the other and both reach the store. Whatever they do in
// whatever order, with answers of the store lost and processes started anew, each item is listed once, both list the same at each position,
// and neither denies to a reader what either has shown.
func TestTwoProcessesListEachItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := newTestJob(rapid.IntRange(1, 5).Draw(t, "groups"), 2)
		log := &pageLog{}
		processes := []*process{{progress: NewProgress(job, 1)}, {progress: NewProgress(job, 2)}}
		now := start
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			step(t, now, log, processes[rapid.IntRange(0, 1).Draw(t, "process")])
		}
		checkLog(t, log, processes)
	})
}

func step(t *rapid.T, now time.Time, log *pageLog, p *process) {
	progress := p.progress
	switch rapid.SampledFrom([]string{"run", "cut", "fail", "write", "read", "show", "start"}).Draw(t, "step") {
	case "run":
		if item, ok := progress.Next(); ok {
			progress.Start(item.ID).Append(Event{Number: 1, Data: item.ID}, 1)
			progress.Completed(now, item.ID)
		}
	case "cut":
		if item, ok := progress.Next(); ok {
			progress.Start(item.ID)
			progress.Again(item.ID)
		}
	case "fail":
		if item, ok := progress.Next(); ok {
			progress.Start(item.ID)
			progress.Failed(now, item.ID)
		}
	case "write":
		page, ok := progress.Commit(now)
		if p.waiting != nil {
			page, ok = *p.waiting, true
			p.waiting = nil
		}
		if ok {
			p.write(now, log, page, rapid.Bool().Draw(t, "answered"))
		}
	case "read":
		if progress.Pages() < len(log.pages) {
			progress.Lose(log.pages[progress.Pages()])
		}
	case "show":
		p.show(t, log)
	case "start":
		p.waiting = nil
		p.progress = NewProgress(progress.Job(), progress.writer+2)
	}
}

func checkLog(t *rapid.T, log *pageLog, processes []*process) {
	reader := NewProgress(processes[0].progress.Job(), 3)
	for _, page := range log.pages {
		reader.Absorb(page)
	}
	seen := map[string]bool{}
	all := reader.Results(0, 1<<30)
	for _, result := range all {
		if seen[result.ID] {
			t.Fatalf("item %s is listed twice", result.ID)
		}
		seen[result.ID] = true
	}
	for number, p := range processes {
		for position, result := range p.progress.Results(0, 1<<30) {
			if position >= len(all) || all[position].ID != result.ID || all[position].State != result.State {
				t.Fatalf("process %d lists %v at position %d; the log says %v", number, result, position, all)
			}
		}
	}
}
