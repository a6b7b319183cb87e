package call

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/readiness"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

const (
	// maxNotRunRetries is how often a request is sent again after attempts that did not run it; those don't count towards MaxAttempts.
	maxNotRunRetries = 3
	// maxInterruptions is after how many interrupted attempts a request is sent to no further server: it may be what ends the servers that run it.
	maxInterruptions = 3
	// poolRetryAfter is how long a caller should wait before it retries if a pool has no free slot: some calls have ended by then.
	poolRetryAfter = 60 * time.Millisecond
	// evacuationRetryAfter is that wait if all servers are in evacuated availability zones. Nobody says how long an evacuation lasts.
	evacuationRetryAfter = time.Second
	// maxColdRetryAfter bounds that wait if all servers are cold: each of them takes some requests in every second.
	maxColdRetryAfter = time.Second
)

// retrier makes the attempts of one request.
type retrier struct {
	Tally

	sender  *Sender
	request *Request
	// interruptedBefore is the number of servers that interrupted earlier requests of the caller which this one repeats.
	interruptedBefore int
	// tried holds the ids of the servers to which the request was sent.
	tried map[string]bool
	// inFlight counts the attempts whose result has not been received.
	inFlight int
	results  chan *Attempt
	wg       conc.WaitGroup
	// received holds the attempts whose result has been received.
	received []*Attempt
	// cancels holds the functions that end the attempts, by server.
	cancels map[string]context.CancelFunc
}

// run sends the request until a server has answered, it may not be sent again, or ctx has ended. It returns once all attempts have ended,
// except one whose answer is passed on, and releases those that are not returned without error.
func (r *retrier) run(ctx context.Context) (*Attempt, error) {
	r.results = make(chan *Attempt, r.maxAttempts())
	r.cancels = map[string]context.CancelFunc{}
	final, err := r.attempts(ctx)
	for server, cancel := range r.cancels {
		if err != nil || final.Passed == nil || server != final.Server.ID {
			cancel()
		}
	}
	r.wg.Wait()
	close(r.results)
	for attempt := range r.results {
		r.received = append(r.received, attempt)
	}
	for _, attempt := range r.received {
		if attempt.Interrupted && errors.Is(ctx.Err(), context.DeadlineExceeded) && !r.isInterrupted(attempt.Server) {
			r.Unanswered = append(r.Unanswered, attempt.Server)
		}
		if attempt != final || err != nil {
			attempt.Release()
		}
	}
	return final, err
}

// isInterrupted reports whether an attempt at the server counts as interrupted.
func (r *retrier) isInterrupted(server backend.Server) bool {
	return slices.ContainsFunc(r.Interrupted, func(other backend.Server) bool { return other.ID == server.ID })
}

// attempts makes the attempts and returns the one that ended the request. Others may still be running.
func (r *retrier) attempts(ctx context.Context) (*Attempt, error) {
	if !r.sendFirst(ctx) {
		return nil, r.noServerRefusal(nil)
	}
	hedge := time.NewTimer(r.request.HedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case attempt := <-r.results:
			r.inFlight--
			r.received = append(r.received, attempt)
			final, err := r.evaluate(ctx, attempt)
			if final || err != nil {
				return attempt, err
			}
			if r.inFlight == 0 && !r.sendNext(ctx) {
				return r.resultWithoutRetry(ctx, attempt)
			}
		case <-hedge.C:
			if r.mayRunAgain() {
				r.sendNext(ctx)
			}
		}
	}
}

// maxAttempts returns the largest possible number of attempts, those that did not run included.
func (r *retrier) maxAttempts() int { return max(1, r.request.MaxAttempts) + maxNotRunRetries + 1 }

// mayRunAgain reports whether the request may be sent once more although earlier attempts may have run or are not finished.
func (r *retrier) mayRunAgain() bool {
	return r.request.Idempotent && r.Sent < max(1, r.request.MaxAttempts) &&
		r.interruptedBefore+len(r.Interrupted)+r.inFlight < maxInterruptions
}

// sendFirst makes the first attempt; false if there is no server for it.
func (r *retrier) sendFirst(ctx context.Context) bool {
	if r.request.FirstServer == nil {
		return r.sendNext(ctx)
	}
	r.sendTo(ctx, *r.request.FirstServer)
	return true
}

// sendNext sends the request to a server that it was not sent to before; false if it may not be sent again or there is no such server.
func (r *retrier) sendNext(ctx context.Context) bool {
	if r.NotRun > maxNotRunRetries || r.Sent > 0 && !r.mayRunAgain() || ctx.Err() != nil {
		return false
	}
	pool, ok := r.request.Pool()
	if !ok {
		return false
	}
	server, ok := r.sender.balancer.Acquire(time.Now(), backend.Requirements{Pool: pool, Regions: r.request.Regions, Exclude: r.tried})
	if !ok {
		return false
	}
	r.sendTo(ctx, server)
	return true
}

