package engine

import (
	"bufio"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

var (
	errCut       = errors.New("stream cut by a switch")
	errCancelled = errors.New("generation cancelled")
)

// stream waits for a slot and sends the tokens that follow the resumed ones.
func (s *Server) stream(ask backendserver.GenerateRequest, ticket *ticket, w *bufio.Writer) error {
	defer s.leave(ticket)
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	defer s.register(ask.SampleID, cancel)()
	select {
	case <-ctx.Done():
		return errCancelled
	case <-ticket.started:
	}
	if err := s.prefill(ctx, ask); err != nil {
		return err
	}
	length := lengthOf(ask)
	sent := 0
	for index := len(ask.Resume); index < length; index++ {
		if err := s.token(ctx, ask, index, sent, w); err != nil {
			return err
		}
		sent++
	}
	return writeEvent(w, backendserver.Event{Done: true, Tokens: sent})
}

// token takes the time of one token, then sends it.
func (s *Server) token(ctx context.Context, ask backendserver.GenerateRequest, index, sent int, w *bufio.Writer) error {
	if err := pause(ctx, s.currentTokenTime()); err != nil {
		return errCancelled
	}
	if err := s.unstalled(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	cut := s.faults.CutAfterTokens > 0 && sent >= s.faults.CutAfterTokens
	version := s.weights.version
	s.generated++
	s.mutex.Unlock()
	if cut {
		return errCut
	}
	return writeEvent(w, backendserver.Event{Text: tokenText(ask, index), Version: version})
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
		Measured:   time.Now(),
	})
}
