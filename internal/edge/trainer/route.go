package trainer

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// routeInterval is how often a request looks for the holder of the lease again. A lease moves
// within some seconds, so a few looks are enough and the peers aren't pressed.
const routeInterval = 250 * time.Millisecond

// serve answers an authenticated request, here or at the holder of the job's lease, until its
// context ends. All requests of trainers are idempotent, so each may be sent again.
func (c *Coordinator) serve(ctx context.Context, request Forwarded) (Reply, error) {
	unsure := false
	for {
		reply, err := c.route(ctx, request)
		if err == nil || !passing(err) {
			return reply, unsureError(err, unsure)
		}
		unsure = unsure || verdict.From(err).Verdict != verdict.NotRun
		if !c.pause(ctx, routeInterval) {
			return Reply{}, unsureError(err, unsure)
		}
	}
}

// unsureError takes "not run" back if an earlier try may have run.
func unsureError(err error, unsure bool) error {
	if err == nil {
		return nil
	}
	refusal := *verdict.From(err)
	if unsure {
		refusal.Verdict = verdict.MayHaveRun
	}
	return &refusal
}

// passing says whether the failure passes by itself once the lease's holder is known and reached.
func passing(err error) bool {
	refusal, ok := verdict.As(err)
	return !ok || refusal.Reason == verdict.ReasonNotLeader || refusal.Reason == verdict.ReasonLeaving
}

// pause returns false if the request or the process ends first.
func (c *Coordinator) pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-c.leaving:
	}
	return false
}

func (c *Coordinator) route(ctx context.Context, request Forwarded) (Reply, error) {
	r, ok := c.runner(request.Job)
	if !ok {
		return Reply{}, refusalNotHolder(request.Job)
	}
	if seeker, ok := r.lease.(Seeker); ok {
		seeker.Seek()
	}
	here, holder, known := r.serving(time.Now())
	if here {
		return c.serveHere(ctx, r, request)
	}
	if !known || c.deps.Forwarder == nil {
		return Reply{}, refusalNotHolder(request.Job)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Remaining = time.Until(deadline)
	}
	return c.deps.Forwarder.Forward(ctx, holder, request)
}

// serveHere answers as the job's coordinator.
func (c *Coordinator) serveHere(ctx context.Context, r *runner, request Forwarded) (Reply, error) {
	ask, err := c.ask(request)
	if err != nil {
		return Reply{}, err
	}
	result := r.ask(ctx, ask)
	if kept, ok := result.(delivery.ManifestNeeded); ok {
		result = c.askWithManifest(ctx, r, request, kept)
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

// ask waits for the job's answer; when the context ends the request is refused at once.
func (r *runner) ask(ctx context.Context, ask askMessage) delivery.Result {
	if !r.post(ctx, ask) {
		return delivery.Refused{Refusal: refusalNotHolder(r.job)}
	}
	select {
	case result := <-ask.answers:
		return result
	case <-r.done:
	case <-ctx.Done():
		r.post(r.parent, expireMessage{id: ask.id})
	}
	select {
	case result := <-ask.answers:
		return result
	case <-r.done:
	}
	return r.lastAnswer(ask)
}

// lastAnswer takes the answer that the control goroutine gave before it ended.
func (r *runner) lastAnswer(ask askMessage) delivery.Result {
	select {
	case result := <-ask.answers:
		return result
	default:
		return delivery.Refused{Refusal: refusalLeaving(r.job)}
	}
}
