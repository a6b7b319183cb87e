// Package scorer is a small stand-in for a scoring service. The score of a sample is a hash of the request, so that a repeated
// request gets the same score.
package scorer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/standin/web"
)

// scoreSteps is the number of steps between the scores 0 and 1.
const scoreSteps = 1000

// Faults are the injected faults; the zero value is a healthy service.
type Faults struct {
	// DelayMilliseconds delays each response.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// CutAnswers is the number of calls whose connection is cut instead of a response.
	CutAnswers int `json:"cutAnswers"`
	// Failing responds with status 500.
	Failing bool `json:"failing"`
}

// State is a snapshot of the service for tests and debugging.
type State struct {
	Scored int    `json:"scored"`
	Faults Faults `json:"faults"`
}

// Server is one scoring service.
type Server struct {
	*web.Server
	web.FaultInjector[Faults]

	scored atomic.Int64
}

// New serves a scoring service on the listener until ctx ends.
func New(ctx context.Context, listener net.Listener) (*Server, error) {
	server := &Server{Server: web.NewServer(ctx, listener)}
	app := web.NewApp()
	app.Post(backendserver.PathScore, server.score)
	web.HandleFaults(app, server.CurrentFaults, server.SetFaults, nil)
	web.HandleState(app, server.State)
	server.Serve(app)
	return server, nil
}

// ScoreOf returns the score of a sample, between 0 and 1.
func ScoreOf(request backendserver.ScoreRequest) float64 {
	sum := xxhash.Sum64String(request.SampleID + "\x00" + request.Prompt + "\x00" + request.Text)
	return float64(sum%(scoreSteps+1)) / scoreSteps
}

// State returns a snapshot of the service.
func (s *Server) State() State {
	return State{Scored: int(s.scored.Load()), Faults: s.CurrentFaults()}
}

func (s *Server) score(c fiber.Ctx) error {
	var requests []backendserver.ScoreRequest
	if !web.Decode(c, &requests) {
		return nil
	}
	s.scored.Add(int64(len(requests)))
	faults := s.CurrentFaults()
	cut := s.Consume(func(f *Faults) *int { return &f.CutAnswers })
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
	scores := make([]backendserver.Score, 0, len(requests))
	for _, request := range requests {
		scores = append(scores, backendserver.Score{SampleID: request.SampleID, Value: ScoreOf(request)})
	}
	return c.JSON(scores)
}
