package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/execution"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// errKeyWithdrawn is the cancellation cause of a running request whose key was withdrawn.
var errKeyWithdrawn = errors.New("key was withdrawn")

// The values of job.sendDecision: whether a started job is sent to the backend server or cancelled before that.
const (
	undecided int32 = iota
	sent
	cancelledUnsent
)

// job is a request from its arrival to its end. It belongs to the control loop, except for req.
type job struct {
	req      request.Execute
	deadline time.Time
	// cancellable is set for calls that may be interrupted: calls to a model engine, and idempotent calls.
	cancellable bool
	// idempotencyKey is set if the caller sent an idempotency key for a call that is not idempotent.
	idempotencyKey execution.Key
	digest         execution.Digest
	// startResult receives the control loop's only decision on the job: nil to run it, or a refusal.
	startResult chan error
	// replay is set before startResult receives nil if the call has already run with the same idempotency key.
	replay    *outcome
	ctx       context.Context
	cancel    context.CancelCauseFunc
	startedAt time.Time
	// sendDecision is set once, either by the goroutine that is about to send the call or by a Settle request.
	// Without it, a Settle request between start and sending would have to be answered with "may have run" even
	// if the call is then not sent because its caller has disconnected.
	sendDecision atomic.Int32
}

// decide sets the send decision. It returns false if the decision was already made.
func (j *job) decide(decision int32) bool {
	return j.sendDecision.CompareAndSwap(undecided, decision)
}

func newJob(ctx context.Context, req request.Execute, now time.Time, cancellable bool) *job {
	j := &job{req: req, cancellable: cancellable, startResult: make(chan error, 1)}
	if req.Remaining > 0 {
		j.deadline = now.Add(req.Remaining)
	}
	if key, ok := idempotencyKey(req); ok && !req.Idempotent && !cancellable {
		j.idempotencyKey = execution.Key{Organisation: req.Organisation, Hash: key}
		j.digest = callDigest(req)
	}
	j.ctx, j.cancel = context.WithCancelCause(j.runContext(ctx))
	return j
}

// runContext returns the parent context of the run. An uncancellable call finishes even if its caller has
// disconnected, since otherwise its effect would be unknown.
func (j *job) runContext(ctx context.Context) context.Context {
	if j.cancellable {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

func (j *job) hasIdempotencyKey() bool { return j.idempotencyKey != execution.Key{} }
