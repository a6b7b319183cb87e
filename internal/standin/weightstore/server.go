// Package weightstore is a small stand-in for the rate-limited weight store.
package weightstore

import (
	"bytes"
	"context"
	"maps"
	"net"
	"net/http"
	"net/url"
	"sync"

	"github.com/gofiber/fiber/v3"
	"golang.org/x/time/rate"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/standin/web"
)

// Defaults of a weight store.
const (
	DefaultWeightBytes       = 64 << 10
	DefaultRequestsPerSecond = 20
)

// Faults are the injected faults; the zero value is a healthy store.
type Faults struct {
	// Outage refuses every read.
	Outage bool `json:"outage"`
	// CutAnswers is the number of reads whose connection is cut.
	CutAnswers int `json:"cutAnswers"`
}

// State is a snapshot of the store for tests and debugging.
type State struct {
	// Served counts the successful reads by weights name, Limited the refused ones.
	Served  map[string]int `json:"served"`
	Limited int            `json:"limited"`
	Faults  Faults         `json:"faults"`
}

// Server is one weight store.
type Server struct {
	*web.Server
	web.FaultInjector[Faults]
	limiter *rate.Limiter
	size    int

	mutex   sync.Mutex
	served  map[string]int
	limited int
}

// Option configures a weight store.
type Option func(*Server)

// WithRate sets the number of reads per second, which is also the burst size.
func WithRate(requestsPerSecond int) Option {
	return func(s *Server) {
		s.limiter = rate.NewLimiter(rate.Limit(requestsPerSecond), requestsPerSecond)
	}
}

// WithWeightBytes sets the size of all weights.
func WithWeightBytes(size int) Option {
	return func(s *Server) { s.size = size }
}

// New serves a weight store on the listener until ctx ends.
func New(ctx context.Context, listener net.Listener, opts ...Option) (*Server, error) {
	server := &Server{
		Server:  web.NewServer(ctx, listener),
		limiter: rate.NewLimiter(DefaultRequestsPerSecond, DefaultRequestsPerSecond),
		size:    DefaultWeightBytes,
		served:  make(map[string]int),
	}
	for _, opt := range opts {
		opt(server)
	}
	app := web.NewApp()
	app.Get(backendserver.PathWeights+"/*", server.read)
	web.HandleFaults(app, server.CurrentFaults, server.SetFaults, nil)
	web.HandleState(app, server.State)
	server.Serve(app)
	return server, nil
}

// State returns a snapshot of the store.
func (s *Server) State() State {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return State{Served: maps.Clone(s.served), Limited: s.limited, Faults: s.CurrentFaults()}
}

func (s *Server) read(c fiber.Ctx) error {
	name, err := url.PathUnescape(c.Params("*"))
	if err != nil {
		return c.SendStatus(http.StatusBadRequest)
	}
	switch s.admit(name) {
	case admitted:
		return c.Send(bytes.Repeat([]byte{'w'}, s.size))
	case cut:
		return web.CutAnswer(c)
	default:
		c.Set(fiber.HeaderRetryAfter, "1")
		return c.SendStatus(http.StatusTooManyRequests)
	}
}

// admission is the outcome of a read.
type admission int

const (
	admitted admission = iota
	cut
	refused
)

func (s *Server) admit(name string) admission {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.CurrentFaults().Outage || !s.limiter.Allow() {
		s.limited++
		return refused
	}
	if s.Consume(func(f *Faults) *int { return &f.CutAnswers }) {
		return cut
	}
	s.served[name]++
	return admitted
}
