package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// The entry loses the answer of an agent whose stream stops after the head, and queries the outcome of the call. The
// query must name the process that received the call: a process that was restarted at the same address would otherwise
// report "not run" for a charge that the old one made. A call that ran but lost its answer is reported as may have run.
func TestSettleNamesTheProcess(t *testing.T) {
	for _, test := range []struct {
		name    string
		settled verdict.Verdict
		want    verdict.Verdict
	}{
		{"never ran", verdict.NotRun, verdict.NotRun},
		{"may have run", verdict.MayHaveRun, verdict.MayHaveRun},
		{"ran, and its answer is lost", verdict.Ran, verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			var query request.Settle
			silent := make(chan struct{})
			defer close(silent)
			agent := &fakeAgent{}
			agent.execute = func(_ context.Context, _ request.Execute, out peer.Sink) (request.AnswerEnd, error) {
				// Send only the head, and nothing else even after the caller's deadline: a return of this handler
				// would race with it.
				if err := out.Head(request.AnswerHead{Status: http.StatusOK}); err != nil {
					return request.AnswerEnd{}, err
				}
				<-silent
				return request.AnswerEnd{}, errLostAnswer
			}
			agent.settle = func(req request.Settle) request.Settled {
				query = req
				return request.Settled{Verdict: test.settled}
			}
			f := newFixture(t, agent)
			have := f.send(http.MethodPost, "/v1/services/billdesk/charge", "x", "Request-Timeout", "0.5")
			if have.verdict != test.want || have.reason != verdict.ReasonDeadlinePassed {
				t.Errorf("have %+v", have)
			}
			if query.Process == 0 || query.ID.Counter == 0 {
				t.Errorf("settle query is %+v", query)
			}
		})
	}
}
