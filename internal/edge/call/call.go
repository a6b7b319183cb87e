// Package call sends a request to the backend servers of a pool, one attempt after another, until a server has answered it, it may not be
// sent again, or its deadline has passed. It serves callers' requests and the reward calls of batch jobs. The package core/backend chooses
// the servers.
package call

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/platform"
)

// ErrLeaving is the cause with which a process that stops ends the context of Send.
var ErrLeaving = errors.New("the host stops")

// Request is a request to a pool, and the rules for its retries.
type Request struct {
	// ID identifies the request; an answer that carries another id is not accepted.
	ID string
	// Pool returns the pool that currently serves the request; false if no route serves it. It is called for each attempt.
	Pool func() (string, bool)
	// Regions are the regions whose servers may run the request; nil allows all.
	Regions []string
	// Build fills in the HTTP request for a server. It is never called concurrently.
	Build func(to *fasthttp.Request, server backend.Server)
	// Deadline is when the complete answer must have been received.
	Deadline time.Time
	// Idempotent requests may run more than once, in up to MaxAttempts attempts. Others are only sent again if no attempt can have run.
	Idempotent  bool
	MaxAttempts int
	// HedgeDelay is the time without an answer after which an idempotent request is also sent to a second server.
	HedgeDelay time.Duration
	// PassOn allows the body of a large answer to be passed on as it arrives.
	PassOn bool
	// FirstServer is the server of the first attempt, if the caller of Send has acquired it already; nil makes Send acquire one.
	FirstServer *backend.Server
	// RepeatKey identifies the request if its caller repeats it after an answer that it may have run; empty if it can't be told.
	RepeatKey string
	// OnRun is called for each attempt that ran or may have run, with the time at which it was sent; it may be nil.
	OnRun func(sent time.Time)
}

// Attempt is one attempt to send a request to a server, with its result.
type Attempt struct {
	Server backend.Server
	SentAt time.Time
	// Answer is the decoded header of the answer. Its Status is 0 if no header was received.
	Answer platform.Answer
	// Header and Body are the server's answer, set if Outcome is Ran. The body must be released. Instead of Body, Passed is set if the body is
	// passed on as it arrives.
	Header fasthttp.ResponseHeader
	Body   *exchange.Body
	Passed *PassedBody
	// Outcome is Ran if the server's complete answer was received, or is being passed on.
	Outcome verdict.Verdict
	// Interrupted is set if the connection broke after the server may have begun to run the request.
	Interrupted bool
	// TooLarge is set if the answer was ended because it is too large, and Malformed if the protocol doesn't allow it.
	TooLarge, Malformed bool
	// Cause says why no answer can be passed on; nil if Outcome is Ran.
	Cause error

	// cancel ends the contexts that an answer that is passed on still needs.
	cancel context.CancelFunc
}

// Release releases the body, if any.
func (a *Attempt) Release() {
	if a.Body != nil {
		a.Body.Release()
	}
	if a.Passed != nil {
		a.Passed.end()
	}
}

// Tally counts the attempts of a request.
type Tally struct {
	// Sent counts the attempts that ran or may have run, and those that are not finished; NotRun counts those that did not run.
	Sent, NotRun int
	// Failed counts the attempts that the server answered with status 500.
	Failed int
	// Interrupted are the servers at which an attempt was interrupted that may have run, Unanswered those that had not answered at the deadline.
	Interrupted, Unanswered []backend.Server
}

// Sender sends requests to backend servers. It is safe for concurrent use.
type Sender struct {
	balancer *backend.Balancer
	servers  *exchange.Client
	log      zerolog.Logger
	// repeated remembers the interruptions of requests that their callers may repeat.
	repeated repeatedRequests
}

// NewSender returns a sender that takes its servers from the balancer, reports the results of attempts to it, and calls the servers through
// the client.
func NewSender(balancer *backend.Balancer, servers *exchange.Client, log zerolog.Logger) *Sender {
	return &Sender{balancer: balancer, servers: servers, log: log, repeated: repeatedRequests{interruptions: map[string][]interruption{}}}
}

// Send sends the request and returns the attempt that ended it, or nil if no attempt was made. The error is nil if that attempt holds the
// server's answer, which must then be released, and a refusal otherwise. Send returns only after all attempts have stopped using the request.
// Ctx must last until an answer that is passed on has been closed.
func (s *Sender) Send(ctx context.Context, request *Request) (*Attempt, Tally, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	r := &retrier{sender: s, request: request, tried: map[string]bool{}}
	r.interruptedBefore = s.repeated.count(time.Now(), request.RepeatKey, s.balancer.AnsweredAfter)
	if r.interruptedBefore >= maxInterruptions {
		cancel()
		return nil, r.Tally, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerLost, 0, "%d servers ended under request %s before", r.interruptedBefore, request.ID)
	}
	attempt, err := r.run(ctx)
	s.repeated.add(time.Now(), request.RepeatKey, r.Interrupted)
	if err != nil || attempt.Passed == nil {
		cancel()
		return attempt, r.Tally, err
	}
	// The deadline holds for what is passed on as well.
	cancelAttempt := r.cancels[attempt.Server.ID]
	attempt.cancel = func() {
		cancelAttempt()
		cancel()
	}
	return attempt, r.Tally, nil
}
