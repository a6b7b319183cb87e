// Package gateway serves the HTTP requests of callers and trainers in a gateway process, which calls the backend servers itself. It finds
// the route and the organisation of a request, sends it to a backend server, and passes on the answer, or a refusal that says whether the
// request may have run.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/admission"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/batchjob"
	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/internal/edge/refusal"
	"github.com/oleandershelf/oleandershelf/internal/edge/view"
	"github.com/oleandershelf/oleandershelf/platform"
)

const (
	// readTimeout bounds the time to read a request. A request that stays incomplete occupies its connection for as long.
	readTimeout = 15 * time.Second
	// idleTimeout is how long an idle connection is kept open. It is above the operators' limit, so that a caller never sends
	// a request on a connection that the gateway is closing.
	idleTimeout = time.Minute
	// noConfigurationRetryAfter is how long a caller should wait before it retries at a host that has received no configuration yet.
	noConfigurationRetryAfter = 300 * time.Millisecond
	// shutdownTimeout is how long the gateway waits for open connections after its context has ended.
	shutdownTimeout = time.Second
)

// Usage counts the requests that are charged to organisations.
type Usage interface {
	// CountRequest counts one request of the organisation that was sent to a backend server at the time and ran or may have run.
	CountRequest(organisation string, at time.Time)
}

// Deps are the dependencies of a gateway.
type Deps struct {
	View    *view.View
	Calls   *call.Sender
	Jobs    *batchjob.Manager
	Usage   Usage
	Metrics *Metrics
	Log     zerolog.Logger
}

// Gateway is the HTTP server for callers and trainers of one gateway process.
type Gateway struct {
	deps Deps
	app  *fiber.App
	wg   conc.WaitGroup
	// account has the callers' connections.
	account *callerconn.Account
	// bodyLimit is the maximum length of a body in bytes.
	bodyLimit int
	// running counts the requests that are being served.
	running atomic.Int64
	// stop is set once callers are to open their next connection at another host.
	stop atomic.Pointer[admission.PlannedStop]
	// ending ends with the cause call.ErrLeaving when the requests that are being served get their final answer.
	ending     context.Context //nolint:containedctx // it belongs to the process, not to a call
	endRunning context.CancelCauseFunc
}

// New returns a gateway that serves the callers of an account on l until ctx ends.
func New(ctx context.Context, l net.Listener, account *callerconn.Account, bodyLimitBytes int, deps Deps) *Gateway {
	g := &Gateway{deps: deps, account: account, bodyLimit: bodyLimitBytes}
	g.ending, g.endRunning = context.WithCancelCause(ctx)
	g.app = fiber.New(fiber.Config{
		// Without copies, the library would overwrite a string that is used after its handler with another caller's request.
		Immutable:      true,
		BodyLimit:      bodyLimitBytes,
		ReadBufferSize: callerconn.MaxHeaderBytes,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		ErrorHandler:   g.handleError,
		// A form is forwarded byte for byte. The library would parse it, and write its fields in another order.
		DisablePreParseMultipartForm: true,
		// The handler begins once the head has been read, and reads the body under the account.
		StreamRequestBody: true,
		ReduceMemoryUsage: true,
	})
	g.app.Use(g.serve)
	g.app.Server().ErrorHandler = g.refuseUnread
	g.app.Server().NoDefaultContentType = true
	g.app.Server().NoDefaultServerHeader = true
	g.app.Server().NoDefaultDate = true
	callerconn.Serve(ctx, &g.wg, g.app, callerconn.NewListener(l, account, deps.Log), shutdownTimeout, deps.Log)
	return g
}

// callerRequest is what the gateway knows about one request of a caller.
type callerRequest struct {
	caller platform.CallerHeaders
	// table is the routing table of the configuration that applied when the request arrived.
	table *routing.Table
	route routing.Route
	// organisation is the zero value if the route needs no key.
	organisation routing.Organisation
	arrived      time.Time
	// deadline is when the answer must have been sent.
	deadline time.Time
	body     *callerconn.Body
}

// serve answers one request of any kind.
func (g *Gateway) serve(c fiber.Ctx) error {
	g.running.Add(1)
	defer g.running.Add(-1)
	g.closeIfNeeded(c)
	r := callerRequest{caller: platform.ReadCallerHeaders(&c.Request().Header), arrived: time.Now()}
	snapshot := g.deps.View.Snapshot()
	if !snapshot.Complete() {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonIsolated, noConfigurationRetryAfter,
			"the configuration, the servers or the evacuated zones are not known here yet")
	}
	r.table = snapshot.Table
	path := string(c.Request().URI().PathOriginal())
	if call, ok := platform.ReadBatchCall(c.Method(), path, c.Request().URI().QueryArgs()); ok {
		r.deadline = r.arrived.Add(batchCallTime + min(r.caller.Wait, maxReadWait))
		if err := g.refuseIfStopping(r); err != nil {
			return err
		}
		callerconn.Serving(c.RequestCtx().Conn())
		return g.handleBatchCall(c, r, call)
	}
	route, ok := r.table.Match(string(c.Request().Host()), path)
	if !ok {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, 0, "no route")
	}
	r.route = route
	if r.table.NeedsKey(route) {
		if r.organisation, ok = r.table.Organisation(r.caller.Key); !ok {
			return unknownKeyRefusal()
		}
	}
	r.deadline = r.arrived.Add(r.timeout())
	if route.Kind == routing.KindBatch && c.Method() != fiber.MethodPost {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "batch jobs are submitted by POST")
	}
	if err := g.refuseIfStopping(r); err != nil {
		return err
	}
	if err := g.readBody(c, &r); err != nil {
		return err
	}
	if err := g.refuseIfStopping(r); err != nil {
		return err
	}
	if route.Kind == routing.KindBatch {
		return g.submitJob(c, r)
	}
	return g.forward(c, r)
}

