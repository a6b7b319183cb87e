package peer

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// clientStream is a request of the client with its answer as far as it has arrived.
type clientStream struct {
	conn    *clientConn
	ctx     context.Context
	changed chan struct{}

	mu sync.Mutex
	// id is 0 until the request frame is about to be written.
	id       uint64
	finished bool
	head     []byte
	chunks   [][]byte
	buffered int
	end      *endMessage
	err      error

	// The fields below are used only by the goroutine that reads the answer. uncredited is the number of bytes
	// that were read but not returned to the sender as credit yet.
	uncredited int
	checksum   *xxhash.Digest
	length     uint64
}

// startStream queues the request frame.
func startStream(ctx context.Context, c *clientConn, payload []byte) *clientStream {
	s := &clientStream{conn: c, ctx: ctx, changed: make(chan struct{}, 1), checksum: xxhash.New()}
	q := queuedFrame{frame: frame{Kind: kindRequest, Payload: payload}, assignID: s.assignID}
	if err := c.send(ctx, q); err != nil {
		s.finish()
	}
	return s
}

// assignID assigns the stream ID, which marks the request as sent. It returns false if the request was already cancelled.
func (s *clientStream) assignID(f *frame) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished {
		return false
	}
	s.id = s.conn.assignID(s)
	f.StreamID = s.id
	return true
}

// deliver processes a received frame of the answer. It never blocks.
func (s *clientStream) deliver(f frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.apply(f); err != nil {
		return err
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return nil
}

func (s *clientStream) apply(f frame) error {
	if s.end != nil || s.err != nil {
		return errors.Wrapf(ErrProtocol, "frame of kind %d after the end of stream %d", f.Kind, s.id)
	}
	switch f.Kind {
	case kindHead:
		s.head = f.Payload
	case kindData:
		s.chunks = append(s.chunks, f.Payload)
		s.buffered += len(f.Payload)
		if s.buffered > s.conn.settings.window {
			return errors.Wrapf(ErrProtocol, "stream %d exceeds its window", s.id)
		}
	case kindEnd:
		var message endMessage
		if err := msgpack.Unmarshal(f.Payload, &message); err != nil {
			return errors.Wrapf(ErrProtocol, "end of stream %d: %v", s.id, err)
		}
		s.end = &message
	default:
		s.err = s.decodeRefusal(f.Payload)
	}
	return nil
}

// decodeRefusal decodes a refusal. A missing verdict becomes MayHaveRun.
func (s *clientStream) decodeRefusal(payload []byte) error {
	var refusal verdict.Refusal
	if err := msgpack.Unmarshal(payload, &refusal); err != nil {
		return s.lostErrorf("decode refusal: %v", err)
	}
	if refusal.Verdict != verdict.NotRun {
		refusal.Verdict = max(refusal.Verdict, verdict.MayHaveRun)
	}
	return &refusal
}

// await blocks until ready returns true. It fails if the answer ends or fails, or the context or the connection ends, before that.
func (s *clientStream) await(ready func() bool) error {
	for {
		if done, err := s.tryAwait(ready); done {
			return err
		}
		select {
		case <-s.changed:
		case <-s.ctx.Done():
			return s.abandon(context.Cause(s.ctx))
		case <-s.conn.ctx.Done():
			// The end frame may have arrived just before the connection ended.
			if done, err := s.tryAwait(ready); done {
				return err
			}
			return s.abandon(context.Cause(s.conn.ctx))
		}
	}
}

func (s *clientStream) tryAwait(ready func() bool) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ready() {
		return true, nil
	}
	if s.err != nil {
		return true, s.err
	}
	if s.end != nil {
		return true, s.lostErrorf("stream %d ended out of order", s.id)
	}
	return false, nil
}

// abandon cancels the request. It returns ErrUnsent with the cause if the request was never sent, and ErrLost otherwise.
func (s *clientStream) abandon(cause error) error {
	if s.finish() == 0 {
		return errors.Wrapf(ErrUnsent, "%v", cause)
	}
	return s.lostErrorf("%v", cause)
}

// finish releases the stream and, unless the peer has ended it, tells the peer to cancel the request. Further calls
// have no effect. It returns the stream ID, or 0 if the request was never sent.
func (s *clientStream) finish() uint64 {
	s.mu.Lock()
	first := !s.finished
	s.finished = true
	id := s.id
	open := s.end == nil && s.err == nil
	s.mu.Unlock()
	if !first {
		return id
	}
	if id != 0 {
		s.conn.removeStream(id)
		if open {
			s.conn.sendAsync(frame{Kind: kindCancel, StreamID: id})
		}
	}
	s.conn.release()
	return id
}

// addToChecksum adds p to the length and checksum of the data read so far.
func (s *clientStream) addToChecksum(p []byte) {
	_, _ = s.checksum.Write(p) // never fails
	s.length += uint64(len(p))
}

// verifyIntegrity compares the length and checksum of the answer with those in the end frame.
func (s *clientStream) verifyIntegrity() error {
	s.addToChecksum(s.end.Body)
	if s.length != s.end.Length || s.checksum.Sum64() != s.end.Checksum {
		return s.lostErrorf("answer of %d bytes has a closing frame for %d, or another checksum",
			s.length, s.end.Length)
	}
	return nil
}

// readHead returns the head of the answer, and blocks until it has arrived.
func (s *clientStream) readHead() ([]byte, error) {
	if err := s.await(func() bool { return s.head != nil }); err != nil {
		return nil, err
	}
	s.addToChecksum(s.head)
	return s.head, nil
}

// readChunk returns the next chunk of the answer, or nil after the last one.
func (s *clientStream) readChunk() ([]byte, error) {
	var chunk []byte
	err := s.await(func() bool {
		if len(s.chunks) == 0 {
			return s.end != nil
		}
		chunk = s.chunks[0]
		s.chunks[0] = nil
		s.chunks = s.chunks[1:]
		s.buffered -= len(chunk)
		return true
	})
	if err != nil || chunk == nil {
		return nil, err
	}
	s.addToChecksum(chunk)
	s.returnCredit(len(chunk))
	return chunk, nil
}

// returnCredit counts n bytes as read, and returns the credit to the sender once half of the window has been read.
func (s *clientStream) returnCredit(n int) {
	s.uncredited += n
	if s.uncredited < s.conn.settings.window/2 {
		return
	}
	payload, err := marshal(s.uncredited)
	if err != nil {
		return
	}
	s.uncredited = 0
	_ = s.conn.send(s.ctx, queuedFrame{frame: frame{Kind: kindWindow, StreamID: s.id, Payload: payload}})
}
