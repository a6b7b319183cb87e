package call

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

const (
	// refusedTries is how many servers are tried beyond the request's attempts while each says that it has not run the request.
	refusedTries = 3
	// fullRetry is when to come back to a pool without a free place: some calls have ended by then.
	fullRetry = 60 * time.Millisecond
)

// tries are the attempts at one request.
type tries struct {
	Tally

	sender  *Sender
	request *Request
	tried   map[string]bool
	open    int
	results chan *Attempt
	work    conc.WaitGroup
}

// run sends the request until a server answered, it may not be sent again, or its time is over.
func (t *tries) run(ctx context.Context) (*Attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	t.results = make(chan *Attempt, t.most())
	defer t.work.Wait()
	defer cancel()
	if !t.startFirst(ctx) {
		return nil, t.noServer(nil)
	}
	hedge := time.NewTimer(t.request.Hedge)
	defer hedge.Stop()
	for {
		select {
		case done := <-t.results:
			t.open--
			final, err := t.judge(ctx, done)
			if final || err != nil {
				return done, err
			}
			if t.open == 0 && !t.start(ctx) {
				return t.exhausted(ctx, done)
			}
		case <-hedge.C:
			if t.mayRepeat() {
				t.start(ctx)
			}
		}
	}
}

// most is how many attempts there can be.
func (t *tries) most() int { return max(1, t.request.MaxAttempts) + refusedTries + 1 }

// mayRepeat says whether the request may be sent once more although it may have run.
func (t *tries) mayRepeat() bool {
	return t.request.Repeatable && t.Sent < max(1, t.request.MaxAttempts)
}

func (t *tries) startFirst(ctx context.Context) bool {
	if t.request.First == nil {
		return t.start(ctx)
	}
	t.sendTo(ctx, *t.request.First)
	return true
}

// start sends the request to another server; false if it may not or there is none.
func (t *tries) start(ctx context.Context) bool {
	if t.NotRun > refusedTries || t.Sent > 0 && !t.mayRepeat() || ctx.Err() != nil {
		return false
	}
	pool, ok := t.request.Pool()
	if !ok {
		return false
	}
	server, ok := t.sender.book.Acquire(time.Now(), backend.Requirements{Pool: pool, Exclude: t.tried})
	if !ok {
		return false
	}
	t.sendTo(ctx, server)
	return true
}

// sendTo sends the request to a server that counts it already.
//
// Attempts at a time would read the same request side by side, so each one's is built here, one after the other.
func (t *tries) sendTo(ctx context.Context, server backend.Server) {
	t.tried[server.ID] = true
	t.Sent++
	t.open++
	req := fasthttp.AcquireRequest()
	t.request.Build(req, server)
	t.work.Go(func() {
		defer fasthttp.ReleaseRequest(req)
		t.results <- t.sender.attempt(ctx, req, server, t.request)
	})
}

// judge says whether an attempt ends the request.
func (t *tries) judge(ctx context.Context, done *Attempt) (bool, error) {
	if done.Outcome == verdict.Ran && done.Answer.Status == fasthttp.StatusInternalServerError {
		t.Failed++
	}
	switch {
	case done.Outcome == verdict.NotRun:
		t.Sent--
		t.NotRun++
		return false, nil
	case done.Outcome == verdict.Ran && (done.Answer.Status < fasthttp.StatusInternalServerError || !t.mayRepeat()):
		return true, nil
	case ctx.Err() != nil:
		return true, t.expired(done)
	default:
		return false, nil
	}
}

// exhausted ends a request that can't be sent any more.
func (t *tries) exhausted(ctx context.Context, last *Attempt) (*Attempt, error) {
	switch {
	case last.Outcome == verdict.Ran:
		return last, nil
	case t.Sent > 0:
		return last, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerLost, 0, "server %s: %v", last.Server.ID, last.Cause)
	case ctx.Err() != nil:
		return last, t.expired(last)
	default:
		return last, t.noServer(last)
	}
}

func (t *tries) noServer(last *Attempt) error {
	pool, ok := t.request.Pool()
	switch {
	case !ok:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, fullRetry, "request %s has no route", t.request.ID)
	case last == nil:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, fullRetry, "pool %s has no server", pool)
	default:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonOverloaded, fullRetry, "pool %s has no free place; server %s: %v", pool, last.Server.ID, last.Cause)
	}
}

func (t *tries) expired(last *Attempt) error {
	outcome := verdict.NotRun
	if t.Sent > 0 {
		outcome = verdict.MayHaveRun
	}
	return verdict.Refuse(outcome, verdict.ReasonDeadlinePassed, 0, "the time is over; server %s: %v", last.Server.ID, last.Cause)
}
