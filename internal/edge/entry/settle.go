package entry

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/placement"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/agent"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// settleTime bounds the question after a lost connection: a caller that is given up on is answered soon.
	settleTime = 1500 * time.Millisecond
	// settleTimeAfterDeadline is the bound once the caller's deadline has passed.
	settleTimeAfterDeadline = 200 * time.Millisecond
	settlePause             = 100 * time.Millisecond
)

// settle asks the agent what became of a request whose connection was lost.
//
// Guard: the frame of a lost connection may still arrive and run after the caller was told "not run".
// The agent records an id that it has not seen as never to be run before it answers NotRun, so the late
// frame is refused. A process that was started anew at the agent's address can't know, and says so. An agent that can't be asked leaves MayHaveRun.
func (d *Dispatcher) settle(ctx context.Context, server placement.Server, ask request.Settle) verdict.Verdict {
	bound := settleTime
	if ctx.Err() != nil {
		bound = settleTimeAfterDeadline
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bound)
	defer cancel()
	result := verdict.MayHaveRun
	for {
		settled, err := peer.Call[request.Settle, request.Settled](ctx, d.client, server.Address, agent.MethodSettle, ask)
		if err == nil {
			result = settled.Verdict
			if result == verdict.Ran {
				// It ran, and its answer is lost: to the caller that is in doubt like any other.
				result = verdict.MayHaveRun
			}
			break
		}
		if !ticker.Sleep(ctx, settlePause) {
			break
		}
	}
	d.metrics.settledAs(result)
	return result
}
