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
	errCut       = errors.New("stream cut by an injected fault")
	errCancelled = errors.New("generation cancelled")
)

// stream is the body of one answer. Each Read takes the time that generating its content takes. If Read returns an error,
// the HTTP library cuts the connection after the data already sent, as a failing engine does.
type stream struct {
	engine  *Server
	req     backendserver.GenerateRequest
	entry   *queueEntry
	ctx     context.Context
	release func()
	length  int
	// index is the next token of the complete answer. sent counts the tokens sent in this stream, which may resume an answer.
	index      int
	sent       int
	hasStarted bool
	done       bool
	pending    []byte
}

var _ io.ReadCloser = (*stream)(nil)

func newStream(engine *Server, req backendserver.GenerateRequest, entry *queueEntry) *stream {
	ctx, cancel := context.WithCancel(engine.Context())
	unregister := engine.registerSample(req.SampleID, cancel)
	return &stream{
		engine: engine,
		req:    req,
		entry:  entry,
		ctx:    ctx,
		length: answerLength(req),
		index:  len(req.Resume),
		release: func() {
			unregister()
			cancel()
			engine.leave(entry)
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

// Close implements io.Closer. The HTTP library calls it when the answer is complete or its caller has disconnected.
func (s *stream) Close() error {
	s.release()
	return nil
}

// next waits for a slot and returns the next event. It returns io.EOF after the final event.
func (s *stream) next() (backendserver.Event, error) {
	if s.done {
		return backendserver.Event{}, io.EOF
	}
	if err := s.start(); err != nil {
		return backendserver.Event{}, err
	}
	if s.index >= s.length {
		s.done = true
		return backendserver.Event{Done: true, Tokens: s.sent}, nil
	}
	version, err := s.engine.generateToken(s.ctx, s.sent)
	if err != nil {
		return backendserver.Event{}, err
	}
	event := backendserver.Event{Text: tokenText(s.req, s.index), Version: version}
	s.index++
	s.sent++
	return event, nil
}

// start waits for a slot and prefills the prompt. Only the first call does anything.
func (s *stream) start() error {
	if s.hasStarted {
		return nil
	}
	s.hasStarted = true
	select {
	case <-s.ctx.Done():
		return errCancelled
	case <-s.entry.started:
	}
	return s.engine.prefill(s.ctx, s.req)
}

// generateToken waits for the time of one token and returns the model version that produced it.
func (s *Server) generateToken(ctx context.Context, sent int) (int, error) {
	if err := sleep(ctx, s.currentTokenTime()); err != nil {
		return 0, errCancelled
	}
	if err := s.waitWhileStalled(ctx); err != nil {
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

// waitWhileStalled waits while the stall fault is set.
func (s *Server) waitWhileStalled(ctx context.Context) error {
	for {
		s.mutex.Lock()
		stalled, changed := s.faults.Stalled, s.faultsChanged
		s.mutex.Unlock()
		if !stalled {
			return nil
		}
		select {
		case <-ctx.Done():
			return errCancelled
		case <-changed:
		}
	}
}

func (s *Server) prefill(ctx context.Context, req backendserver.GenerateRequest) error {
	now := time.Now()
	s.mutex.Lock()
	cached := s.cache.use(backendserver.PrefixHash(req.Prompt), now)
	s.mutex.Unlock()
	if cached {
		return nil
	}
	return sleep(ctx, time.Duration(float64(s.prefillTime)*s.hostFactor(now)))
}

// hostFactor returns the time that work takes on the engine's host at the moment, divided by the usual time.
func (s *Server) hostFactor(now time.Time) float64 {
	if s.slowdown == nil {
		return s.timeFactor
	}
	return s.timeFactor * s.slowdown(now)
}

// currentTokenTime returns the time per token, which grows with the batch.
func (s *Server) currentTokenTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tokenTimeLocked(time.Now())
}

func (s *Server) tokenTimeLocked(now time.Time) time.Duration {
	factor := s.hostFactor(now) * (1 + s.batchGrowth*float64(max(s.batch.running-1, 0)))
	if s.faults.SlowFactor > 0 {
		factor *= s.faults.SlowFactor
	}
	return time.Duration(float64(s.tokenTime) * factor)
}

// registerSample makes a generation cancellable by its sample. The returned function removes it again.
func (s *Server) registerSample(sampleID string, cancel context.CancelFunc) func() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := s.samples.add(sampleID, cancel)
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.samples.remove(sampleID, id)
	}
}

func (s *Server) leave(entry *queueEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.batch.leave(entry)
	s.recordLoadLocked()
}

func (s *Server) recordLoad() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recordLoadLocked()
}

// recordLoadLocked adds the current load to the history. The caller must hold s.mutex.
func (s *Server) recordLoadLocked() {
	now := time.Now()
	s.loadHistory.add(backendserver.EngineLoad{
		Running:    s.batch.running,
		Queued:     len(s.batch.waiting),
		Slots:      s.batch.slots,
		Version:    s.weights.version,
		Prefetched: s.weights.prefetchedVersions(),
		TokenTime:  s.tokenTimeLocked(now),
		MeasuredAt: now,
	})
}
