package batch

import (
	"testing"
	"time"
)

// received starts an item and takes in so many events of it.
func received(p *Progress, item string, events, version int) {
	output := p.Start(item)
	for output.Last < events {
		output.Append(Event{Number: output.Last + 1, Data: "x"}, version)
	}
}

func partialJob(minVersion int, single bool) *Progress {
	job := &Job{ID: "j", Submission: Submission{MinVersion: minVersion, Items: []Item{{ID: "a", Group: "g"}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"}}}}
	job.SingleVersion = single
	return NewProgress(job, 1)
}

// An entry hands a job over, or dies and another has copies. The items go on after the last event that was received, with the same text,
// and what the job may not use, or what is known better here, is left aside.
func TestItemsGoOnFromPartials(t *testing.T) {
	from := partialJob(2, false)
	received(from, "a", 30, 2)
	received(from, "b", 20, 1)
	received(from, "c", 10, 3)
	from.Completed(time.Unix(1, 0), "c")
	partials := from.Partials()
	if len(partials) != 2 {
		t.Fatalf("%+v", partials)
	}
	to := partialJob(2, false)
	to.Resume(append(partials, Partial{Item: "unknown", Last: 3, Versions: []int{2}}))
	a := to.Start("a")
	if a.Last != 30 || a.Text() != from.items["a"].output.Text() {
		t.Errorf("item a goes on after event %d", a.Last)
	}
	if !a.Append(Event{Number: 31, Data: "y"}, 2) || len(a.Versions) != 1 {
		t.Errorf("%+v", a)
	}
	if b := to.Start("b"); b.Last != 0 {
		t.Errorf("item b goes on from weights that are too old, after event %d", b.Last)
	}
	to.Resume([]Partial{{Item: "a", Last: 60, Versions: []int{2}, Text: "z"}})
	if to.items["a"].output.Last != 31 {
		t.Error("an item that runs was changed")
	}
	single := partialJob(2, true)
	single.Resume([]Partial{{Item: "a", Last: 5, Versions: []int{2, 3}, Text: "x"}})
	if single.Start("a").Last != 0 {
		t.Error("two versions in one sample")
	}
}

// Guards against copies that cost more than the work which they save: they must be few, and their text together at most some three times the
// item's.
func TestCopiesAreFew(t *testing.T) {
	p := partialJob(1, false)
	copied, copies := 0, 0
	for events := 1; events <= 140; events++ {
		received(p, "a", events, 1)
		for _, each := range p.copies(maxPageBytes) {
			copies++
			copied += each.Last
		}
	}
	if copies > 8 || copied > 3*140 {
		t.Errorf("%d copies of %d events together", copies, copied)
	}
	if again := p.copies(maxPageBytes); len(again) != 0 {
		t.Errorf("copied again: %+v", again)
	}
}

// Guards against a page beyond the store's limit: copies that find no room go with the next page.
func TestCopiesStayBelowTheBound(t *testing.T) {
	p := partialJob(1, false)
	for _, item := range []string{"a", "b", "c"} {
		received(p, item, 40, 1)
	}
	first := p.copies(2 * (80 + resultOverhead))
	if second := p.copies(maxPageBytes); len(first) != 2 || len(second) != 1 {
		t.Errorf("%d copies, then %d", len(first), len(second))
	}
}

// Load pattern: all entries lose power in the middle of a step, again and again. Guards against a step that never ends because each start
// begins its long items anew: what was received is written after a second, at a bounded number of writes.
func TestAStepOutlivesThePowerOfAllEntries(t *testing.T) {
	const (
		events = 140
		pace   = 40 * time.Millisecond
		life   = 3 * time.Second
	)
	job := newTestJob(1, 1)
	var log []Page
	now := start
	lives := 0
	for ; lives < 10; lives++ {
		p := NewProgress(job, uint64(lives))
		for _, page := range log {
			p.Absorb(page)
		}
		if p.Complete() {
			break
		}
		running := map[string]*Output{}
		for item, ok := p.Next(); ok; item, ok = p.Next() {
			running[item.ID] = p.Start(item.ID)
		}
		for end := now.Add(life); now.Before(end); now = now.Add(pace) {
			for id, output := range running {
				output.Append(Event{Number: output.Last + 1, Data: "x"}, 1)
				if output.Last == events {
					p.Completed(now, id)
					delete(running, id)
				}
			}
			if page, ok := p.Commit(now); ok {
				p.Wrote(now, page)
				log = append(log, page)
			}
		}
	}
	// Of each life at most a second and the time to the next copy are lost.
	if most := 4; lives > most {
		t.Errorf("the step took %d lives of %v; its items take %v", lives, life, events*pace)
	}
	if most := 4 * lives; len(log) > most {
		t.Errorf("%d pages in %d lives", len(log), lives)
	}
}