// sendTo sends the request to a server that has been acquired for it.
//
// The HTTP request of each attempt is built here and not in the attempt's goroutine: concurrent attempts would read the same source request
// at the same time.
func (r *retrier) sendTo(ctx context.Context, server backend.Server) {
	r.tried[server.ID] = true
	ctx, r.cancels[server.ID] = context.WithCancel(ctx)
	r.Sent++
	r.inFlight++
	req := fasthttp.AcquireRequest()
	r.request.Build(req, server)
	r.wg.Go(func() {
		defer fasthttp.ReleaseRequest(req)
		r.results <- r.sender.sendOnce(ctx, req, server, r.request)
	})
}

// evaluate counts a finished attempt and reports whether it ends the request; the error is the refusal to answer with, if any.
func (r *retrier) evaluate(ctx context.Context, attempt *Attempt) (bool, error) {
	if attempt.Outcome == verdict.Ran && attempt.Answer.Status == fasthttp.StatusInternalServerError {
		r.Failed++
	}
	if attempt.Interrupted && ctx.Err() == nil {
		r.Interrupted = append(r.Interrupted, attempt.Server)
	}
	switch {
	case attempt.Outcome == verdict.NotRun:
		r.Sent--
		r.NotRun++
		return false, nil
	case attempt.Outcome == verdict.Ran && r.isFinal(ctx, attempt.Answer.Status):
		return true, nil
	case ctx.Err() != nil:
		return true, r.endedRefusal(ctx, attempt)
	default:
		return false, nil
	}
}

// isFinal reports whether a server's answer with the status is passed on: it is no failure, or there is no other attempt to come.
func (r *retrier) isFinal(ctx context.Context, status int) bool {
	return status < fasthttp.StatusInternalServerError || !r.mayRunAgain() || ctx.Err() != nil
}

// resultWithoutRetry returns the result of a request that can't be sent again after its last attempt.
func (r *retrier) resultWithoutRetry(ctx context.Context, last *Attempt) (*Attempt, error) {
	switch {
	case last.Outcome == verdict.Ran:
		return last, nil
	case r.Sent > 0 && last.TooLarge:
		return last, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonAnswerTooLarge, 0, "server %s: %v", last.Server.ID, last.Cause)
	case r.Sent > 0 && last.Malformed:
		return last, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, 0, "server %s: %v", last.Server.ID, last.Cause)
	case r.Sent > 0:
		return last, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerLost, 0, "server %s: %v", last.Server.ID, last.Cause)
	case ctx.Err() != nil:
		return last, r.endedRefusal(ctx, last)
	default:
		return last, r.noServerRefusal(last)
	}
}

// noServerRefusal refuses a request for which no server is left; last is nil if no attempt was made.
func (r *retrier) noServerRefusal(last *Attempt) error {
	pool, ok := r.request.Pool()
	switch {
	case !ok:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, poolRetryAfter, "request %s has no route", r.request.ID)
	case last == nil:
		return r.unavailableRefusal(pool)
	default:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonOverloaded, poolRetryAfter,
			"pool %s has no free place; server %s: %v", pool, last.Server.ID, last.Cause)
	}
}

// unavailableRefusal refuses a request because no server of the pool may get it.
func (r *retrier) unavailableRefusal(pool string) error {
	why := r.sender.balancer.WhyNone(time.Now(), pool, r.request.Regions)
	switch why.Reason {
	case readiness.Evacuated:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonZoneEvacuated, evacuationRetryAfter,
			"the availability zones of all servers of pool %s that may run the request are evacuated", pool)
	case readiness.Cold:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonServersCold, min(why.ColdFor, maxColdRetryAfter),
			"the servers of pool %s are cold for another %v", pool, why.ColdFor)
	case readiness.OutsideRegions:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonOutsideRegions, 0, "pool %s has no server in the regions %v", pool, r.request.Regions)
	default:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, poolRetryAfter, "pool %s has no server", pool)
	}
}

// endedRefusal refuses a request whose deadline passed, whose caller hung up, or whose host stops, before a server answered.
func (r *retrier) endedRefusal(ctx context.Context, last *Attempt) error {
	outcome := verdict.NotRun
	if r.Sent > 0 {
		outcome = verdict.MayHaveRun
	}
	if errors.Is(context.Cause(ctx), ErrLeaving) {
		return verdict.Refuse(outcome, verdict.ReasonLeaving, 0, "%v; server %s: %v", ErrLeaving, last.Server.ID, last.Cause)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.Refuse(outcome, verdict.ReasonCallerGone, 0, "the caller hung up; server %s: %v", last.Server.ID, last.Cause)
	}
	return verdict.Refuse(outcome, verdict.ReasonDeadlinePassed, 0, "the deadline passed; server %s: %v", last.Server.ID, last.Cause)
}
