package gateway

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/internal/edge/refusal"
	"github.com/oleandershelf/oleandershelf/platform"
)

const (
	// hedgePart is the part of the latency objective after which a second server is asked, if the request may run twice:
	// what takes longer is one in some hundred, whose answer is lost or whose server is slow.
	hedgePart = 0.5
	// leastHedge keeps a route with a short objective from asking two servers each time.
	leastHedge = 20 * time.Millisecond
)

// forward sends the request to a server and returns the whole answer or a refusal.
func (g *Gateway) forward(c fiber.Ctx, a asked) error {
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	defer callerconn.Watch(c.RequestCtx().Conn(), cancel)()
	best, tally, err := g.deps.Calls.Send(ctx, g.request(c.Request(), a))
	g.logForward(a, tally, best, err)
	if err != nil {
		c.Locals(logged{}, true)
		return err
	}
	g.deps.Metrics.answered(a.route.Kind, time.Since(a.arrived))
	platform.CopyAnswer(c.Response(), &best.Header, best.Body)
	if g.leaving.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return nil
}

// request returns a caller's request as it goes to the servers.
func (g *Gateway) request(from *fasthttp.Request, a asked) *call.Request {
	pool := a.pool()
	return &call.Request{
		ID:   a.caller.RequestID,
		Pool: func() (string, bool) { return pool, true },
		Build: func(to *fasthttp.Request, server backend.Server) {
			platform.FromCaller(to, from, platform.Hop{Server: server, Organisation: a.organisation.Name, Remaining: time.Until(a.end)})
		},
		End:         a.end,
		Repeatable:  a.route.Kind == routing.KindIdempotent,
		MaxAttempts: a.route.MaxAttempts,
		Hedge:       max(leastHedge, time.Duration(float64(a.route.LatencyObjective)*hedgePart)),
		Ran: func(sent time.Time) {
			if a.organisation.Name != "" {
				g.deps.Usage.Ran(a.organisation.Name, sent)
			}
		},
	}
}

// logged marks requests whose refusal stands in the log already, with what decided it.
type logged struct{}

// logForward writes the one line that says what became of a request and what decided it.
func (g *Gateway) logForward(a asked, tally call.Tally, best *call.Attempt, err error) {
	line := g.deps.Log.Info().Str("request", a.caller.RequestID).Str("route", a.route.Name).Str("organisation", a.organisation.Name).
		Uint64("configuration", a.table.Version).Int("sent", tally.Sent).Int("notRun", tally.NotRun).Dur("took", time.Since(a.arrived))
	if best != nil {
		line = line.Str("server", best.Server.ID).Int("serverStatus", best.Answer.Status)
	}
	if err == nil {
		line.Msg("request answered")
		return
	}
	refused := refusal.Of(err)
	line.Stringer("verdict", refused.Verdict).Str("reason", string(refused.Reason)).Str("detail", refused.Detail).
		Dur("retryAfter", refused.RetryAfter).Int("status", platform.Status(refused)).Msg("request refused")
}
