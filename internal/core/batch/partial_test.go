package batch

import (
	"testing"
	"time"
)

// receiveEvents starts an item and appends events until its output has that many.
func receiveEvents(p *Progress, item string, events, version int) {
	output := p.Start(item)
	for output.LastEvent < events {
		output.Append(Event{Number: output.LastEvent + 1, Data: "x"}, version)
	}
}

// newPartialProgress returns the progress of a job with three items in one group.
func newPartialProgress(minVersion int, single bool) *Progress {
	job := &Job{ID: "j", Submission: Submission{
		MinVersion: minVersion, Items: []Item{{ID: "a", Group: "g"}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"}},
	}}
	job.SingleVersion = single
	return NewProgress(job, 1)
}

// An entry hands a job over, or crashes while another has its checkpoints. Guards against items that do not resume
// after the last event received with the same text, and against using output that the job may not use or that is
// worse than what is known.
func TestResumeFromPartials(t *testing.T) {
	source := newPartialProgress(2, false)
	receiveEvents(source, "a", 30, 2)
	receiveEvents(source, "b", 20, 1)
	receiveEvents(source, "c", 10, 3)
	source.RecordCompletion(time.Unix(1, 0), "c")
	partials := source.Partials()
	if len(partials) != 2 {
		t.Fatalf("%+v", partials)
	}
	target := newPartialProgress(2, false)
	target.Resume(append(partials, Partial{Item: "unknown", LastEvent: 3, Versions: []int{2}}))
	a := target.Start("a")
	if a.LastEvent != 30 || a.Text() != source.items["a"].output.Text() {
		t.Errorf("item a resumes after event %d", a.LastEvent)
	}
	if !a.Append(Event{Number: 31, Data: "y"}, 2) || len(a.Versions) != 1 {
		t.Errorf("%+v", a)
	}
	if b := target.Start("b"); b.LastEvent != 0 {
		t.Errorf("item b resumes from output of weights that are too old, after event %d", b.LastEvent)
	}
	target.Resume([]Partial{{Item: "a", LastEvent: 60, Versions: []int{2}, Text: "z"}})
	if target.items["a"].output.LastEvent != 31 {
		t.Error("the output of a running item was changed")
	}
	single := newPartialProgress(2, true)
	single.Resume([]Partial{{Item: "a", LastEvent: 5, Versions: []int{2, 3}, Text: "x"}})
	if single.Start("a").LastEvent != 0 {
		t.Error("resumed from two versions in a job that allows one")
	}
}

// Guards against checkpoints that cost more than the work they save: they must be few, and their total text at most
// about three times that of the item.
func TestCheckpointsAreBounded(t *testing.T) {
	p := newPartialProgress(1, false)
	events, checkpoints := 0, 0
	for last := 1; last <= 140; last++ {
		receiveEvents(p, "a", last, 1)
		for _, partial := range p.takeCheckpoints(maxPageBytes) {
			checkpoints++
			events += partial.LastEvent
		}
	}
	if checkpoints > 8 || events > 3*140 {
		t.Errorf("%d checkpoints with %d events in total", checkpoints, events)
	}
	if again := p.takeCheckpoints(maxPageBytes); len(again) != 0 {
		t.Errorf("repeated checkpoints: %+v", again)
	}
}

// Guards against a page above the store's limit: checkpoints that do not fit go into the next page.
func TestCheckpointsRespectMaxBytes(t *testing.T) {
	p := newPartialProgress(1, false)
	for _, item := range []string{"a", "b", "c"} {
		receiveEvents(p, item, 40, 1)
	}
	first := p.takeCheckpoints(2 * (80 + resultOverhead))
	if second := p.takeCheckpoints(maxPageBytes); len(first) != 2 || len(second) != 1 {
		t.Errorf("%d checkpoints, then %d", len(first), len(second))
	}
}

// All entries lose power in the middle of a step, again and again. Guards against a step that never ends because
// each restart starts its long items from the beginning: received output must be written after about a second, with a bounded
// number of writes.
func TestStepCompletesDespiteRepeatedPowerLoss(t *testing.T) {
	const (
		events   = 140
		interval = 40 * time.Millisecond
		uptime   = 3 * time.Second
	)
	job := newTestJob(1, 1)
	var log []Page
	now := start
	runs := 0
	for ; runs < 10; runs++ {
		p := NewProgress(job, uint64(runs))
		for _, page := range log {
			p.ApplyPage(page)
		}
		if p.Complete() {
			break
		}
		running := map[string]*Output{}
		for item, ok := p.Next(); ok; item, ok = p.Next() {
			running[item.ID] = p.Start(item.ID)
		}
		for end := now.Add(uptime); now.Before(end); now = now.Add(interval) {
			for id, output := range running {
				output.Append(Event{Number: output.LastEvent + 1, Data: "x"}, 1)
				if output.LastEvent == events {
					p.RecordCompletion(now, id)
					delete(running, id)
				}
			}
			if page, ok := p.NextPage(now); ok {
				p.ConfirmPage(now, page)
				log = append(log, page)
			}
		}
	}
	// Each run loses at most a second and the time until the next checkpoint.
	if maxRuns := 4; runs > maxRuns {
		t.Errorf("the step took %d runs of %v; each of its items takes %v", runs, uptime, events*interval)
	}
	if maxPages := 4 * runs; len(log) > maxPages {
		t.Errorf("%d pages in %d runs", len(log), runs)
	}
}
