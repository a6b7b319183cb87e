package peer

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// Call sends a request with message q and returns its answer, a single message. It returns an error that wraps ErrUnsent or
// ErrLost if the transport fails, and a *verdict.Refusal if the peer refuses the request.
func Call[Q, A any](ctx context.Context, c *Client, to netip.AddrPort, m Method, q Q) (A, error) {
	var a A
	s, err := send(ctx, c, to, m, q, func(s *clientStream) error {
		return s.await(func() bool { return s.end != nil })
	})
	if err != nil {
		return a, err
	}
	defer s.finish()
	if err := s.verifyIntegrity(); err != nil {
		return a, err
	}
	if err := msgpack.Unmarshal(s.end.Body, &a); err != nil {
		return a, s.lostErrorf("decode the answer of method %s: %v", m, err)
	}
	return a, nil
}

// OpenStream sends a request whose answer is streamed, and returns when the head of the answer has arrived.
// The answer is cancelled when ctx ends. Otherwise the caller must read it to the end or cancel it.
func OpenStream[Q, E any](ctx context.Context, c *Client, to netip.AddrPort, m Method, q Q) (*Answer[E], error) {
	var payload []byte
	s, err := send(ctx, c, to, m, q, func(s *clientStream) (err error) {
		payload, err = s.readHead()
		return err
	})
	if err != nil {
		return nil, err
	}
	a := &Answer[E]{stream: s}
	if err := msgpack.Unmarshal(payload, &a.head); err != nil {
		s.finish()
		return nil, s.lostErrorf("decode the head of method %s: %v", m, err)
	}
	a.unwatchContext = context.AfterFunc(ctx, func() { s.finish() })
	return a, nil
}

// maxSends is how often a request is queued on a connection that ends before the request is written.
const maxSends = 3

// send sends a request and calls await, which waits for the first part of the answer that the caller needs.
//
// A connection may end while requests wait to be written to it. They can't have run, and are sent on a new connection, so that their callers
// don't all fail because one connection did.
func send[Q any](
	ctx context.Context, c *Client, to netip.AddrPort, m Method, q Q, await func(*clientStream) error,
) (*clientStream, error) {
	for sends := 1; ; sends++ {
		payload, err := encodeRequest(ctx, c, m, q)
		if err != nil {
			return nil, err
		}
		conn, err := c.acquire(ctx, to)
		if err != nil {
			return nil, errors.Wrapf(ErrUnsent, "method %s: %v", m, err)
		}
		s := startStream(ctx, conn, payload)
		if err = await(s); err == nil {
			return s, nil
		}
		s.finish()
		if !errors.Is(err, ErrUnsent) || ctx.Err() != nil || sends == maxSends {
			return nil, err
		}
	}
}

func encodeRequest[Q any](ctx context.Context, c *Client, m Method, q Q) ([]byte, error) {
	body, err := marshal(q)
	if err != nil {
		return nil, errors.Wrapf(ErrUnsent, "encode the message of method %s: %v", m, err)
	}
	message := requestMessage{Method: m, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		message.Remaining = max(time.Until(deadline), time.Nanosecond)
	}
	payload, err := marshal(message)
	if err != nil {
		return nil, errors.Wrapf(ErrUnsent, "encode method %s: %v", m, err)
	}
	if len(payload)+frameOverhead > c.settings.maxFrame {
		return nil, verdict.Refuse(verdict.NotRun, verdict.ReasonTooLarge, 0,
			"message of %d bytes, %d allowed", len(payload), c.settings.maxFrame-frameOverhead)
	}
	return payload, nil
}

// Answer is a streamed answer. It must be read by only one goroutine.
type Answer[E any] struct {
	stream         *clientStream
	head           request.AnswerHead
	end            E
	err            error
	unwatchContext func() bool
}

// Head returns the head of the answer.
func (a *Answer[E]) Head() request.AnswerHead { return a.head }

// End returns the end message of the answer. It is valid once Next has returned io.EOF.
func (a *Answer[E]) End() E { return a.end }

// ServerIncarnation returns the incarnation of the process that sends the answer.
func (a *Answer[E]) ServerIncarnation() uint64 { return a.stream.conn.serverIncarnation }

// Next returns the next bytes, which the caller may keep and modify. It returns io.EOF only if the answer is
// complete, that is, if its length and checksum match those in the end frame.
func (a *Answer[E]) Next() ([]byte, error) {
	if a.err != nil {
		return nil, a.err
	}
	chunk, err := a.stream.readChunk()
	if err == nil && chunk != nil {
		return chunk, nil
	}
	if err == nil {
		err = a.decodeEnd()
	}
	a.err = err
	a.Cancel()
	return nil, err
}

func (a *Answer[E]) decodeEnd() error {
	if err := a.stream.verifyIntegrity(); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(a.stream.end.Body, &a.end); err != nil {
		return a.stream.lostErrorf("decode the end of an answer: %v", err)
	}
	return io.EOF
}

// Cancel discards the rest of the answer and cancels the peer's handler. It may be called more than once.
func (a *Answer[E]) Cancel() {
	a.unwatchContext()
	a.stream.finish()
}
