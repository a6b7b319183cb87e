package peer

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// outbound is one request that was asked and its answer as it arrives.
type outbound struct {
	channel *channel
	ctx     context.Context
	signal  chan struct{}

	mu sync.Mutex
	// stream is 0 until the request frame is about to be written.
	stream   uint64
	finished bool
	head     []byte
	chunks   [][]byte
	buffered int
	end      *closing
	failure  error

	// Of the reading goroutine only:
	consumed int
	sum      *xxhash.Digest
	length   uint64
}

// start queues the request frame.
func start(ctx context.Context, c *channel, payload []byte) *outbound {
	out := &outbound{channel: c, ctx: ctx, signal: make(chan struct{}, 1), sum: xxhash.New()}
	o := outgoing{frame: frame{Kind: kindRequest, Payload: payload}, claim: out.claim}
	if err := c.send(ctx, o); err != nil {
		out.finish()
	}
	return out
}

// claim marks the request as sent; false if its caller has given up before.
func (o *outbound) claim(f *frame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.finished {
		return false
	}
	o.stream = o.channel.claim(o)
	f.Stream = o.stream
	return true
}

// deliver takes a frame of the answer; it never waits.
func (o *outbound) deliver(f frame) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.take(f); err != nil {
		return err
	}
	select {
	case o.signal <- struct{}{}:
	default:
	}
	return nil
}

func (o *outbound) take(f frame) error {
	if o.end != nil || o.failure != nil {
		return errors.Wrapf(ErrProtocol, "frame of kind %d after the end of stream %d", f.Kind, o.stream)
	}
	switch f.Kind {
	case kindHead:
		o.head = f.Payload
	case kindData:
		o.chunks = append(o.chunks, f.Payload)
		o.buffered += len(f.Payload)
		if o.buffered > o.channel.settings.window {
			return errors.Wrapf(ErrProtocol, "stream %d exceeds its window", o.stream)
		}
	case kindEnd:
		var end closing
		if err := msgpack.Unmarshal(f.Payload, &end); err != nil {
			return errors.Wrapf(ErrProtocol, "end of stream %d: %v", o.stream, err)
		}
		o.end = &end
	default:
		o.failure = o.decodeRefusal(f.Payload)
	}
	return nil
}

// decodeRefusal reads a refusal; one without a verdict may have run.
func (o *outbound) decodeRefusal(payload []byte) error {
	var refusal verdict.Refusal
	if err := msgpack.Unmarshal(payload, &refusal); err != nil {
		return o.lost("decode refusal: %v", err)
	}
	if refusal.Verdict != verdict.NotRun {
		refusal.Verdict = max(refusal.Verdict, verdict.MayHaveRun)
	}
	return &refusal
}

// await returns when ready finds what it looks for, and fails when the answer fails first.
func (o *outbound) await(ready func() bool) error {
	for {
		if done, err := o.poll(ready); done {
			return err
		}
		select {
		case <-o.signal:
		case <-o.ctx.Done():
			return o.giveUp(context.Cause(o.ctx))
		case <-o.channel.ctx.Done():
			// The closing frame may have come together with the end of the connection.
			if done, err := o.poll(ready); done {
				return err
			}
			return o.giveUp(context.Cause(o.channel.ctx))
		}
	}
}

func (o *outbound) poll(ready func() bool) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ready() {
		return true, nil
	}
	if o.failure != nil {
		return true, o.failure
	}
	if o.end != nil {
		return true, o.lost("stream %d ended out of order", o.stream)
	}
	return false, nil
}

// giveUp ends the request on this side and says whether any of it was sent.
func (o *outbound) giveUp(cause error) error {
	if o.finish() == 0 {
		return errors.Wrapf(ErrUnsent, "%v", cause)
	}
	return o.lost("%v", cause)
}

// finish releases the stream, once; it returns 0 if the request was never sent.
// The peer is told to stop unless it has closed the stream itself.
func (o *outbound) finish() uint64 {
	o.mu.Lock()
	first := !o.finished
	o.finished = true
	stream := o.stream
	open := o.end == nil && o.failure == nil
	o.mu.Unlock()
	if !first {
		return stream
	}
	if stream != 0 {
		o.channel.drop(stream)
		if open {
			o.channel.post(frame{Kind: kindCancel, Stream: stream})
		}
	}
	o.channel.release()
	return stream
}

// cover adds to the length and checksum of what was read.
func (o *outbound) cover(p []byte) {
	_, _ = o.sum.Write(p) // never fails
	o.length += uint64(len(p))
}

// whole compares what was read with the closing frame.
func (o *outbound) whole() error {
	o.cover(o.end.Body)
	if o.length != o.end.Length || o.sum.Sum64() != o.end.Sum {
		return o.lost("answer of %d bytes has a closing frame for %d, or another checksum",
			o.length, o.end.Length)
	}
	return nil
}

// readHead waits for the head.
func (o *outbound) readHead() ([]byte, error) {
	if err := o.await(func() bool { return o.head != nil }); err != nil {
		return nil, err
	}
	o.cover(o.head)
	return o.head, nil
}

// readChunk returns the next bytes, or nil after the last.
func (o *outbound) readChunk() ([]byte, error) {
	var chunk []byte
	err := o.await(func() bool {
		if len(o.chunks) == 0 {
			return o.end != nil
		}
		chunk = o.chunks[0]
		o.chunks[0] = nil
		o.chunks = o.chunks[1:]
		o.buffered -= len(chunk)
		return true
	})
	if err != nil || chunk == nil {
		return nil, err
	}
	o.cover(chunk)
	o.grant(len(chunk))
	return chunk, nil
}

// grant lets the sender send on once half of the window was read.
func (o *outbound) grant(n int) {
	o.consumed += n
	if o.consumed < o.channel.settings.window/2 {
		return
	}
	payload, err := marshal(o.consumed)
	if err != nil {
		return
	}
	o.consumed = 0
	_ = o.channel.send(o.ctx, outgoing{frame: frame{Kind: kindWindow, Stream: o.stream, Payload: payload}})
}
