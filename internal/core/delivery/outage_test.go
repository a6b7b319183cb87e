package delivery

import (
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// Guards against a trainer that is refused permanently after an outage of the platform. In the outage one
// coordinator delivered the rest of step 1 and all of step 2 without the platform; another one holds the lease
// afterwards, and the trainer posts step 3. The successor knows only the beginning of step 1 and would wait
// for its rest.
func TestSuccessorAcceptsStepAfterUnseenSteps(t *testing.T) {
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
			h := newHarness(t, 0)
			h.postStep()
			effects := h.job.Handle(StepRequested{ID: 9, Step: 3, Digest: "third", GroupSizes: []int{2}, BatchSize: 2, Chunks: 1, Cursor: c.cursor})
			if c.refuse {
				if got := h.refusal(effects); got.Reason != verdict.ReasonInProgress {
					t.Errorf("refused with %+v", got)
				}
				return
			}
			if write := onlyEffect[Write](h, effects); write.Record.Step.Step != 3 {
				t.Errorf("wrote step %+v", write.Record.Step)
			}
		})
	}
}

// Guards against a cursor that moves backwards after an outage of the platform, after which the trainer's next
// step is refused or its samples are delivered again. The trainer publishes a model version to a successor
// that knows less of the deliveries than the trainer's cursor, and takes over the cursor of the answer.
func TestVersionAnswerNeverReturnsOlderCursor(t *testing.T) {
	delivered := NewBitmap(6)
	for position := range 4 {
		delivered.Set(position)
	}
	cases := []struct {
		name string
		sent Cursor
	}{
		{name: "later step", sent: Cursor{Job: "fees", Step: 2, Digest: "other", Batch: 3, Complete: true, Fencing: 10}},
		{name: "later batch", sent: Cursor{Job: "fees", Step: 1, Digest: "body", Batch: 2, Delivered: delivered, Fencing: 10}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.postStep()
			event := VersionRequested{ID: 9, Version: 4, Weights: "w4", Cursor: &c.sent}
			if c.sent.Step == 1 {
				onlyEffect[Write](h, h.handleWithReread(event))
			} else {
				onlyEffect[Write](h, h.job.Handle(event))
			}
			answer := onlyEffect[Answer](h, h.job.Handle(Written{Version: h.version + 1}))
			returned := answer.Result.(VersionAccepted).Cursor
			if returned != nil && (returned.Step < c.sent.Step || returned.Batch < c.sent.Batch) {
				t.Errorf("the trainer at step %d, batch %d is given the cursor of step %d, batch %d",
					c.sent.Step, c.sent.Batch, returned.Step, returned.Batch)
			}
		})
	}
}
