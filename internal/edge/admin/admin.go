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

const (
	shutdownTimeout = time.Second
	// maxBodyBytes is far above what the operator's requests need, which have no body.
	maxBodyBytes = 4 << 10
)

// Dump returns the state of one part of the process as a value that can be encoded as JSON, without secrets.
type Dump func() any

// Option configures a Server.
type Option func(*Server)

// WithServing makes /readyz depend on serving as well, so that the load balancer sends no requests to a host that refuses
// all of them while other hosts would serve them.
func WithServing(serving func() bool) Option {
	return func(s *Server) { s.serving = serving }
}

// Server serves /metrics, /healthz, /readyz and /debug/state.
type Server struct {
	app        *fiber.App
	ready      atomic.Bool
	serving    func() bool
	dumps      map[string]Dump
	goroutines conc.WaitGroup
}

// NewServer starts a server on l that ends with ctx. /debug/state shows the dumps by name.
func NewServer(ctx context.Context, l net.Listener, gatherer prometheus.Gatherer, dumps map[string]Dump, opts ...Option) *Server {
	s := &Server{
		app:     fiber.New(fiber.Config{Immutable: true, BodyLimit: maxBodyBytes}),
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
	// A request that is still open after shutdownTimeout is aborted, which is harmless because admin requests change nothing.
	callerconn.Serve(ctx, &s.goroutines, s.app, l, shutdownTimeout, zerolog.Nop())
	return s
}

// SetReady sets whether the load balancer should send requests to this process.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Wait blocks until the server has ended.
func (s *Server) Wait() { s.goroutines.Wait() }

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