// closeIfNeeded makes the answer close the connection if the host is leaving, or the connection would keep too much for its next request.
func (g *Gateway) closeIfNeeded(c fiber.Ctx) {
	if g.stop.Load() != nil || callerconn.HoldsLargeHead(c.RequestCtx().Conn()) {
		c.Set(fiber.HeaderConnection, "close")
	}
}

// readBody reads the body of a request.
func (g *Gateway) readBody(c fiber.Ctx, r *callerRequest) error {
	body, err := callerconn.ReadBody(c.Request(), g.bodyLimit)
	switch {
	case errors.Is(err, callerconn.ErrBodyTooLarge):
		return verdict.Refuse(verdict.NotRun, verdict.ReasonTooLarge, 0, "%v", err)
	case err != nil:
		return unreadError(c.RequestCtx(), err)
	}
	callerconn.Serving(c.RequestCtx().Conn())
	r.body = body
	return nil
}

// unreadError returns the refusal of a request that could not be read.
func unreadError(ctx *fasthttp.RequestCtx, err error) error {
	if callerconn.Yields(ctx.Conn()) {
		return callerconn.YieldRefusal()
	}
	var timeout net.Error
	var headTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &headTooLarge):
		return fiber.ErrRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return fiber.ErrRequestTimeout
	default:
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
}

// refuseUnread answers a request that the HTTP library could not read.
func (g *Gateway) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	c := g.app.AcquireCtx(ctx)
	defer g.app.ReleaseCtx(c)
	// The refusal can't fail to be encoded.
	_ = g.handleError(c, unreadError(ctx, err))
}

// timeout returns how long the request may take: the shorter of the time for which the caller will wait and the route's timeout.
func (r callerRequest) timeout() time.Duration {
	timeout := r.route.Timeout
	if r.caller.Remaining > 0 && (timeout <= 0 || r.caller.Remaining < timeout) {
		timeout = r.caller.Remaining
	}
	if timeout <= 0 {
		return defaultTimeout
	}
	return timeout
}

// defaultTimeout applies if the route has no timeout and the caller doesn't say how long it will wait.
const defaultTimeout = time.Minute

// regions returns the regions in which the request may run; nil allows all.
func (r callerRequest) regions() []string {
	return routing.CommonRegions(r.route.Regions, r.organisation.Regions)
}

// choosePool returns one of the route's pools, at random by their weights.
func (r callerRequest) choosePool() string { return r.route.Pool(rand.Float64()) }

func unknownKeyRefusal() error {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonUnknownKey, 0, "the key is not known")
}

// handleError answers a request whose handler returned an error. Every error is answered as a refusal that says whether the request may
// have run.
func (g *Gateway) handleError(c fiber.Ctx, err error) error {
	refused := refusal.FromError(err)
	callerconn.Linger(c.RequestCtx().Conn())
	status := platform.RefusalStatus(refused)
	if logged, ok := c.Locals(refusalLogged{}).(bool); !ok || !logged {
		g.logRefusal(c, refused, status)
	}
	g.deps.Metrics.countRefusal(refused)
	platform.EchoRequestID(&c.Response().Header, platform.ReadCallerHeaders(&c.Request().Header).RequestID)
	platform.SetRetryAfter(&c.Response().Header, refused.RetryAfter)
	return c.Status(status).JSON(refused)
}

// logRefusal logs a refusal that logOutcome has not logged, because the request was not forwarded to a backend server.
func (g *Gateway) logRefusal(c fiber.Ctx, refusal *verdict.Refusal, status int) {
	line := g.deps.Log.Info()
	if table := g.deps.View.Snapshot().Table; table != nil {
		line = line.Uint64("configuration", table.Version)
	}
	line.Str("method", c.Method()).Str("path", string(c.Request().URI().PathOriginal())).
		Str("request", platform.ReadCallerHeaders(&c.Request().Header).RequestID).Int("status", status).
		Stringer("verdict", refusal.Verdict).Str("reason", string(refusal.Reason)).Str("detail", refusal.Detail).
		Dur("retryAfter", refusal.RetryAfter).Msg("request refused")
}

// Wait returns once all goroutines have ended, which happens after the context has ended.
func (g *Gateway) Wait() { g.wg.Wait() }

// State is what /debug/state shows of a gateway.
type State struct {
	// Running is the number of requests that are being served.
	Running int64 `json:"running"`
	Leaving bool  `json:"leaving"`
}

// State returns the gateway's State.
func (g *Gateway) State() any { return State{Running: g.running.Load(), Leaving: g.stop.Load() != nil} }
