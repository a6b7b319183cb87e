package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/call"
)

// passedStream is the body of an answer that is written to the caller as it arrives. If the server breaks off, the caller's connection is
// closed before the declared length, so that the answer can't look complete.
type passedStream struct {
	*call.PassedBody
	end func()
}

// newPassedStream returns the body as a stream that calls end when it is closed. A caller that doesn't read would else keep the slot at the
// server without end: once ctx has ended or the deadline has passed, writing to the connection fails.
func newPassedStream(ctx context.Context, conn net.Conn, body *call.PassedBody, deadline time.Time, end func()) *passedStream {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	aborted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(aborted)
		_ = conn.SetWriteDeadline(time.Unix(1, 0))
	})
	return &passedStream{PassedBody: body, end: sync.OnceFunc(func() {
		if !stop() {
			// The answer may have been written just before: the connection is then used for the next one.
			<-aborted
			_ = conn.SetWriteDeadline(time.Time{})
		}
		cancel()
		_ = body.Close()
		end()
	})}
}

// Close ends the request.
func (s *passedStream) Close() error {
	s.end()
	return nil
}
