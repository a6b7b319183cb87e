package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// An agent's answer can't be decoded by the entry, which then asks what became of the call.
// The entry must name the process that it sent the call to: a process started anew at that address would else
// answer "not run" for a charge that the old one made. A call that ran without its answer is in doubt to the caller.
func TestSettleNamesTheProcess(t *testing.T) {
	for _, test := range []struct {
		name    string
		settled verdict.Verdict
		want    verdict.Verdict
	}{
		{"never ran", verdict.NotRun, verdict.NotRun},
		{"in doubt", verdict.MayHaveRun, verdict.MayHaveRun},
		{"ran, and its answer is lost", verdict.Ran, verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			var asked request.Settle
			silent := make(chan struct{})
			defer close(silent)
			agent := &fakeAgent{}
			agent.execute = func(_ context.Context, _ request.Execute, out peer.Sink) (request.AnswerEnd, error) {
				// The head alone, and nothing more even after the caller's deadline: an end of this handler would race with it.
				if err := out.Head(request.AnswerHead{Status: http.StatusOK}); err != nil {
					return request.AnswerEnd{}, err
				}
				<-silent
				return request.AnswerEnd{}, errLostAnswer
			}
			agent.settle = func(q request.Settle) request.Settled {
				asked = q
				return request.Settled{Verdict: test.settled}
			}
			f := newFixture(t, agent)
			have := f.send(http.MethodPost, "/v1/services/billdesk/charge", "x", "Request-Timeout", "0.5")
			if have.verdict != test.want || have.reason != verdict.ReasonDeadlinePassed {
				t.Errorf("have %+v", have)
			}
			if asked.Process == 0 || asked.ID.Counter == 0 {
				t.Errorf("asked for %+v", asked)
			}
		})
	}
}
