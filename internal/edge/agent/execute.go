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

const copySize = 16 << 10

// copyBuffers are used again: an answer of a plain call is far smaller than its buffer.
var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// Execute runs one call at the backend server and streams its answer to out.
func (a *Agent) Execute(ctx context.Context, q request.Execute, out peer.Sink) (request.AnswerEnd, error) {
	end, err := a.execute(ctx, q, out)
	a.metrics.count(a.deps.View(), q.Organisation, err)
	return end, err
}

func (a *Agent) execute(ctx context.Context, q request.Execute, out peer.Sink) (request.AnswerEnd, error) {
	now := time.Now()
	pool, err := a.check(now, q)
	if err != nil {
		return request.AnswerEnd{}, err
	}
	j := newJob(ctx, q, now, q.Idempotent || pool.Kind == ticket.KindModel)
	defer j.cancel(nil)
	stop := context.AfterFunc(a.ctx, func() { j.cancel(ErrEnded) })
	defer stop()
	if err := a.enqueue(ctx, j); err != nil {
		return request.AnswerEnd{}, err
	}
	if j.replay != nil {
		return a.account(q, usage.Amount{}), j.replay.replay(out)
	}
	if j.cancellable {
		defer abortWith(j.ctx, out)()
	}
	return a.runJob(ctx, j, pool, out)
}

// abortWith lets the end of ctx end a write that waits for a slow reader: a caller that has stopped
// reading would keep its place at the backend server otherwise, even after its key was withdrawn.
func abortWith(ctx context.Context, out peer.Sink) func() bool {
	aborter, ok := out.(peer.Aborter)
	if !ok {
		return func() bool { return true }
	}
	return context.AfterFunc(ctx, func() { aborter.Abort(context.Cause(ctx)) })
}

// enqueue waits until the request is started; an error means that it never will be.
func (a *Agent) enqueue(ctx context.Context, j *job) error {
	if !a.do(func(now time.Time) { a.control.submit(now, j) }) {
		return ended(verdict.NotRun)
	}
	select {
	case err := <-j.started:
		return err
	case <-ctx.Done():
	case <-a.ctx.Done():
		return ended(verdict.NotRun)
	}
	// The caller has gone. The control goroutine may have started the request meanwhile; its decision
	// is in the channel then.
	ok := a.do(func(now time.Time) { a.control.withdraw(now, j, gone(ctx, verdict.NotRun)) })
	if !ok {
		return ended(verdict.NotRun)
	}
	return <-j.started
}

// gone is the refusal for a request whose context ended.
//
// Guard: an agent that is stopped ends its calls, and may still answer them. "The caller has gone" would be false and
// final: the entry would refuse a stream that can go on elsewhere, without a time to come back. Only the peer's own
// cancellation means that the caller has gone.
func gone(ctx context.Context, v verdict.Verdict) *verdict.Refusal {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		return keyWithdrawn(v)
	case errors.Is(cause, errIsolated):
		return isolatedWith(v)
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.Refuse(v, verdict.ReasonDeadlinePassed, retrySoon,
			"the deadline passed")
	case errors.Is(cause, peer.ErrCancelled):
		return cancelled(v)
	default:
		return ended(v)
	}
}

// ended is the refusal of a request when the process or its connection ends. A queued one has not run: the control
// goroutine, which alone starts requests, is gone.
func ended(v verdict.Verdict) *verdict.Refusal {
	return verdict.Refuse(v, verdict.ReasonLeaving, retrySoon, "the agent has ended")
}

// runJob runs a started job and records its end, whatever it is.
func (a *Agent) runJob(
	ctx context.Context, j *job, pool ticket.Pool, out peer.Sink,
) (request.AnswerEnd, error) {
	if ctx.Err() != nil || !j.decide(sent) {
		refusal := gone(ctx, verdict.NotRun) // nothing was sent, nor will be
		a.do(func(now time.Time) { a.control.finish(now, j, verdict.NotRun, outcome{}) })
		return request.AnswerEnd{}, refusal
	}
	r := run{job: j, out: out, tokens: newTokenCounter(pool.Kind)}
	started := time.Now()
	err := r.call(a.deps.Server, a.deps.View())
	v := verdict.Ran
	if err != nil {
		v = verdict.From(err).Verdict
	}
	if err != nil {
		a.cancelGeneration(j, pool)
	}
	var end request.AnswerEnd
	if r.reached {
		end = a.account(j.q, usage.Amount{Requests: 1, Tokens: r.tokens.count, ServerTime: time.Since(started)})
	}
	a.do(func(now time.Time) { a.control.finish(now, j, v, r.outcome) })
	return end, err
}

