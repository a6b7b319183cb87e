package call

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/platform"
)

// maxAnswerBytes bounds an answer that is held whole before any of it is passed on.
const maxAnswerBytes = 64 << 20

// attempt sends the request to a server once and reads the whole answer.
func (s *Sender) attempt(ctx context.Context, req *fasthttp.Request, server backend.Server, request *Request) *Attempt {
	done := &Attempt{Server: server, Sent: time.Now(), Outcome: verdict.MayHaveRun}
	defer s.book.Release(server.ID)
	s.exchange(ctx, req, done, request.ID)
	s.learn(ctx, done)
	if done.Outcome != verdict.NotRun && request.Ran != nil {
		request.Ran(done.Sent)
	}
	if done.Outcome != verdict.Ran && ctx.Err() == nil {
		s.log.Info().Str("request", request.ID).Str("server", server.ID).Stringer("verdict", done.Outcome).
			Int("status", done.Answer.Status).AnErr("cause", done.Cause).Dur("took", time.Since(done.Sent)).Msg("attempt without answer")
	}
	return done
}

// exchange carries the request over and checks that the answer is a server's own answer to it.
func (s *Sender) exchange(ctx context.Context, req *fasthttp.Request, done *Attempt, id string) {
	stream, err := s.servers.Open(ctx, req)
	if err != nil {
		done.Cause = err
		if errors.Is(err, exchange.ErrNotSent) {
			done.Outcome = verdict.NotRun
		}
		return
	}
	defer func() {
		// The outcome is known by now; a failing close changes nothing about it.
		_ = stream.Close()
	}()
	done.Answer = platform.ReadAnswer(stream.Header())
	if done.Answer.RequestID != id {
		done.Cause = errors.Errorf("the answer is for request %.40q", done.Answer.RequestID)
		return
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxAnswerBytes))
	if err != nil {
		done.Cause = err
		return
	}
	switch {
	case done.Answer.NotRun:
		done.Outcome = verdict.NotRun
		done.Cause = errors.Errorf("status %d", done.Answer.Status)
	case !done.Answer.Signed() || done.Answer.Coded:
		done.Cause = errors.Errorf("status %d without a server's signature", done.Answer.Status)
	default:
		done.Outcome = verdict.Ran
		done.Body = body
		stream.Header().CopyTo(&done.Header)
	}
}

// learn tells the book what an attempt showed of its server.
func (s *Sender) learn(ctx context.Context, done *Attempt) {
	now, id := time.Now(), done.Server.ID
	if done.Answer.Load >= 0 && done.Answer.Status != 0 {
		s.book.RecordLoad(now, id, done.Answer.Load)
	}
	switch {
	case done.Outcome == verdict.Ran && done.Answer.Status < fasthttp.StatusInternalServerError:
		s.book.RecordLatency(now, id, now.Sub(done.Sent))
	case done.Outcome == verdict.NotRun && done.Answer.Status != 0:
		s.book.RecordRefusal(now, id)
	case ctx.Err() != nil:
		// Nobody waits any more; it says nothing about the server.
	case done.Answer.Status == 0:
		s.book.RecordConnectionFailure(now, id)
		s.book.RecordFailure(now, id)
	default:
		s.book.RecordFailure(now, id)
	}
}
