package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/execution"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// errKeyWithdrawn is the cause of the end of a run whose key was withdrawn.
var errKeyWithdrawn = errors.New("key was withdrawn")

// decided says whether a started job is sent to the backend server or withdrawn before that.
const (
	undecided int32 = iota
	sent
	withdrawn
)

// job is a request from its arrival to its end. The control goroutine owns all of it but q.
type job struct {
	q        request.Execute
	deadline time.Time
	// cancellable calls may be cut short: streams of a model engine, and idempotent calls.
	cancellable bool
	// key is set when the caller gave an idempotency key for a call that may not be repeated.
	key    execution.Key
	digest execution.Digest
	// started receives the one decision of the control goroutine: nil to run, or a refusal.
	started chan error
	// replay is set before started when the call ran before under the same idempotency key.
	replay *outcome
	ctx    context.Context
	cancel context.CancelCauseFunc
	since  time.Time
	// decision is taken once, by the goroutine that is about to send the call or by a question what
	// became of it. Without it a question that comes between start and sending had to answer "may
	// have run" for calls that were then not sent, since their caller had gone.
	decision atomic.Int32
}

// decide takes the decision, or returns false if another was taken before.
func (j *job) decide(decision int32) bool {
	return j.decision.CompareAndSwap(undecided, decision)
}

func newJob(ctx context.Context, q request.Execute, now time.Time, cancellable bool) *job {
	j := &job{q: q, cancellable: cancellable, started: make(chan error, 1)}
	if q.Remaining > 0 {
		j.deadline = now.Add(q.Remaining)
	}
	if key, ok := idempotencyKey(q); ok && !q.Idempotent && !cancellable {
		j.key = execution.Key{Organisation: q.Organisation, Hash: key}
		j.digest = digest(q)
	}
	j.ctx, j.cancel = context.WithCancelCause(j.base(ctx))
	return j
}

// base returns the context of the run. A call that may not be repeated and can't be cut short
// finishes although its caller has gone: its effect would be unknown otherwise.
func (j *job) base(ctx context.Context) context.Context {
	if j.cancellable {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

func (j *job) keyed() bool { return j.key != execution.Key{} }
