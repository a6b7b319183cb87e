package engine

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

var (
	errCut       = errors.New("stream cut by a switch")
	errCancelled = errors.New("generation cancelled")
)

// stream is the body of one answer; each Read takes the time of what it returns. An error of Read
// makes the library cut the connection after what was sent before, as a failing engine does.
type stream struct {
	engine *Server
	ask    backendserver.GenerateRequest
	ticket *ticket
	ctx    context.Context
	end    func()
	length int
	// index is the next token of the whole answer, sent counts those of this one.
	index   int
	sent    int
	ready   bool
	closed  bool
	pending []byte
}

var _ io.ReadCloser = (*stream)(nil)

func newStream(engine *Server, ask backendserver.GenerateRequest, ticket *ticket) *stream {
	ctx, cancel := context.WithCancel(engine.Context())
	forget := engine.register(ask.SampleID, cancel)
	return &stream{
		engine: engine,
		ask:    ask,
		ticket: ticket,
		ctx:    ctx,
		length: lengthOf(ask),
		index:  len(ask.Resume),
		end: func() {
			forget()
			cancel()
			engine.leave(ticket)
		},
	}
}

// Read implements io.Reader.
func (s *stream) Read(data []byte) (int, error) {
	if len(s.pending) == 0 {
		event, err := s.next()
		if err != nil {
			return 0, err
		}
		raw, err := json.Marshal(event)
		if err != nil {
			return 0, errors.WithStack(err)
		}
		s.pending = []byte("data: " + string(raw) + "\n\n")
	}
	n := copy(data, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Close implements io.Closer; the library calls it when the answer is over or its caller is gone.
func (s *stream) Close() error {
	s.end()
	return nil
}

// next waits for the slot and for the next event; it returns io.EOF after the closing event.
func (s *stream) next() (backendserver.Event, error) {
	if s.closed {
		return backendserver.Event{}, io.EOF
	}
	if err := s.start(); err != nil {
		return backendserver.Event{}, err
	}
	if s.index >= s.length {
		s.closed = true
		return backendserver.Event{Done: true, Tokens: s.sent}, nil
	}
	version, err := s.engine.token(s.ctx, s.sent)
	if err != nil {
		return backendserver.Event{}, err
	}
	event := backendserver.Event{Text: tokenText(s.ask, s.index), Version: version}
	s.index++
	s.sent++
	return event, nil
}

// start waits for a slot and prefills the prompt, once.
func (s *stream) start() error {
	if s.ready {
		return nil
	}
	s.ready = true
	select {
	case <-s.ctx.Done():
		return errCancelled
	case <-s.ticket.started:
	}
	return s.engine.prefill(s.ctx, s.ask)
}

// token takes the time of one token and returns the version that produced it.
func (s *Server) token(ctx context.Context, sent int) (int, error) {
	if err := pause(ctx, s.currentTokenTime()); err != nil {
		return 0, errCancelled
	}
	if err := s.unstalled(ctx); err != nil {
		return 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.CutAfterTokens > 0 && sent >= s.faults.CutAfterTokens {
		return 0, errCut
	}
	s.generated++
	return s.weights.version, nil
}

// unstalled waits while the engine is stalled.
func (s *Server) unstalled(ctx context.Context) error {
	for {
		s.mutex.Lock()
		stalled, resumed := s.faults.Stalled, s.resumed
		s.mutex.Unlock()
		if !stalled {
			return nil
		}
		select {
		case <-ctx.Done():
			return errCancelled
		case <-resumed:
		}
	}
}

func (s *Server) prefill(ctx context.Context, ask backendserver.GenerateRequest) error {
	s.mutex.Lock()
	cached := s.cache.use(backendserver.PrefixHash(ask.Prompt), time.Now())
	s.mutex.Unlock()
	if cached {
		return nil
	}
	return pause(ctx, s.prefillTime)
}

// currentTokenTime grows with the batch.
func (s *Server) currentTokenTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tokenTimeLocked()
}

func (s *Server) tokenTimeLocked() time.Duration {
	factor := 1 + s.growth*float64(max(s.batch.running-1, 0))
	if s.faults.SlowFactor > 0 {
		factor *= s.faults.SlowFactor
	}
	return time.Duration(float64(s.tokenTime) * factor)
}

// register lets the sample be cancelled; the returned function ends that.
func (s *Server) register(sampleID string, cancel context.CancelFunc) func() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := s.samples.add(sampleID, cancel)
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.samples.remove(sampleID, id)
	}
}

func (s *Server) leave(ticket *ticket) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.batch.leave(ticket)
	s.recordLocked()
}

func (s *Server) record() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recordLocked()
}

// recordLocked notes the present load for the lagging report.
func (s *Server) recordLocked() {
	s.load.add(backendserver.EngineLoad{
		Running:    s.batch.running,
		Queued:     len(s.batch.waiting),
		Slots:      s.batch.slots,
		Version:    s.weights.version,
		Prefetched: s.weights.loaded(),
		TokenTime:  s.tokenTimeLocked(),
		MeasuredAt: time.Now(),
	})
}
