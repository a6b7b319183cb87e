// Package gateway serves callers and trainers of pools that the entry calls directly: it finds the route and the organisation,
// sends the request to a backend server, and tells the truth about what became of it.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/batchjob"
	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/internal/edge/refusal"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/internal/edge/view"
	"github.com/oleandershelf/oleandershelf/platform"
)

const (
	// headerBytes bounds the header of a request; the operators' limit is 16 KiB, and a request line comes on top.
	headerBytes = 20 << 10
	// readTimeout bounds the time in which a request comes. Half a request holds its connection for as long.
	readTimeout = 15 * time.Second
	// idleTimeout is how long an idle connection is kept: above the operators' limit, so that a caller never meets a
	// connection that is being closed.
	idleTimeout = time.Minute
	// unknownRetry is when to come back to a host that knows no configuration yet.
	unknownRetry = 300 * time.Millisecond
	// keepAliveGrace is how long connections may stay open at the end of the process.
	keepAliveGrace = time.Second
	// drainPoll is how often a drain looks for running requests.
	drainPoll = 20 * time.Millisecond
)

// Usage counts requests that began to run.
type Usage interface {
	// Ran counts one request of the organisation that began to run at the time.
	Ran(organisation string, at time.Time)
}

// Deps is what a gateway stands on.
type Deps struct {
	View    *view.View
	Calls   *call.Sender
	Jobs    *batchjob.Manager
	Usage   Usage
	Metrics *Metrics
	Log     zerolog.Logger
}

// Gateway is the callers' HTTP side of one entry.
type Gateway struct {
	deps    Deps
	app     *fiber.App
	work    conc.WaitGroup
	running atomic.Int64
	leaving atomic.Bool
}

// New returns a gateway that serves on l until ctx ends.
func New(ctx context.Context, l net.Listener, bodyLimitBytes int, deps Deps) *Gateway {
	g := &Gateway{deps: deps}
	g.app = fiber.New(fiber.Config{
		// Without copies, a string kept past its handler would become part of another caller's request.
		Immutable:      true,
		BodyLimit:      bodyLimitBytes,
		ReadBufferSize: headerBytes,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		ErrorHandler:   g.onError,
	})
	g.app.Use(g.serve)
	g.app.Server().NoDefaultContentType = true
	g.app.Server().NoDefaultServerHeader = true
	g.app.Server().NoDefaultDate = true
	callerconn.Serve(ctx, &g.work, g.app, callerconn.Listener{Listener: l}, keepAliveGrace, deps.Log)
	return g
}

// asked is one request of a caller with what is known of it.
type asked struct {
	caller       platform.Caller
	table        *routing.Table
	route        routing.Route
	organisation routing.Organisation
	arrived      time.Time
	// end is when the answer must be out.
	end time.Time
}

// serve answers one request of any kind.
func (g *Gateway) serve(c fiber.Ctx) error {
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.leaving.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	a := asked{caller: platform.ReadCaller(&c.Request().Header), arrived: time.Now()}
	if a.table = g.deps.View.Now().Table; a.table == nil {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonIsolated, unknownRetry, "no configuration is known here yet")
	}
	path := string(c.Request().URI().PathOriginal())
	if call, ok := platform.ReadBatchCall(c.Method(), path, c.Request().URI().QueryArgs()); ok {
		return g.batch(c, a, call)
	}
	route, ok := a.table.Match(string(c.Request().Host()), path)
	if !ok {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, 0, "no route")
	}
	a.route = route
	if a.table.NeedsKey(route) {
		if a.organisation, ok = a.table.Organisation(a.caller.Key); !ok {
			return unknownKey()
		}
	}
	a.end = a.arrived.Add(a.allowed())
	if route.Kind == routing.KindBatch {
		return g.submit(c, a)
	}
	return g.forward(c, a)
}

// allowed is the time that a request may take: the caller's patience, or the route's timeout where that is shorter.
func (a asked) allowed() time.Duration {
	allowed := a.route.Timeout
	if a.caller.Remaining > 0 && (allowed <= 0 || a.caller.Remaining < allowed) {
		allowed = a.caller.Remaining
	}
	if allowed <= 0 {
		return defaultTimeout
	}
	return allowed
}

// defaultTimeout bounds requests of a route without a timeout whose caller doesn't say how long it waits.
const defaultTimeout = time.Minute

func (a asked) pool() string { return a.route.Pool(rand.Float64()) }

func unknownKey() error {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonUnknownKey, 0, "the key is not known")
}

// onError turns every error of a handler into a refusal with its verdict.
func (g *Gateway) onError(c fiber.Ctx, err error) error {
	refused := refusal.Of(err)
	if refused.Reason == verdict.ReasonTooLarge {
		callerconn.Linger(c.RequestCtx().Conn())
	}
	status := platform.Status(refused)
	if known, ok := c.Locals(logged{}).(bool); !ok || !known {
		g.logRefusal(c, refused, status)
	}
	g.deps.Metrics.refused(refused)
	platform.EchoRequestID(&c.Response().Header, platform.ReadCaller(&c.Request().Header).RequestID)
	platform.SetRetryAfter(&c.Response().Header, refused.RetryAfter)
	return c.Status(status).JSON(refused)
}

// logRefusal writes the line of a request that was refused before it was sent anywhere.
func (g *Gateway) logRefusal(c fiber.Ctx, refusal *verdict.Refusal, status int) {
	line := g.deps.Log.Info()
	if table := g.deps.View.Now().Table; table != nil {
		line = line.Uint64("configuration", table.Version)
	}
	line.Str("method", c.Method()).Str("path", string(c.Request().URI().PathOriginal())).
		Str("request", platform.ReadCaller(&c.Request().Header).RequestID).Int("status", status).
		Stringer("verdict", refusal.Verdict).Str("reason", string(refusal.Reason)).Str("detail", refusal.Detail).
		Dur("retryAfter", refusal.RetryAfter).Msg("request refused")
}

// Leave tells callers from now on to open their next connection elsewhere.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Drain closes the listener and waits for running requests, up to ctx.
func (g *Gateway) Drain(ctx context.Context) error {
	err := g.app.ShutdownWithContext(ctx)
	for g.running.Load() > 0 && ctx.Err() == nil {
		ticker.Sleep(ctx, drainPoll)
	}
	return err
}

// Wait returns once all goroutines have ended, after the context has.
func (g *Gateway) Wait() { g.work.Wait() }

// State is the dump of a gateway.
type State struct {
	Running int64 `json:"running"`
	Leaving bool  `json:"leaving"`
}

// State returns the dump.
func (g *Gateway) State() any { return State{Running: g.running.Load(), Leaving: g.leaving.Load()} }
