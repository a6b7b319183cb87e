package admission

import (
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// Guards against requests that are accepted although the process may end before they are answered, and refused although it doesn't.
func TestPlannedStop(t *testing.T) {
	began := time.Unix(1700000000, 0)
	stop := &PlannedStop{AcceptUntil: began.Add(3 * time.Second), End: began.Add(7 * time.Second)}
	endless := &PlannedStop{AcceptUntil: stop.AcceptUntil}
	for _, test := range []struct {
		name          string
		stop          *PlannedStop
		arrives, ends time.Duration
		refused       bool
	}{
		{name: "no stop", arrives: 5 * time.Second, ends: time.Minute},
		{name: "a stop that waits for all", stop: endless, arrives: 5 * time.Second, ends: time.Minute},
		{name: "the load balancer doesn't know yet", stop: stop, arrives: 2999 * time.Millisecond, ends: time.Minute},
		{name: "answered in time", stop: stop, arrives: 3 * time.Second, ends: 7 * time.Second},
		{name: "answered in time, late", stop: stop, arrives: 6900 * time.Millisecond, ends: 6950 * time.Millisecond},
		{name: "maybe unanswered", stop: stop, arrives: 3 * time.Second, ends: 7001 * time.Millisecond, refused: true},
		{name: "after the end", stop: stop, arrives: 7500 * time.Millisecond, ends: 7600 * time.Millisecond, refused: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.stop.Check(began.Add(test.arrives), began.Add(test.ends))
			refusal, refused := verdict.As(err)
			if refused != test.refused || refused && (refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.ReasonLeaving) {
				t.Errorf("error %v", err)
			}
		})
	}
}
