package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against items that are placed twice or never, and against groups counted wrongly: each item without its complete text is listed
// once, also after it was started out of order and queued again, and with what it has produced.
func TestWorkListsUnfinishedItems(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := NewProgress(&Job{Terms: Terms{MaxAttempts: 3}, Submission: Submission{Items: []Item{
		{ID: "a", Group: "g"}, {ID: "b", Group: "g"}, {ID: "c", Group: "h"}, {ID: "c", Group: "h"}, {ID: "d", Group: "i"},
	}}}, 1)
	p.Start("c").Append(Event{Number: 1, Data: "x"}, 1)
	failRun(p, now, "c")
	p.RecordMove("c")
	p.Start("b").Append(Event{Number: 1, Data: "y"}, 1)
	p.Start("d").Append(Event{Number: 1, Data: "z"}, 1)
	p.RecordCompletion(now, "d")
	waiting, running := p.Work()
	if len(waiting) != 2 || waiting[0].Item.ID != "a" || waiting[0].GroupUnfinished != 2 {
		t.Errorf("waiting: %+v", waiting)
	}
	if c := waiting[len(waiting)-1]; c.Item.ID != "c" || c.Produced != 1 || c.Moves != 1 || c.GroupUnfinished != 1 || p.items["c"].failures != 1 {
		t.Errorf("failed item: %+v", c)
	}
	if len(running) != 1 || running[0].Item.ID != "b" || running[0].Produced != 1 {
		t.Errorf("running: %+v", running)
	}
	if total, complete := p.GroupCounts(); total != 3 || complete != 1 {
		t.Errorf("%d of %d groups are complete", complete, total)
	}
	// A requeued item goes first in the queue as well, and only waiting items may be started.
	next, _ := p.Next()
	if got := []bool{next.ID == "c", p.IsWaiting("c"), p.IsWaiting("b"), p.IsWaiting("d"), p.IsWaiting("unknown")}; !cmp.Equal(got, []bool{true, true, false, false, false}) {
		t.Errorf("next and waiting: %v", got)
	}
	p.End()
	if waiting, running := p.Work(); len(waiting)+len(running) > 0 || p.IsWaiting("a") {
		t.Error("an ended job has work")
	}
}
