package agent

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// settle says what became of a request whose connection was lost.
//
// Guard: an agent's process dies while a call runs and is started anew at the same address, with an
// empty record. It has not seen the request, and "not run" would be false: the asker would send a
// booking again that the backend server has made. The asker names the process to which it sent the
// request; any other process answers that it may have run.
func (a *Agent) settle(_ context.Context, q request.Settle) (request.Settled, error) {
	var settled request.Settled
	if !a.do(func(now time.Time) { settled = a.control.settle(now, q.ID) }) {
		return settled, ErrEnded
	}
	if q.Process != a.process.Load() {
		return request.Settled{Verdict: verdict.MayHaveRun}, nil
	}
	return settled, nil
}