// cancelGeneration tells the engine to end a generation that nobody waits for any more. It may have
// ended by itself; the order is harmless then.
func (a *Agent) cancelGeneration(j *job, pool ticket.Pool) {
	canceller, ok := a.deps.Engine.(Canceller)
	if !ok || pool.Kind != ticket.KindModel || j.ctx.Err() == nil {
		return
	}
	var ask backendserver.GenerateRequest
	if err := json.Unmarshal(j.q.Body, &ask); err != nil || ask.SampleID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, loadTimeout)
	defer cancel()
	if err := canceller.Cancel(ctx, ask.SampleID); err != nil {
		a.deps.Logger.Warn().Err(err).Str("sample", ask.SampleID).Msg("cancel generation")
	}
}

// account adds to the usage counter of the organisation. It is called before the closing frame is
// sent, so that the count travels with the answer and two hosts hold it.
func (a *Agent) account(q request.Execute, amount usage.Amount) request.AnswerEnd {
	cell := usage.Cell{
		Agent:        a.config.Incarnation,
		Organisation: q.Organisation,
		Window:       usage.WindowStart(time.Now(), a.config.UsageWindow),
	}
	return request.AnswerEnd{Count: a.deps.Ledger.Add(cell, amount)}
}

// run is one call at the backend server.
type run struct {
	job     *job
	out     peer.Sink
	tokens  tokenCounter
	outcome outcome
	// reached: the server has answered, so the call is counted.
	reached bool
	// sinkErr is set when the caller can take no more of the answer.
	sinkErr error
}

func (r *run) call(server Server, view *ticket.View) error {
	ctx, stop := r.context()
	defer stop()
	reply, err := server.Call(ctx, Call{
		Method: r.job.q.Method,
		Path:   r.job.q.Path,
		Query:  allowedQuery(view, r.job.q.Query),
		Header: allowedHeader(view, r.job.q.Header),
		Body:   r.job.q.Body,
	})
	if err != nil {
		return r.failed(ctx, err)
	}
	defer func() { _ = reply.Body.Close() }()
	r.reached = true
	r.outcome.head = request.AnswerHead{Status: reply.Status, Header: answerHeader(reply.Header)}
	r.keep(r.out.Head(r.outcome.head))
	if err := r.copy(reply.Body); err != nil {
		return r.failed(ctx, err)
	}
	if r.sinkErr != nil {
		return lostCaller(ctx, r.sinkErr)
	}
	return nil
}

// context bounds a call that its caller can't cut short.
func (r *run) context() (context.Context, context.CancelFunc) {
	if r.job.cancellable {
		return r.job.ctx, func() {}
	}
	return context.WithTimeout(r.job.ctx, callTimeout)
}

// copy streams the body. When the caller has gone, a call that may not be cut short is read to its
// end all the same, so that its outcome is known.
func (r *run) copy(body io.Reader) error {
	pooled := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			r.take(buffer[:n])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if r.sinkErr != nil && r.job.cancellable {
			return r.sinkErr
		}
	}
}

func (r *run) take(p []byte) {
	r.tokens.add(p)
	if r.job.keyed() {
		r.outcome.add(p)
	}
	if r.sinkErr == nil {
		_, err := r.out.Write(p)
		r.keep(err)
	}
}

func (r *run) keep(err error) {
	if r.sinkErr == nil {
		r.sinkErr = err
	}
}

// failed turns a failure of the call into a refusal with a true verdict.
func (r *run) failed(ctx context.Context, err error) error {
	if errors.Is(err, ErrNotSent) {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, retrySoon,
			"the backend server can't be reached")
	}
	if refusal, ok := verdict.As(err); ok {
		return refusal
	}
	if ctx.Err() != nil {
		return gone(ctx, verdict.MayHaveRun)
	}
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerLost, retrySoon,
		"the connection to the backend server was lost")
}

// lostCaller is the refusal for an answer that was read whole and could not be handed on.
func lostCaller(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return gone(ctx, verdict.Ran)
	}
	return verdict.Refuse(verdict.Ran, verdict.ReasonUndelivered, 0,
		"the call ran; its answer could not be handed on: %v", err)
}
