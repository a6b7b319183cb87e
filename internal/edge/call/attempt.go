package call

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/platform"
)

// sendOnce sends the request to a server once and reads the complete answer.
func (s *Sender) sendOnce(ctx context.Context, req *fasthttp.Request, server backend.Server, request *Request) *Attempt {
	attempt := &Attempt{Server: server, SentAt: time.Now(), Outcome: verdict.MayHaveRun}
	defer s.balancer.Release(server.ID)
	s.roundTrip(ctx, req, attempt, request.ID)
	s.updateBalancer(ctx, attempt)
	if attempt.Outcome != verdict.NotRun && request.OnRun != nil {
		request.OnRun(attempt.SentAt)
	}
	if attempt.Outcome != verdict.Ran && ctx.Err() == nil {
		s.log.Info().Str("request", request.ID).Str("server", server.ID).Stringer("verdict", attempt.Outcome).
			Int("status", attempt.Answer.Status).AnErr("cause", attempt.Cause).Dur("took", time.Since(attempt.SentAt)).Msg("attempt without answer")
	}
	return attempt
}

// roundTrip sends the request, reads the answer, and checks that a server produced the answer and that it is for this request.
func (s *Sender) roundTrip(ctx context.Context, req *fasthttp.Request, attempt *Attempt, id string) {
	stream, err := s.servers.Open(ctx, req)
	if err != nil {
		attempt.Cause = err
		if errors.Is(err, exchange.ErrNotSent) {
			attempt.Outcome = verdict.NotRun
		}
		attempt.TooLarge = exchange.IsTooLarge(err)
		attempt.Interrupted = attempt.Outcome != verdict.NotRun && !attempt.TooLarge
		return
	}
	defer func() {
		// The outcome of the attempt is known by now, and a failing close doesn't change it.
		_ = stream.Close()
	}()
	attempt.Answer = platform.ReadAnswer(stream.Header())
	outcome, cause := Classify(attempt.Answer, id)
	if errors.Is(cause, ErrWrongRequest) {
		attempt.Cause = cause
		return
	}
	if outcome != verdict.Ran {
		attempt.Outcome, attempt.Cause = outcome, cause
		attempt.recordUnusedBody(stream.Discard())
		return
	}
	body, err := stream.ReadBody()
	if err != nil {
		attempt.Cause = err
		attempt.TooLarge = exchange.IsTooLarge(err)
		attempt.Interrupted = !attempt.TooLarge
		return
	}
	attempt.Outcome = verdict.Ran
	attempt.Body = body
	stream.Header().CopyTo(&attempt.Header)
}

// recordUnusedBody records how the body of an answer ended that is not used. What the header says of the request holds in any case.
func (a *Attempt) recordUnusedBody(err error) {
	a.TooLarge = exchange.IsTooLarge(err)
	a.Interrupted = err != nil && !a.TooLarge && a.Outcome != verdict.NotRun
}

// updateBalancer reports to the balancer what an attempt showed of its server: its load, its latency, or its failure.
func (s *Sender) updateBalancer(ctx context.Context, attempt *Attempt) {
	now, id := time.Now(), attempt.Server.ID
	if attempt.Answer.Load != nil {
		s.balancer.RecordLoad(now, id, *attempt.Answer.Load)
	}
	switch {
	case attempt.Outcome == verdict.Ran && attempt.Answer.Status < fasthttp.StatusInternalServerError:
		s.balancer.RecordLatency(now, id, now.Sub(attempt.SentAt))
	case attempt.TooLarge:
		s.balancer.RecordInvalidAnswer(now, id)
	case attempt.Outcome == verdict.NotRun && attempt.Answer.Status != 0:
		s.balancer.RecordRefusal(now, id)
	case ctx.Err() != nil:
		// The attempt was cancelled or its deadline passed, which says nothing about the server.
	case attempt.Answer.Status == 0:
		s.balancer.RecordConnectionFailure(now, id, attempt.Outcome == verdict.NotRun)
		s.balancer.RecordFailure(now, id)
	default:
		s.balancer.RecordFailure(now, id)
	}
}
