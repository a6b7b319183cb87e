package gateway

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/refusal"
	"github.com/oleandershelf/oleandershelf/platform"
)

const (
	// hedgeFraction is the fraction of the route's latency objective after which an idempotent request is also sent to a second
	// server. One request in a few hundred takes longer than that, because its answer was lost or its server is slow.
	hedgeFraction = 0.5
	// minHedgeDelay keeps routes with a short latency objective from sending every request to two servers.
	minHedgeDelay = 20 * time.Millisecond
)

// forward sends the request to a backend server and passes on its answer: once all of it has arrived, or a large one as it arrives. The error is
// a refusal.
func (g *Gateway) forward(c fiber.Ctx, r callerRequest) error {
	ctx, cancel := context.WithCancelCause(c.Context())
	conn := c.RequestCtx().Conn()
	stopWatching := callerconn.CancelOnHangup(conn, func() { cancel(nil) })
	stopEnding := context.AfterFunc(g.ending, func() { cancel(context.Cause(g.ending)) })
	end := sync.OnceFunc(func() {
		stopWatching()
		stopEnding()
		cancel(nil)
	})
	passed := false
	defer func() {
		if !passed {
			end()
		}
	}()
	final, tally, err := g.deps.Calls.Send(ctx, g.serverRequest(c.Request(), r))
	g.logOutcome(r, tally, final, err)
	if err != nil {
		c.Locals(refusalLogged{}, true)
		return err
	}
	g.deps.Metrics.observeLatency(r.route.Kind, time.Since(r.arrived))
	platform.CopyAnswerHeader(c.Response(), &final.Header)
	if passed = final.Passed != nil; passed {
		// No other answer can take the place of one that has begun.
		stopEnding()
		g.running.Add(1)
		c.Response().SetBodyStream(newPassedStream(ctx, conn, final.Passed, r.deadline, func() {
			end()
			g.running.Add(-1)
		}), final.Passed.Len())
	} else {
		setBody(c.Response(), conn, final.Body)
	}
	g.closeIfNeeded(c)
	return nil
}

// setBody sets the body of a caller's answer, and releases it once it is no longer needed.
func setBody(to *fasthttp.Response, conn net.Conn, body *exchange.Body) {
	if content, ok := body.Bytes(); ok {
		to.SetBodyRaw(content)
		body.Release()
		return
	}
	to.SetBodyStream(bufferedStream{ReadCloser: body.Reader(), conn: conn}, body.Len())
}

// writeTimeout is how long a caller may accept nothing of an answer that is held in memory. After that its connection is closed.
const writeTimeout = 5 * time.Second

// bufferedStream is the body of an answer that is held in memory until it has been written to the caller. Callers that don't read would else
// keep the memory for the answers to all others.
type bufferedStream struct {
	io.ReadCloser
	conn net.Conn
}

// Read is called whenever the part read before has been written.
func (s bufferedStream) Read(data []byte) (int, error) {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return s.ReadCloser.Read(data)
}

// Close releases the memory.
func (s bufferedStream) Close() error {
	// The next answer on the connection has its own deadline.
	_ = s.conn.SetWriteDeadline(time.Time{})
	return s.ReadCloser.Close()
}

// serverRequest returns the caller's request in the form in which it is sent to backend servers.
func (g *Gateway) serverRequest(from *fasthttp.Request, r callerRequest) *call.Request {
	pool := r.choosePool()
	return &call.Request{
		ID:        r.caller.RequestID,
		RepeatKey: r.organisation.Name + " " + r.caller.RequestID,
		Pool:      func() (string, bool) { return pool, true },
		Build: func(to *fasthttp.Request, server backend.Server) {
			hop := platform.Hop{Server: server, Organisation: r.organisation.Name, Remaining: time.Until(r.deadline)}
			platform.BuildForwardedRequest(to, from, r.body, hop)
		},
		Regions:     r.regions(),
		Deadline:    r.deadline,
		Idempotent:  r.route.Kind == routing.KindIdempotent,
		MaxAttempts: r.route.MaxAttempts,
		PassOn:      true,
		HedgeDelay:  max(minHedgeDelay, time.Duration(float64(r.route.LatencyObjective)*hedgeFraction)),
		OnRun: func(sent time.Time) {
			if r.organisation.Name != "" {
				g.deps.Usage.CountRequest(r.organisation.Name, sent)
			}
		},
	}
}

// refusalLogged is the key of a request's local value that says that logOutcome has logged its refusal.
type refusalLogged struct{}

// logOutcome writes the one line that says how a request ended, and the route, the configuration and the attempts that led to it.
func (g *Gateway) logOutcome(r callerRequest, tally call.Tally, final *call.Attempt, err error) {
	line := g.deps.Log.Info().Str("request", r.caller.RequestID).Str("route", r.route.Name).Str("organisation", r.organisation.Name).
		Uint64("configuration", r.table.Version).Int("sent", tally.Sent).Int("notRun", tally.NotRun).Dur("took", time.Since(r.arrived))
	if final != nil {
		line = line.Str("server", final.Server.ID).Int("serverStatus", final.Answer.Status)
	}
	if err == nil {
		line.Msg("request answered")
		return
	}
	refused := refusal.FromError(err)
	line.Stringer("verdict", refused.Verdict).Str("reason", string(refused.Reason)).Str("detail", refused.Detail).
		Dur("retryAfter", refused.RetryAfter).Int("status", platform.RefusalStatus(refused)).Msg("request refused")
}
