package agent

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// handleSettle returns the outcome of a request whose connection was lost.
//
// The agent's process may have died while the call ran and been restarted at the same address with an empty record.
// The new process has not seen the request, but "not run" could be false: the sender would repeat a booking that the
// backend server has already made. The sender therefore names the process to which it sent the request, and any other
// process answers "may have run".
func (a *Agent) handleSettle(_ context.Context, req request.Settle) (request.Settled, error) {
	var settled request.Settled
	if !a.runOnControlLoop(func(now time.Time) { settled = a.control.settle(now, req.ID) }) {
		return settled, ErrStopped
	}
	if req.Process != a.processIncarnation.Load() {
		return request.Settled{Verdict: verdict.MayHaveRun}, nil
	}
	return settled, nil
}
