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

// Copies go to another entry all the time an item runs. They must be few, and their text together at most some three times the item's.
func TestCopiesAreFew(t *testing.T) {
	p := partialJob(1, false)
	copied, copies := 0, 0
	for events := 1; events <= 140; events++ {
		received(p, "a", events, 1)
		for _, each := range p.Copies() {
			copies++
			copied += each.Last
		}
	}
	if copies > 8 || copied > 3*140 {
		t.Errorf("%d copies of %d events together", copies, copied)
	}
	if again := p.Copies(); len(again) != 0 {
		t.Errorf("copied again: %+v", again)
	}
}
