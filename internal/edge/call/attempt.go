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
	attempt := &Attempt{Server: server, SentAt: time.Now(), Outcome: verdict.MayHaveRun, cancel: func() {}}
	s.roundTrip(ctx, req, attempt, request)
	if attempt.Passed == nil {
		s.balancer.Release(server.ID)
	}
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
func (s *Sender) roundTrip(ctx context.Context, req *fasthttp.Request, attempt *Attempt, request *Request) {
	stream, err := s.servers.Open(ctx, req)
	if err != nil {
		attempt.Cause = err
		if errors.Is(err, exchange.ErrNotSent) {
			attempt.Outcome = verdict.NotRun
		}
		attempt.recordEnd(err)
		return
	}
	defer func() {
		if attempt.Passed == nil {
			// The outcome of the attempt is known by now, and a failing close doesn't change it.
			_ = stream.Close()
		}
	}()
	attempt.Answer = platform.ReadAnswer(stream.Header())
	outcome, cause := Classify(attempt.Answer, request.ID)
	if errors.Is(cause, ErrWrongRequest) {
		attempt.Cause = cause
		return
	}
	if outcome != verdict.Ran {
		attempt.Outcome, attempt.Cause = outcome, cause
		attempt.recordEnd(stream.Discard())
		return
	}
	done, ok := expectBody(request, stream)
	if !ok {
		stream.Header().CopyTo(&attempt.Header)
		attempt.Outcome = verdict.Ran
		s.passOn(ctx, attempt, stream, request.ID)
		return
	}
	body, err := stream.ReadBody()
	done()
	if err != nil {
		attempt.Cause = err
		attempt.recordEnd(err)
		return
	}
	attempt.Outcome = verdict.Ran
	attempt.Body = body
	stream.Header().CopyTo(&attempt.Header)
}

// recordEnd records how the answer ended: err is nil if it is whole. What its head says of the request holds in any case.
func (a *Attempt) recordEnd(err error) {
	a.TooLarge, a.Malformed = exchange.IsTooLarge(err), exchange.IsMalformed(err)
	a.Interrupted = err != nil && !a.TooLarge && !a.Malformed && a.Outcome != verdict.NotRun
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
		s.balancer.RecordCompleteAnswer(id)
	case attempt.TooLarge, attempt.Malformed:
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
