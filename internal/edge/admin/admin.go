// Package admin serves the operator's view of one process: metrics, health, readiness and a dump of its state.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
)

const shutdownTime = time.Second

// Dump returns the state of one part of the process, without key material.
type Dump func() any

// Option changes a Server.
type Option func(*Server)

// WithServing makes /readyz depend on serving as well. A host that refuses every request must not be sent any, while
// other hosts would serve them.
func WithServing(serving func() bool) Option {
	return func(s *Server) { s.serving = serving }
}

// Server serves /metrics, /healthz, /readyz and /debug/state.
type Server struct {
	app     *fiber.App
	ready   atomic.Bool
	serving func() bool
	dumps   map[string]Dump
	work    conc.WaitGroup
}

// NewServer serves on l until ctx ends. dumps are shown by name under /debug/state.
func NewServer(ctx context.Context, l net.Listener, gatherer prometheus.Gatherer, dumps map[string]Dump, opts ...Option) *Server {
	s := &Server{
		app:     fiber.New(fiber.Config{Immutable: true}),
		serving: func() bool { return true },
		dumps:   dumps,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})))
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.readyz)
	s.app.Get("/debug/state", s.state)
	// An admin request still open after the time limit is cut: it changes nothing.
	callerconn.Serve(ctx, &s.work, s.app, l, shutdownTime, zerolog.Nop())
	return s
}

// SetReady says whether the balancer should send requests to this process.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Wait returns once the server has ended.
func (s *Server) Wait() { s.work.Wait() }

func (s *Server) readyz(c fiber.Ctx) error {
	switch {
	case !s.ready.Load():
		return c.Status(http.StatusServiceUnavailable).SendString("starting or leaving\n")
	case !s.serving():
		return c.Status(http.StatusServiceUnavailable).SendString("isolated: the configuration isn't confirmed\n")
	default:
		return c.SendString("ready\n")
	}
}

func (s *Server) state(c fiber.Ctx) error {
	names := make([]string, 0, len(s.dumps))
	for name := range s.dumps {
		names = append(names, name)
	}
	sort.Strings(names)
	state := make(map[string]any, len(names))
	for _, name := range names {
		state[name] = s.dumps[name]()
	}
	body, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode state")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(append(body, '\n'))
}
