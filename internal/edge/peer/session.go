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

// retrySoon is when a refused request may come back: another server takes it at once.
const retrySoon = time.Second

// session is the serving side of a connection.
type session struct {
	*link
	server *Server
	wg     *conc.WaitGroup

	mu      sync.Mutex
	streams map[uint64]*inbound
	// last is the highest stream seen. A stream at or below it is a frame that came twice: it is
	// dropped, since running it again would run one request twice.
	last uint64
}

func newSession(server *Server, l *link) *session {
	return &session{link: l, server: server, wg: conc.NewWaitGroup(), streams: make(map[uint64]*inbound)}
}

func (s *session) run() {
	_ = s.link.run(s.dispatch)
	s.wg.Wait()
}

func (s *session) dispatch(f frame) error {
	switch f.Kind {
	case kindRequest:
		return s.open(f)
	case kindCancel:
		s.withStream(f.Stream, func(in *inbound) { in.cancel(ErrCancelled) })
		return nil
	case kindWindow:
		var n int
		if err := msgpack.Unmarshal(f.Payload, &n); err != nil || n <= 0 {
			return errors.Wrapf(ErrProtocol, "window of stream %d", f.Stream)
		}
		s.withStream(f.Stream, func(in *inbound) { in.credit.add(n) })
		return nil
	default:
		return errors.Wrapf(ErrProtocol, "frame of kind %d from a client", f.Kind)
	}
}

func (s *session) withStream(stream uint64, do func(*inbound)) {
	s.mu.Lock()
	in, ok := s.streams[stream]
	s.mu.Unlock()
	if ok {
		do(in)
	}
}

func (s *session) open(f frame) error {
	if f.Stream <= s.last {
		return nil
	}
	s.last = f.Stream
	var c call
	if err := msgpack.Unmarshal(f.Payload, &c); err != nil {
		return errors.Wrapf(ErrProtocol, "request of stream %d: %v", f.Stream, err)
	}
	h, err := s.server.registry.find(c.Method)
	if err != nil {
		return s.refuse(f.Stream, err)
	}
	in := newInbound(s, f.Stream, c.Remaining)
	if !s.register(in) {
		in.release()
		return s.refuse(f.Stream, verdict.Refuse(verdict.NotRun,
			verdict.ReasonNoRoom, retrySoon, "%d requests run on this connection", s.settings.maxStreams))
	}
	if !s.server.begin() {
		s.unregister(in)
		return s.refuse(f.Stream, verdict.Refuse(verdict.NotRun,
			verdict.ReasonLeaving, retrySoon, "the process is leaving"))
	}
	s.wg.Go(func() { in.serve(h, c.Body) })
	return nil
}

func (s *session) register(in *inbound) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= s.settings.maxStreams {
		return false
	}
	s.streams[in.stream] = in
	return true
}

func (s *session) unregister(in *inbound) {
	s.mu.Lock()
	delete(s.streams, in.stream)
	s.mu.Unlock()
	in.release()
}

func (s *session) refuse(stream uint64, reason error) error {
	payload, err := marshal(verdict.From(reason))
	if err != nil {
		return errors.Wrapf(err, "encode refusal of stream %d", stream)
	}
	return s.send(s.ctx, outgoing{frame: frame{Kind: kindFail, Stream: stream, Payload: payload}})
}

// inbound is one request that is being served; it is the Sink of its handler.
type inbound struct {
	session *session
	stream  uint64
	ctx     context.Context
	cancel  context.CancelCauseFunc
	release context.CancelFunc
	credit  *credit
	sum     *xxhash.Digest
	length  uint64
}

func newInbound(s *session, stream uint64, remaining time.Duration) *inbound {
	ctx, cancel := context.WithCancelCause(s.ctx)
	release := context.CancelFunc(func() { cancel(nil) })
	if remaining > 0 {
		ctx, release = context.WithTimeout(ctx, remaining)
	}
	return &inbound{
		session: s,
		stream:  stream,
		ctx:     ctx,
		cancel:  cancel,
		release: release,
		credit:  newCredit(s.settings.window),
		sum:     xxhash.New(),
	}
}

func (in *inbound) serve(h handler, body []byte) {
	defer in.session.server.done()
	defer in.cancel(nil)
	defer in.session.unregister(in)
	var end []byte
	var err error
	if caught := panics.Try(func() { end, err = h(in.ctx, body, in) }); caught != nil {
		err = errors.Wrap(caught.AsError(), "handler")
	}
	if err == nil {
		err = in.close(end)
	}
	if err != nil {
		_ = in.session.refuse(in.stream, err)
	}
}

func (in *inbound) close(body []byte) error {
	in.cover(body)
	payload, err := marshal(closing{Length: in.length, Sum: in.sum.Sum64(), Body: body})
	if err != nil {
		return errors.Wrapf(err, "encode end of stream %d", in.stream)
	}
	if len(payload)+frameOverhead > in.session.settings.maxFrame {
		return errors.Wrapf(ErrTooLarge, "answer of %d bytes", len(payload))
	}
	return in.session.send(in.session.ctx, outgoing{frame: frame{Kind: kindEnd, Stream: in.stream, Payload: payload}})
}

func (in *inbound) cover(p []byte) {
	_, _ = in.sum.Write(p) // never fails
	in.length += uint64(len(p))
}

// Abort implements Aborter.
func (in *inbound) Abort(cause error) { in.cancel(cause) }

// Head implements Sink.
func (in *inbound) Head(head request.AnswerHead) error {
	payload, err := marshal(head)
	if err != nil {
		return errors.Wrapf(err, "encode head of stream %d", in.stream)
	}
	in.cover(payload)
	return in.session.send(in.ctx, outgoing{frame: frame{Kind: kindHead, Stream: in.stream, Payload: payload}})
}

// Write implements Sink.
func (in *inbound) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := in.credit.take(in.ctx, min(len(p)-written, chunkSize))
		if err != nil {
			return written, err
		}
		chunk := bytes.Clone(p[written : written+n])
		in.cover(chunk)
		if err := in.session.send(in.ctx, outgoing{frame: frame{Kind: kindData, Stream: in.stream, Payload: chunk}}); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}
