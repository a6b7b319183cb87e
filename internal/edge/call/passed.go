package call

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

const (
	// maxBufferedBytes is the declared length in bytes up to which an answer is read into memory before any of it is passed on.
	maxBufferedBytes = 1 << 20
	// MaxAnswerBytes is the largest declared length, in bytes, of an answer that is passed on.
	MaxAnswerBytes = 64 << 20
)

// PassedBody is the body of an answer that is passed on as it arrives, because it is too large for the memory. The request keeps its slot at
// the server until the body is closed. It is not safe for concurrent use.
type PassedBody struct {
	stream *exchange.Stream
	length int
	read   int
	// err is the error that ended the body before its end.
	err error
	// end is called once, when the body is closed.
	end func()
}

// isPassedOn reports whether the answer is passed on as it arrives.
func isPassedOn(request *Request, stream *exchange.Stream) bool {
	declared := stream.DeclaredLength()
	return request.PassOn && declared > maxBufferedBytes && declared <= MaxAnswerBytes
}

// passOn makes the attempt's answer one that is passed on as it arrives.
func (s *Sender) passOn(ctx context.Context, attempt *Attempt, stream *exchange.Stream, request string) {
	body := &PassedBody{stream: stream, length: stream.DeclaredLength()}
	body.end = sync.OnceFunc(func() {
		// How the body ended is known by now, and a failing close doesn't change it.
		_ = stream.Close()
		s.balancer.Release(attempt.Server.ID)
		if body.err != nil && ctx.Err() == nil {
			s.balancer.RecordFailure(time.Now(), attempt.Server.ID)
		}
		if body.read < body.length {
			s.log.Info().Str("request", request).Str("server", attempt.Server.ID).Int("bytes", body.read).Int("length", body.length).
				AnErr("cause", body.err).Dur("took", time.Since(attempt.SentAt)).Msg("answer passed on in part")
		}
		attempt.cancel()
	})
	attempt.Passed = body
}

// Len returns the length of the body in bytes.
func (b *PassedBody) Len() int { return b.length }

// Read returns io.EOF only after the whole body.
func (b *PassedBody) Read(data []byte) (int, error) {
	n, err := b.stream.Read(data)
	b.read += n
	if errors.Is(err, exchange.ErrAnswerLost) {
		b.err = err
	}
	return n, err
}

// Close ends the request. A server that has not sent the whole body has its connection closed.
func (b *PassedBody) Close() error {
	b.end()
	return nil
}
