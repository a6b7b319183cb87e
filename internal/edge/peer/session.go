package peer

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// retryAfter is when a refused request may be sent again. It is short, since another server can take the request at once.
const retryAfter = time.Second

// serverConn is the server side of a connection.
type serverConn struct {
	*frameConn
	server *Server
	wg     *conc.WaitGroup

	mu      sync.Mutex
	streams map[uint64]*serverStream
	// lastStreamID is the highest stream ID received. A request frame with this ID or a lower one is a duplicate. It is
	// dropped, since the request would run twice.
	lastStreamID uint64
}

func newServerConn(server *Server, transport *frameConn) *serverConn {
	return &serverConn{frameConn: transport, server: server, wg: conc.NewWaitGroup(), streams: make(map[uint64]*serverStream)}
}

func (c *serverConn) run() {
	requests, cause := c.frameConn.run(c.dispatch, c.openRequests)
	c.reportEnd(false, requests, cause)
	c.wg.Wait()
}

func (c *serverConn) openRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

func (c *serverConn) dispatch(f frame) error {
	switch f.Kind {
	case kindRequest:
		return c.openStream(f)
	case kindCancel:
		c.withStream(f.StreamID, func(s *serverStream) { s.cancel(ErrCancelled) })
		return nil
	case kindWindow:
		var n int
		if err := msgpack.Unmarshal(f.Payload, &n); err != nil || n <= 0 {
			return errors.Wrapf(ErrProtocol, "window of stream %d", f.StreamID)
		}
		c.withStream(f.StreamID, func(s *serverStream) { s.credit.add(n) })
		return nil
	default:
		return errors.Wrapf(ErrProtocol, "frame of kind %d from a client", f.Kind)
	}
}

func (c *serverConn) withStream(id uint64, apply func(*serverStream)) {
	c.mu.Lock()
	s, ok := c.streams[id]
	c.mu.Unlock()
	if ok {
		apply(s)
	}
}

func (c *serverConn) openStream(f frame) error {
	if f.StreamID <= c.lastStreamID {
		return nil
	}
	c.lastStreamID = f.StreamID
	var message requestMessage
	if err := msgpack.Unmarshal(f.Payload, &message); err != nil {
		return errors.Wrapf(ErrProtocol, "request of stream %d: %v", f.StreamID, err)
	}
	h, err := c.server.registry.lookup(message.Method)
	if err != nil {
		return c.refuse(f.StreamID, err)
	}
	if message.Remaining > 0 {
		message.Remaining = max(message.Remaining-c.netConn.readDelay, time.Nanosecond)
	}
	s := newServerStream(c, f.StreamID, message.Remaining)
	if !c.register(s) {
		s.release()
		return c.refuse(f.StreamID, verdict.Refuse(verdict.NotRun,
			verdict.ReasonNoRoom, retryAfter, "%d requests run on this connection", c.settings.maxStreams))
	}
	if !c.server.beginRequest() {
		c.unregister(s)
		return c.refuse(f.StreamID, verdict.Refuse(verdict.NotRun,
			verdict.ReasonLeaving, retryAfter, "the process is leaving"))
	}
	c.wg.Go(func() { s.serve(h, message.Body) })
	return nil
}

func (c *serverConn) register(s *serverStream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams) >= c.settings.maxStreams {
		return false
	}
	c.streams[s.id] = s
	return true
}

func (c *serverConn) unregister(s *serverStream) {
	c.mu.Lock()
	delete(c.streams, s.id)
	c.mu.Unlock()
	s.release()
}

func (c *serverConn) refuse(streamID uint64, reason error) error {
	payload, err := marshal(verdict.From(reason))
	if err != nil {
		return errors.Wrapf(err, "encode refusal of stream %d", streamID)
	}
	return c.send(c.ctx, queuedFrame{frame: frame{Kind: kindRefusal, StreamID: streamID, Payload: payload}})
}

// serverStream is a request that the server is handling, and the Sink of its handler.
type serverStream struct {
	conn     *serverConn
	id       uint64
	ctx      context.Context
	cancel   context.CancelCauseFunc
	release  context.CancelFunc
	credit   *credit
	checksum *xxhash.Digest
	length   uint64
}

func newServerStream(conn *serverConn, id uint64, remaining time.Duration) *serverStream {
	ctx, cancel := context.WithCancelCause(conn.ctx)
	release := context.CancelFunc(func() { cancel(nil) })
	if remaining > 0 {
		ctx, release = context.WithTimeout(ctx, remaining)
	}
	return &serverStream{
		conn:     conn,
		id:       id,
		ctx:      ctx,
		cancel:   cancel,
		release:  release,
		credit:   newCredit(conn.settings.window),
		checksum: xxhash.New(),
	}
}

func (s *serverStream) serve(h handler, body []byte) {
	defer s.conn.server.endRequest()
	defer s.cancel(nil)
	defer s.conn.unregister(s)
	var end []byte
	var err error
	if caught := panics.Try(func() { end, err = h(s.ctx, body, s) }); caught != nil {
		err = errors.Wrap(caught.AsError(), "handler")
	}
	if err == nil {
		err = s.close(end)
	}
	if err != nil {
		_ = s.conn.refuse(s.id, err)
	}
}

func (s *serverStream) close(body []byte) error {
	s.addToChecksum(body)
	payload, err := marshal(endMessage{Length: s.length, Checksum: s.checksum.Sum64(), Body: body})
	if err != nil {
		return errors.Wrapf(err, "encode end of stream %d", s.id)
	}
	if len(payload)+frameOverhead > s.conn.settings.maxFrame {
		return errors.Wrapf(ErrTooLarge, "answer of %d bytes", len(payload))
	}
	return s.conn.send(s.conn.ctx, queuedFrame{frame: frame{Kind: kindEnd, StreamID: s.id, Payload: payload}})
}

func (s *serverStream) addToChecksum(p []byte) {
	_, _ = s.checksum.Write(p) // never fails
	s.length += uint64(len(p))
}

// Abort implements Aborter.
func (s *serverStream) Abort(cause error) { s.cancel(cause) }

// Head implements Sink.
func (s *serverStream) Head(head request.AnswerHead) error {
	payload, err := marshal(head)
	if err != nil {
		return errors.Wrapf(err, "encode head of stream %d", s.id)
	}
	s.addToChecksum(payload)
	return s.conn.send(s.ctx, queuedFrame{frame: frame{Kind: kindHead, StreamID: s.id, Payload: payload}})
}

// Write implements Sink.
func (s *serverStream) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := s.credit.take(s.ctx, min(len(p)-written, chunkSize))
		if err != nil {
			return written, err
		}
		chunk := bytes.Clone(p[written : written+n])
		s.addToChecksum(chunk)
		if err := s.conn.send(s.ctx, queuedFrame{frame: frame{Kind: kindData, StreamID: s.id, Payload: chunk}}); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}
