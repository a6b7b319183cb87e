package batch

import (
	"testing"
	"time"
)

// Guards against text of weight versions that the job doesn't allow, and against output that is lost, when what was received under other
// terms, before the job was accepted, is taken over.
func TestMergeTakesOverAllowedOutput(t *testing.T) {
	for _, test := range []struct {
		name     string
		single   bool
		versions []int
		want     bool
	}{
		{name: "allowed", versions: []int{4, 5}, want: true},
		{name: "below the oldest version", versions: []int{3, 4}},
		{name: "several versions where one is allowed", single: true, versions: []int{4, 5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			submission := Submission{MinVersion: 4, Items: []Item{{ID: "done"}, {ID: "begun"}, {ID: "lost"}}}
			early := NewProgress(&Job{Terms: Terms{MaxAttempts: 1}, Submission: submission}, 1)
			for _, id := range []string{"done", "begun"} {
				output := early.Start(id)
				for n, version := range test.versions {
					output.Append(Event{Number: n + 1, Data: "x"}, version)
				}
			}
			early.RecordCompletion(now, "done")
			early.Requeue("begun")
			early.Start("lost")
			failRun(early, now, "lost")
			doneBefore, begunBefore := early.Unwritten()
			p := NewProgress(&Job{Terms: Terms{SingleVersion: test.single, MaxAttempts: 3}, Submission: submission}, 2)
			p.Merge(now, doneBefore, begunBefore)
			p.Merge(now, doneBefore, begunBefore)
			results, partials := p.Unwritten()
			if taken := len(results) == 1 && results[0].ID == "done" && len(partials) == 1 && partials[0].Item == "begun"; taken != test.want {
				t.Errorf("results %v, partials %v", results, partials)
			}
			if !test.want && len(results)+len(partials) > 0 {
				t.Errorf("taken over: %v, %v", results, partials)
			}
			if p.Waiting() != 3-len(results) {
				t.Errorf("%d items wait", p.Waiting())
			}
		})
	}
}
