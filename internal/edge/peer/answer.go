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

// Ask sends a request whose answer is one message.
func Ask[Q, A any](ctx context.Context, c *Client, to netip.AddrPort, m Method, q Q) (A, error) {
	var a A
	out, err := send(ctx, c, to, m, q)
	if err != nil {
		return a, err
	}
	defer out.finish()
	if err := out.await(func() bool { return out.end != nil }); err != nil {
		return a, err
	}
	if err := out.whole(); err != nil {
		return a, err
	}
	if err := msgpack.Unmarshal(out.end.Body, &a); err != nil {
		return a, out.lost("decode the answer of method %s: %v", m, err)
	}
	return a, nil
}

// Open sends a request whose answer is streamed, and returns once its head has come.
// The answer is cancelled when ctx ends; else it must be read to its end or cancelled.
func Open[Q, E any](ctx context.Context, c *Client, to netip.AddrPort, m Method, q Q) (*Answer[E], error) {
	out, err := send(ctx, c, to, m, q)
	if err != nil {
		return nil, err
	}
	payload, err := out.readHead()
	if err != nil {
		out.finish()
		return nil, err
	}
	a := &Answer[E]{out: out}
	if err := msgpack.Unmarshal(payload, &a.head); err != nil {
		out.finish()
		return nil, out.lost("decode the head of method %s: %v", m, err)
	}
	a.stop = context.AfterFunc(ctx, func() { out.finish() })
	return a, nil
}

func send[Q any](ctx context.Context, c *Client, to netip.AddrPort, m Method, q Q) (*outbound, error) {
	payload, err := encodeCall(ctx, c, m, q)
	if err != nil {
		return nil, err
	}
	channel, err := c.acquire(ctx, to)
	if err != nil {
		return nil, errors.Wrapf(ErrUnsent, "method %s: %v", m, err)
	}
	return start(ctx, channel, payload), nil
}

func encodeCall[Q any](ctx context.Context, c *Client, m Method, q Q) ([]byte, error) {
	body, err := marshal(q)
	if err != nil {
		return nil, errors.Wrapf(ErrUnsent, "encode the message of method %s: %v", m, err)
	}
	message := call{Method: m, Body: body}
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

// Answer is a streamed answer. It is read by one goroutine.
type Answer[E any] struct {
	out  *outbound
	head request.AnswerHead
	end  E
	done error
	stop func() bool
}

// Head returns what opened the answer.
func (a *Answer[E]) Head() request.AnswerHead { return a.head }

// End returns the closing message; it is set once Next has returned io.EOF.
func (a *Answer[E]) End() E { return a.end }

// Process returns the incarnation of the process that answers.
func (a *Answer[E]) Process() uint64 { return a.out.channel.process }

// Next returns the next bytes, which belong to the caller. It returns io.EOF only when the answer
// is whole: its length and checksum agree with the closing frame.
func (a *Answer[E]) Next() ([]byte, error) {
	if a.done != nil {
		return nil, a.done
	}
	chunk, err := a.out.readChunk()
	if err == nil && chunk != nil {
		return chunk, nil
	}
	if err == nil {
		err = a.finish()
	}
	a.done = err
	a.Cancel()
	return nil, err
}

func (a *Answer[E]) finish() error {
	if err := a.out.whole(); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(a.out.end.Body, &a.end); err != nil {
		return a.out.lost("decode the end of an answer: %v", err)
	}
	return io.EOF
}

// Cancel gives the answer up and lets the peer's handler end; it may be called more than once.
func (a *Answer[E]) Cancel() {
	a.stop()
	a.out.finish()
}
