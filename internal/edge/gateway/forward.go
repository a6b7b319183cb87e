package gateway

import (
	"context"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/refusal"
	"github.com/oleandershelf/oleandershelf/platform"
)

const (
	// refusedTries is how many servers are tried beyond the route's attempts while each says that it has not run the request.
	refusedTries = 3
	// hedgePart is the part of the latency objective after which a second server is asked, if the request may run twice:
	// what takes longer is one in some hundred, whose answer is lost or whose server is slow.
	hedgePart = 0.5
	// leastHedge keeps a route with a short objective from asking two servers each time.
	leastHedge = 20 * time.Millisecond
	// fullRetry is when to come back to a pool without a free place: some calls have ended by then.
	fullRetry = 60 * time.Millisecond
	// maxAnswerBytes bounds an answer that is held whole before any of it goes to the caller.
	maxAnswerBytes = 64 << 20
)

// attempt is one send of a request to a server, and what came of it.
type attempt struct {
	server backend.Server
	sent   time.Time
	answer platform.Answer
	header fasthttp.ResponseHeader
	body   []byte
	// outcome is Ran for a whole answer of the server.
	outcome verdict.Verdict
	cause   error
}

// forward sends the request to a server and returns the whole answer or a refusal.
func (g *Gateway) forward(c fiber.Ctx, a asked) error {
	ctx, cancel := context.WithDeadline(c.Context(), a.end)
	defer cancel()
	defer callerconn.Watch(c.RequestCtx().Conn(), cancel)()
	tries := &tries{gateway: g, asked: a, request: c.Request(), pool: a.pool(), tried: map[string]bool{}}
	best, err := tries.run(ctx)
	g.logForward(a, tries, best, err)
	if err != nil {
		c.Locals(logged{}, true)
		return err
	}
	g.deps.Metrics.answered(a.route.Kind, time.Since(a.arrived))
	platform.CopyAnswer(c.Response(), &best.header, best.body)
	if g.leaving.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return nil
}

// logged marks requests whose refusal stands in the log already, with what decided it.
type logged struct{}

// logForward writes the one line that says what became of a request and what decided it.
func (g *Gateway) logForward(a asked, t *tries, best *attempt, err error) {
	line := g.deps.Log.Info().Str("request", a.caller.RequestID).Str("route", a.route.Name).Str("organisation", a.organisation.Name).
		Uint64("configuration", a.table.Version).Int("sent", t.sent).Int("notRun", t.refused).Dur("took", time.Since(a.arrived))
	if best != nil {
		line = line.Str("server", best.server.ID).Int("serverStatus", best.answer.Status)
	}
	if err == nil {
		line.Msg("request answered")
		return
	}
	refused := refusal.Of(err)
	line.Stringer("verdict", refused.Verdict).Str("reason", string(refused.Reason)).Str("detail", refused.Detail).
		Dur("retryAfter", refused.RetryAfter).Int("status", platform.Status(refused)).Msg("request refused")
}

// tries are the attempts at one request.
type tries struct {
	gateway *Gateway
	asked   asked
	request *fasthttp.Request
	pool    string
	tried   map[string]bool
	// sent counts the attempts that may have run, refused those that have not.
	sent, refused int
	open          int
	results       chan *attempt
	work          conc.WaitGroup
}

// run sends the request until a server answered, it may not be sent again, or its time is over. It returns only once no
// attempt uses the request any more.
func (t *tries) run(ctx context.Context) (*attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	t.results = make(chan *attempt, t.most())
	defer t.work.Wait()
	defer cancel()
	if !t.start(ctx) {
		return nil, t.noServer(nil)
	}
	hedge := time.NewTimer(t.hedgeTime())
	defer hedge.Stop()
	var last *attempt
	for {
		select {
		case done := <-t.results:
			t.open--
			final, err := t.judge(ctx, done)
			if final || err != nil {
				return done, err
			}
			last = done
			if t.open == 0 && !t.start(ctx) {
				return t.exhausted(ctx, last)
			}
		case <-hedge.C:
			if t.mayRepeat() {
				t.start(ctx)
			}
		}
	}
}

// most is how many attempts there can be.
func (t *tries) most() int { return max(1, t.asked.route.MaxAttempts) + refusedTries + 1 }

func (t *tries) hedgeTime() time.Duration {
	if t.asked.route.Kind != routing.KindIdempotent {
		return time.Until(t.asked.end) + time.Second
	}
	return max(leastHedge, time.Duration(float64(t.asked.route.LatencyObjective)*hedgePart))
}

// mayRepeat says whether the request may be sent once more although it may have run.
func (t *tries) mayRepeat() bool {
	return t.asked.route.Kind == routing.KindIdempotent && t.sent < max(1, t.asked.route.MaxAttempts)
}

