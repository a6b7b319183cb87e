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

// PassedBody is the body of an answer that is passed on as it arrives, because there may be no memory for it. The request keeps its slot at
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

// expectBody reports whether the answer is read into memory, until done is called. Otherwise it is passed on as it arrives: a large one, and one
// that there may be no memory for beside those that are being read.
func expectBody(request *Request, stream *exchange.Stream) (done func(), ok bool) {
	declared := stream.DeclaredLength()
	switch {
	case !request.PassOn || declared < 0 || declared > MaxAnswerBytes:
		return func() {}, true
	case declared > maxBufferedBytes:
		return nil, false
	default:
		return stream.Expect()
	}
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
