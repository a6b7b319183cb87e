// Package scorer is a small stand-in for a scoring service. The score of a sample depends on
// nothing but the sample, so that a repeated question has the same answer.
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
	web.Switches[Faults]

	scored atomic.Int64
}

// New serves a scoring service on the listener until the context ends.
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
func ScoreOf(ask backendserver.ScoreRequest) float64 {
	sum := xxhash.Sum64String(ask.SampleID + "\x00" + ask.Prompt + "\x00" + ask.Text)
	return float64(sum%(scoreSteps+1)) / scoreSteps
}

// State returns the content of the stand-in.
func (s *Server) State() State {
	return State{Scored: int(s.scored.Load()), Faults: s.CurrentFaults()}
}

func (s *Server) score(c fiber.Ctx) error {
	var asks []backendserver.ScoreRequest
	if !web.Decode(c, &asks) {
		return nil
	}
	s.scored.Add(int64(len(asks)))
	faults := s.CurrentFaults()
	cut := s.Spend(func(f *Faults) *int { return &f.CutAnswers })
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