// start sends the request to another server; false if it may not or there is none.
func (t *tries) start(ctx context.Context) bool {
	if t.refused > refusedTries || t.sent > 0 && !t.mayRepeat() || ctx.Err() != nil {
		return false
	}
	server, ok := t.gateway.deps.Book.Acquire(time.Now(), backend.Need{Pool: t.pool, Avoid: t.tried})
	if !ok {
		return false
	}
	t.tried[server.ID] = true
	t.sent++
	t.open++
	// Guard: two attempts at a time would both read the caller's request, whose header can't be read side by side; a header of
	// one attempt would stand in the other. So each attempt's request is built here, one after the other.
	req := fasthttp.AcquireRequest()
	platform.FromCaller(req, t.request, platform.Hop{
		Server:       server,
		Organisation: t.asked.organisation.Name,
		Remaining:    time.Until(t.asked.end),
	})
	t.work.Go(func() {
		defer fasthttp.ReleaseRequest(req)
		t.results <- t.gateway.attempt(ctx, req, server, t.asked)
	})
	return true
}

// judge says whether an attempt ends the request.
func (t *tries) judge(ctx context.Context, done *attempt) (bool, error) {
	switch {
	case done.outcome == verdict.NotRun:
		t.sent--
		t.refused++
		return false, nil
	case done.outcome == verdict.Ran && (done.answer.Status < fasthttp.StatusInternalServerError || !t.mayRepeat()):
		return true, nil
	case ctx.Err() != nil:
		return true, t.expired(done)
	default:
		return false, nil
	}
}

// exhausted ends a request that can't be sent any more.
func (t *tries) exhausted(ctx context.Context, last *attempt) (*attempt, error) {
	switch {
	case last.outcome == verdict.Ran:
		return last, nil
	case t.sent > 0:
		return last, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerLost, 0, "server %s: %v", last.server.ID, last.cause)
	case ctx.Err() != nil:
		return last, t.expired(last)
	default:
		return last, t.noServer(last)
	}
}

func (t *tries) noServer(last *attempt) error {
	if last == nil {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, fullRetry, "pool %s has no server", t.pool)
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonOverloaded, fullRetry, "pool %s has no free place; server %s: %v", t.pool, last.server.ID, last.cause)
}

func (t *tries) expired(last *attempt) error {
	outcome := verdict.NotRun
	if t.sent > 0 {
		outcome = verdict.MayHaveRun
	}
	return verdict.Refuse(outcome, verdict.ReasonDeadlinePassed, 0, "the time is over; server %s: %v", last.server.ID, last.cause)
}

// attempt sends the request to a server once and reads the whole answer.
func (g *Gateway) attempt(ctx context.Context, req *fasthttp.Request, server backend.Server, a asked) *attempt {
	done := &attempt{server: server, sent: time.Now(), outcome: verdict.MayHaveRun}
	defer g.deps.Book.Release(server.ID)
	g.exchange(ctx, req, done, a.caller.RequestID)
	g.learn(ctx, done)
	if done.outcome != verdict.NotRun && a.organisation.Name != "" {
		g.deps.Usage.Ran(a.organisation.Name, done.sent)
	}
	if done.outcome != verdict.Ran && ctx.Err() == nil {
		g.deps.Log.Info().Str("request", a.caller.RequestID).Str("server", server.ID).Stringer("verdict", done.outcome).
			Int("status", done.answer.Status).AnErr("cause", done.cause).Dur("took", time.Since(done.sent)).Msg("attempt without answer")
	}
	return done
}

// exchange carries the request over and checks that the answer is a server's own answer to it.
func (g *Gateway) exchange(ctx context.Context, req *fasthttp.Request, done *attempt, id string) {
	stream, err := g.deps.Servers.Open(ctx, req)
	if err != nil {
		done.cause = err
		if errors.Is(err, exchange.ErrNotSent) {
			done.outcome = verdict.NotRun
		}
		return
	}
	defer func() {
		// The outcome is known by now; a failing close changes nothing about it.
		_ = stream.Close()
	}()
	done.answer = platform.ReadAnswer(stream.Header())
	if done.answer.RequestID != id {
		done.cause = errors.Errorf("the answer is for request %.40q", done.answer.RequestID)
		return
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxAnswerBytes))
	if err != nil {
		done.cause = err
		return
	}
	switch {
	case done.answer.NotRun:
		done.outcome = verdict.NotRun
		done.cause = errors.Errorf("status %d", done.answer.Status)
	case !done.answer.Signed || done.answer.Coded:
		done.cause = errors.Errorf("status %d without a server's signature", done.answer.Status)
	default:
		done.outcome = verdict.Ran
		done.body = body
		stream.Header().CopyTo(&done.header)
	}
}

// learn tells the book what an attempt showed of its server.
func (g *Gateway) learn(ctx context.Context, done *attempt) {
	book, now, id := g.deps.Book, time.Now(), done.server.ID
	if done.answer.Load >= 0 && done.answer.Status != 0 {
		book.Reported(now, id, done.answer.Load)
	}
	switch {
	case done.outcome == verdict.Ran && done.answer.Status < fasthttp.StatusInternalServerError:
		book.Served(now, id, now.Sub(done.sent))
	case done.outcome == verdict.NotRun && done.answer.Status != 0:
		book.Refused(now, id)
	case ctx.Err() != nil:
		// Nobody waits any more; it says nothing about the server.
	case done.answer.Status == 0:
		book.Unreachable(now, id)
		book.Failed(now, id)
	default:
		book.Failed(now, id)
	}
}
