package agent

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

const copyBufferSize = 16 << 10

// copyBuffers pools the buffers, since the answer of a plain call is far smaller than its buffer.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// Execute runs one call at the backend server and streams its answer to out. It returns an error, usually
// a *verdict.Refusal, if the call did not run or its answer was not delivered completely.
func (a *Agent) Execute(ctx context.Context, req request.Execute, out peer.Sink) (request.AnswerEnd, error) {
	end, err := a.execute(ctx, req, out)
	a.metrics.countRequest(a.deps.View(), req.Organisation, err)
	return end, err
}

func (a *Agent) execute(ctx context.Context, req request.Execute, out peer.Sink) (request.AnswerEnd, error) {
	now := time.Now()
	pool, err := a.checkRequest(now, req)
	if err != nil {
		return request.AnswerEnd{}, err
	}
	j := newJob(ctx, req, now, req.Idempotent || pool.Kind == ticket.KindModel)
	defer j.cancel(nil)
	stop := context.AfterFunc(a.ctx, func() { j.cancel(ErrStopped) })
	defer stop()
	if err := a.enqueue(ctx, j); err != nil {
		return request.AnswerEnd{}, err
	}
	if j.replay != nil {
		return a.addUsage(req, usage.Amount{}), j.replay.replay(out)
	}
	if j.cancellable {
		defer abortWritesOnEnd(j.ctx, out)()
	}
	return a.runJob(ctx, j, pool, out)
}

// abortWritesOnEnd makes the end of ctx abort a write that waits for a slow reader. Otherwise a caller that has
// stopped reading would keep its slot at the backend server, even after its key was withdrawn.
func abortWritesOnEnd(ctx context.Context, out peer.Sink) func() bool {
	aborter, ok := out.(peer.Aborter)
	if !ok {
		return func() bool { return true }
	}
	return context.AfterFunc(ctx, func() { aborter.Abort(context.Cause(ctx)) })
}

// enqueue queues the request and waits until it is started. An error means that it will never be started.
func (a *Agent) enqueue(ctx context.Context, j *job) error {
	if !a.runOnControlLoop(func(now time.Time) { a.control.submit(now, j) }) {
		return stoppedRefusal(verdict.NotRun)
	}
	select {
	case err := <-j.startResult:
		return err
	case <-ctx.Done():
	case <-a.ctx.Done():
		return stoppedRefusal(verdict.NotRun)
	}
	// The caller has disconnected. If the control loop has started or refused the request meanwhile, the result is
	// in the channel.
	ok := a.runOnControlLoop(func(now time.Time) { a.control.cancelQueued(now, j, contextEndRefusal(ctx, verdict.NotRun)) })
	if !ok {
		return stoppedRefusal(verdict.NotRun)
	}
	return <-j.startResult
}

// contextEndRefusal returns the refusal for a request whose context ended.
//
// ReasonCancelled is used only if the peer cancelled the request. An agent that shuts down also cancels its calls and
// may still answer them; with ReasonCancelled, which is final, the entry would refuse a stream that could continue
// at another agent, and give its caller no time to retry.
func contextEndRefusal(ctx context.Context, v verdict.Verdict) *verdict.Refusal {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		return keyWithdrawnRefusal(v)
	case errors.Is(cause, errIsolated):
		return isolatedRefusal(v)
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.Refuse(v, verdict.ReasonDeadlinePassed, defaultRetryDelay,
			"the deadline passed")
	case errors.Is(cause, peer.ErrCancelled):
		return cancelledRefusal(v)
	default:
		return stoppedRefusal(v)
	}
}

// stoppedRefusal returns the refusal for a request whose process or connection ends. A queued request has not run,
// since only the control loop starts requests, and it has ended.
func stoppedRefusal(v verdict.Verdict) *verdict.Refusal {
	return verdict.Refuse(v, verdict.ReasonLeaving, defaultRetryDelay, "the agent has ended")
}

// runJob sends a started job to the backend server and records how it ended.
func (a *Agent) runJob(
	ctx context.Context, j *job, pool ticket.Pool, out peer.Sink,
) (request.AnswerEnd, error) {
	if ctx.Err() != nil || !j.decide(sent) {
		refusal := contextEndRefusal(ctx, verdict.NotRun) // the call is not sent, now or later
		a.runOnControlLoop(func(now time.Time) { a.control.finish(now, j, verdict.NotRun, outcome{}) })
		return request.AnswerEnd{}, refusal
	}
	call := serverCall{job: j, out: out, tokens: newTokenCounter(pool.Kind)}
	started := time.Now()
	err := call.perform(a.deps.Server, a.deps.View())
	v := verdict.Ran
	if err != nil {
		v = verdict.From(err).Verdict
	}
	if err != nil {
		a.cancelGeneration(j, pool)
	}
	var end request.AnswerEnd
	if call.responded {
		end = a.addUsage(j.req, usage.Amount{Requests: 1, Tokens: call.tokens.count, ServerTime: time.Since(started)})
	}
	a.runOnControlLoop(func(now time.Time) { a.control.finish(now, j, v, call.outcome) })
	return end, err
}

