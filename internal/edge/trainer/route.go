package trainer

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// routeRetryInterval is how often a request looks for the holder of the lease again. A lease changes its holder within
// some seconds, so this finds the new holder soon and doesn't overload the peers.
const routeRetryInterval = 250 * time.Millisecond

// serve serves an authenticated request here or at the holder of the job's lease. It retries transient failures until
// the context ends, which is safe because all requests of trainers are idempotent.
func (c *Coordinator) serve(ctx context.Context, request ForwardedRequest) (Reply, error) {
	mayHaveRun := false
	for {
		reply, err := c.route(ctx, request)
		if err == nil || !isTransient(err) {
			return reply, withEarlierTries(err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || verdict.From(err).Verdict != verdict.NotRun
		if !c.sleep(ctx, routeRetryInterval) {
			return Reply{}, withEarlierTries(err, mayHaveRun)
		}
	}
}

// withEarlierTries changes the verdict of a refusal to MayHaveRun if an earlier try may have run.
func withEarlierTries(err error, mayHaveRun bool) error {
	if err == nil {
		return nil
	}
	refusal := *verdict.From(err)
	if mayHaveRun {
		refusal.Verdict = verdict.MayHaveRun
	}
	return &refusal
}

// isTransient reports whether the failure ends by itself once the lease's holder is known and reachable.
func isTransient(err error) bool {
	refusal, ok := verdict.As(err)
	return !ok || refusal.Reason == verdict.ReasonNotLeader || refusal.Reason == verdict.ReasonLeaving
}

// sleep waits for the given time. It returns false if the request or the process ends first.
func (c *Coordinator) sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-c.stopping:
	}
	return false
}

func (c *Coordinator) route(ctx context.Context, request ForwardedRequest) (Reply, error) {
	r, ok := c.runner(request.Job)
	if !ok {
		return Reply{}, refusalNotHolder(request.Job)
	}
	if seeker, ok := r.lease.(Seeker); ok {
		seeker.Seek()
	}
	local, holder, known := r.locateCoordinator(time.Now())
	if local {
		return c.serveAsCoordinator(ctx, r, request)
	}
	if !known || c.deps.Forwarder == nil {
		return Reply{}, refusalNotHolder(request.Job)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Remaining = time.Until(deadline)
	}
	return c.deps.Forwarder.Forward(ctx, holder, request)
}

// serveAsCoordinator serves a request on the host that coordinates the job.
func (c *Coordinator) serveAsCoordinator(ctx context.Context, r *runner, request ForwardedRequest) (Reply, error) {
	message, err := c.newRequestMessage(request)
	if err != nil {
		return Reply{}, err
	}
	result := r.submit(ctx, message)
	if needed, ok := result.(delivery.ManifestNeeded); ok {
		result = c.retryWithManifest(ctx, r, request, needed)
	}
	switch e := result.(type) {
	case delivery.StepAccepted:
		return c.reply(stepReply{Step: request.Step, Samples: e.Samples, Batches: e.Batches}, &e.Cursor)
	case delivery.BatchReady:
		return c.replyBatch(ctx, r, e)
	case delivery.VersionAccepted:
		return c.replyVersion(ctx, request.Job, e)
	case delivery.Refused:
		return Reply{}, e.Refusal
	}
	return Reply{}, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonDefect, 0, "no result")
}

// submit sends a request to the control goroutine and waits for the result. When the context ends, the request is
// refused immediately.
func (r *runner) submit(ctx context.Context, message requestMessage) delivery.Result {
	if !r.post(ctx, message) {
		return delivery.Refused{Refusal: refusalNotHolder(r.job)}
	}
	select {
	case result := <-message.answers:
		return result
	case <-r.done:
	case <-ctx.Done():
		r.post(r.parent, expireMessage{id: message.id})
	}
	select {
	case result := <-message.answers:
		return result
	case <-r.done:
	}
	return r.lastAnswer(message)
}

// lastAnswer returns the result that the control goroutine sent before it ended, or a refusal if there is none.
func (r *runner) lastAnswer(message requestMessage) delivery.Result {
	select {
	case result := <-message.answers:
		return result
	default:
		return delivery.Refused{Refusal: refusalLeaving(r.job)}
	}
}
