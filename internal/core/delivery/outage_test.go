package delivery

import (
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// A trainer stands idle for good after an outage of the platform. In it one coordinator delivered the
// rest of step 1 and all of step 2 without the platform; another one holds the lease afterwards, and
// the trainer posts step 3. Cause: the successor knows of the beginning of step 1 only and waits for
// the rest of it.
func TestSuccessorLearnsOfStepsThatItNeverSaw(t *testing.T) {
	cases := []struct {
		name   string
		cursor *Cursor
		refuse bool
	}{
		{name: "step 2 is complete", cursor: &Cursor{Job: "fees", Step: 2, Digest: "other", Batch: 3, Complete: true, Fencing: 10}},
		{name: "step 2 is not complete", cursor: &Cursor{Job: "fees", Step: 2, Digest: "other", Batch: 2, Fencing: 10}, refuse: true},
		{name: "step 1 is not complete", refuse: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(t, 0)
			s.postStep()
			effects := s.job.Handle(StepAsked{ID: 9, Step: 3, Digest: "third", Sizes: []int{2}, BatchSize: 2, Chunks: 1, Cursor: c.cursor})
			if c.refuse {
				if got := s.refusal(effects); got.Reason != verdict.ReasonInProgress {
					t.Errorf("refused with %+v", got)
				}
				return
			}
			if write := the[Write](s, effects); write.Record.Step.Step != 3 {
				t.Errorf("wrote step %+v", write.Record.Step)
			}
		})
	}
}

// A trainer's cursor goes back after an outage of the platform, and its next step is refused or its
// samples come again. It publishes a model version to a successor that knows less of the deliveries
// than the trainer's cursor, and takes over the cursor of the answer.
func TestVersionNeverTakesTheCursorBack(t *testing.T) {
	behind := NewBitmap(6)
	for position := range 4 {
		behind.Set(position)
	}
	cases := []struct {
		name string
		sent Cursor
	}{
		{name: "later step", sent: Cursor{Job: "fees", Step: 2, Digest: "other", Batch: 3, Complete: true, Fencing: 10}},
		{name: "later batch", sent: Cursor{Job: "fees", Step: 1, Digest: "body", Batch: 2, Delivered: behind, Fencing: 10}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(t, 0)
			s.postStep()
			event := VersionAsked{ID: 9, Version: 4, Weights: "w4", Cursor: &c.sent}
			if c.sent.Step == 1 {
				the[Write](s, s.readUp(event))
			} else {
				the[Write](s, s.job.Handle(event))
			}
			answer := the[Answer](s, s.job.Handle(Written{Version: s.version + 1}))
			given := answer.Result.(VersionAccepted).Cursor
			if given != nil && (given.Step < c.sent.Step || given.Batch < c.sent.Batch) {
				t.Errorf("the trainer at step %d, batch %d is given the cursor of step %d, batch %d",
					c.sent.Step, c.sent.Batch, given.Step, given.Batch)
			}
		})
	}
}
