package gateway

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/admission"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// drainPollInterval is how often Drain checks for running requests.
	drainPollInterval = 20 * time.Millisecond
	// finalAnswerTime bounds how long Drain waits for the final answers to requests that it has ended.
	finalAnswerTime = 500 * time.Millisecond
	// batchCallTime is how long a call on a batch job, or its submission, may take in addition to the time for which it waits for results.
	batchCallTime = 2 * time.Second
)

// Leave begins a planned stop. From now on every answer closes its connection, so that callers open their next one at another host. After
// acceptDelay, requests are refused whose deadline is later than that of ctx. When ctx ends, the requests that are being served get their
// final answer.
func (g *Gateway) Leave(ctx context.Context, acceptDelay time.Duration) {
	end, _ := ctx.Deadline()
	g.stop.Store(&admission.PlannedStop{AcceptUntil: time.Now().Add(acceptDelay), End: end})
	context.AfterFunc(ctx, func() { g.endRunning(call.ErrLeaving) })
}

// refuseIfStopping refuses a request that may still be unanswered when the process ends, before any of it is sent to a server.
func (g *Gateway) refuseIfStopping(r callerRequest) error {
	if r.route.Kind != routing.KindBatch {
		return g.stop.Load().Check(time.Now(), r.deadline)
	}
	now := time.Now()
	if g.stop.Load().Check(now, now.Add(batchCallTime)) == nil {
		return nil
	}
	// The job may have been accepted before, and run.
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonLeaving, 0, "the host stops")
}

// Drain closes the listener and waits until no request is running or ctx ends, and then for the final answers to the requests that ran.
func (g *Gateway) Drain(ctx context.Context) error {
	err := g.app.ShutdownWithContext(ctx)
	g.awaitIdle(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswerTime)
	defer cancel()
	g.awaitIdle(ctx)
	return err
}

// awaitIdle waits until no request is running and all answers are written, or ctx ends.
func (g *Gateway) awaitIdle(ctx context.Context) {
	for (g.running.Load() > 0 || g.account.Serving() > 0) && ctx.Err() == nil {
		ticker.Sleep(ctx, drainPollInterval)
	}
}
