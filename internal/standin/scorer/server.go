// Package scorer is a small stand-in for a scoring service. The score of a sample depends on
// nothing but the sample, so that a repeated question has the same answer.
package scorer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/standin/web"
)

// scoreSteps is the number of different scores between 0 and 1.
const scoreSteps = 1000

// Faults are the switches of the stand-in; the zero value is a healthy service.
type Faults struct {
	// DelayMilliseconds passes before an answer.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// CutAnswers is the number of answers that are lost.
	CutAnswers int `json:"cutAnswers"`
	// Failing answers 500.
	Failing bool `json:"failing"`
}

// State is the content of the stand-in, for tests and dumps.
type State struct {
	Scored int    `json:"scored"`
	Faults Faults `json:"faults"`
}

// Server is one scoring service.
type Server struct {
	*web.Server

	mutex sync.Mutex
	state State
}

// Option changes a scoring service under construction.
type Option func(*Server)

// WithFaults sets the switches from the start.
func WithFaults(faults Faults) Option {
	return func(s *Server) { s.state.Faults = faults }
}

// New serves a scoring service on the listener until the context ends.
func New(ctx context.Context, listener net.Listener, opts ...Option) (*Server, error) {
	server := &Server{Server: web.NewServer(ctx, listener)}
	for _, opt := range opts {
		opt(server)
	}
	app := web.NewApp()
	app.Post(backendserver.PathScore, server.score)
	web.HandleFaults(app, server.currentFaults, server.SetFaults, nil)
	web.HandleState(app, server.State)
	server.Serve(app)
	return server, nil
}

// ScoreOf returns the score of a sample, between 0 and 1.
func ScoreOf(ask backendserver.ScoreRequest) float64 {
	sum := xxhash.Sum64String(ask.SampleID + "\x00" + ask.Prompt + "\x00" + ask.Text)
	return float64(sum%(scoreSteps+1)) / scoreSteps
}

// SetFaults replaces all switches.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.Faults = faults
}

func (s *Server) currentFaults() Faults {
	return s.State().Faults
}

// State returns the content of the stand-in.
func (s *Server) State() State {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state
}

func (s *Server) score(c fiber.Ctx) error {
	var asks []backendserver.ScoreRequest
	if !web.Decode(c, &asks) {
		return nil
	}
	faults, cut := s.enter(len(asks))
	timer := time.NewTimer(time.Duration(faults.DelayMilliseconds) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-s.Context().Done():
		return web.CutAnswer(c)
	case <-timer.C:
	}
	if cut {
		return web.CutAnswer(c)
	}
	if faults.Failing {
		return c.SendStatus(http.StatusInternalServerError)
	}
	scores := make([]backendserver.Score, 0, len(asks))
	for _, ask := range asks {
		scores = append(scores, backendserver.Score{SampleID: ask.SampleID, Value: ScoreOf(ask)})
	}
	return c.JSON(scores)
}

// enter counts the samples and reports whether the answer is to be lost.
func (s *Server) enter(samples int) (Faults, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.Scored += samples
	faults := s.state.Faults
	if faults.CutAnswers > 0 {
		s.state.Faults.CutAnswers--
		return faults, true
	}
	return faults, false
}
