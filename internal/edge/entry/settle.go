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
	// settleTimeout bounds the query after a lost connection, so that the caller is answered soon.
	settleTimeout = 1500 * time.Millisecond
	// settleTimeoutAfterDeadline applies instead once the caller's deadline has passed.
	settleTimeoutAfterDeadline = 200 * time.Millisecond
	settleRetryInterval        = 100 * time.Millisecond
)

// settle queries the agent for the outcome of a request whose connection was lost. If the agent can't be reached it
// returns MayHaveRun.
//
// The frame of a lost connection may still arrive after the caller received "not run". So before the agent answers
// NotRun it records an ID that it hasn't seen as one that must never run, and refuses the delayed frame. A process that
// was restarted at the agent's address can't know the outcome, and says so.
func (d *Dispatcher) settle(ctx context.Context, server placement.Server, query request.Settle) verdict.Verdict {
	timeout := settleTimeout
	if ctx.Err() != nil {
		timeout = settleTimeoutAfterDeadline
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	result := verdict.MayHaveRun
	for {
		settled, err := peer.Call[request.Settle, request.Settled](ctx, d.client, server.Address, agent.MethodSettle, query)
		if err == nil {
			result = settled.Verdict
			if result == verdict.Ran {
				// It ran, but its answer is lost, so the caller receives MayHaveRun.
				result = verdict.MayHaveRun
			}
			break
		}
		if !ticker.Sleep(ctx, settleRetryInterval) {
			break
		}
	}
	d.metrics.settledAs(result)
	return result
}