// cancelGeneration requests that the engine cancel a generation whose caller no longer waits for it. Cancelling a
// generation that has already ended has no effect.
func (a *Agent) cancelGeneration(j *job, pool ticket.Pool) {
	canceller, ok := a.deps.Engine.(Canceller)
	if !ok || pool.Kind != ticket.KindModel || j.ctx.Err() == nil {
		return
	}
	var body backendserver.GenerateRequest
	if err := json.Unmarshal(j.req.Body, &body); err != nil || body.SampleID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, engineCallTimeout)
	defer cancel()
	if err := canceller.Cancel(ctx, body.SampleID); err != nil {
		a.deps.Logger.Warn().Err(err).Str("sample", body.SampleID).Msg("failed to cancel generation")
	}
}

// addUsage adds the amount to the organisation's usage counter. It is called before the closing frame is sent, so
// that the answer carries the count and two hosts hold it.
func (a *Agent) addUsage(req request.Execute, amount usage.Amount) request.AnswerEnd {
	cell := usage.Cell{
		Agent:        a.config.Incarnation,
		Organisation: req.Organisation,
		Window:       usage.WindowStart(time.Now(), a.config.UsageWindow),
	}
	return request.AnswerEnd{Count: a.deps.Ledger.Add(cell, amount)}
}

// serverCall is one call to the backend server.
type serverCall struct {
	job     *job
	out     peer.Sink
	tokens  tokenCounter
	outcome outcome
	// responded is set once the server has sent the head of its answer; only then is the call counted as usage.
	responded bool
	// sinkErr is the first error from writing the answer to the caller.
	sinkErr error
}

func (c *serverCall) perform(server Server, view *ticket.View) error {
	ctx, stop := c.callContext()
	defer stop()
	reply, err := server.Call(ctx, Call{
		Method: c.job.req.Method,
		Path:   c.job.req.Path,
		Query:  filterQuery(view, c.job.req.Query),
		Header: filterRequestHeader(view, c.job.req.Header),
		Body:   c.job.req.Body,
	})
	if err != nil {
		return c.callRefusal(ctx, err)
	}
	defer func() { _ = reply.Body.Close() }()
	c.responded = true
	c.outcome.head = request.AnswerHead{Status: reply.Status, Header: filterAnswerHeader(reply.Header)}
	c.recordSinkErr(c.out.Head(c.outcome.head))
	if err := c.copyBody(reply.Body); err != nil {
		return c.callRefusal(ctx, err)
	}
	if c.sinkErr != nil {
		return undeliveredRefusal(ctx, c.sinkErr)
	}
	return nil
}

// callContext returns the context of the call, with a timeout if the caller can't cancel the call.
func (c *serverCall) callContext() (context.Context, context.CancelFunc) {
	if c.job.cancellable {
		return c.job.ctx, func() {}
	}
	return context.WithTimeout(c.job.ctx, uncancellableCallTimeout)
}

// copyBody streams the body to the caller. If the caller has disconnected, the body of an uncancellable call is still
// read to its end, so that the outcome of the call is known.
func (c *serverCall) copyBody(body io.Reader) error {
	pooled := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			c.forward(buffer[:n])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if c.sinkErr != nil && c.job.cancellable {
			return c.sinkErr
		}
	}
}

func (c *serverCall) forward(p []byte) {
	c.tokens.add(p)
	if c.job.hasIdempotencyKey() {
		c.outcome.appendBody(p)
	}
	if c.sinkErr == nil {
		_, err := c.out.Write(p)
		c.recordSinkErr(err)
	}
}

func (c *serverCall) recordSinkErr(err error) {
	if c.sinkErr == nil {
		c.sinkErr = err
	}
}

// callRefusal returns the refusal for a failed call, with the verdict on whether the call ran.
func (c *serverCall) callRefusal(ctx context.Context, err error) error {
	if errors.Is(err, ErrNotSent) {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, defaultRetryDelay,
			"the backend server can't be reached")
	}
	if refusal, ok := verdict.As(err); ok {
		return refusal
	}
	if ctx.Err() != nil {
		return contextEndRefusal(ctx, verdict.MayHaveRun)
	}
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerLost, defaultRetryDelay,
		"the connection to the backend server was lost")
}

// undeliveredRefusal returns the refusal for an answer that was read completely but could not be delivered.
func undeliveredRefusal(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextEndRefusal(ctx, verdict.Ran)
	}
	return verdict.Refuse(verdict.Ran, verdict.ReasonUndelivered, 0,
		"the call ran; its answer could not be forwarded: %v", err)
}
