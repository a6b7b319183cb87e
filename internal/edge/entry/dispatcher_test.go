package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// newLostAnswerAgent returns an agent that receives calls but whose answers are lost, as if the connection were cut.
// It reports v as the outcome.
func newLostAnswerAgent(v verdict.Verdict) *fakeAgent {
	return &fakeAgent{
		execute: func(context.Context, request.Execute, peer.Sink) (request.AnswerEnd, error) {
			return request.AnswerEnd{}, errLostAnswer
		},
		settle: func(request.Settle) request.Settled { return request.Settled{Verdict: v} },
	}
}

// errLostAnswer is the refusal of a call whose answer was lost, which may have run.
var errLostAnswer = verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerLost, 0, "lost")

// A charge is sent, and the connection to the agent is lost before the answer, so that the charge may have run.
// Running it at another server as well would bill the customer twice. No other server may be tried, and the
// caller must receive MayHaveRun.
func TestCallInDoubtIsNeverRunAgain(t *testing.T) {
	for _, test := range []struct {
		name, method, path string
		wantRuns           int
		wantVerdict        verdict.Verdict
	}{
		{"not idempotent", http.MethodPost, "/v1/services/billdesk/charge", 1, verdict.MayHaveRun},
		{"idempotent method", http.MethodGet, "/v1/services/billdesk/charge", 2, verdict.MayHaveRun},
		{"idempotent path of the pool", http.MethodPost, "/v1/services/billdesk/search/x", 2, verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			first, second := newLostAnswerAgent(verdict.MayHaveRun), newLostAnswerAgent(verdict.MayHaveRun)
			f := newFixture(t, first, second)
			have := f.send(test.method, test.path, "x")
			if have.verdict != test.wantVerdict || runs(first, second) != test.wantRuns {
				t.Errorf("have %d runs and %+v", runs(first, second), have)
			}
		})
	}
}

// One agent refuses before it starts the call, as a leaving agent does; another is free. The caller must get the
// complete answer from the other agent, and the call must have run there once.
func TestNotRunIsRetriedElsewhere(t *testing.T) {
	leaving := &fakeAgent{execute: func(context.Context, request.Execute, peer.Sink) (request.AnswerEnd, error) {
		return request.AnswerEnd{}, verdict.Refuse(verdict.NotRun, verdict.ReasonLeaving, 0, "leaving")
	}}
	ready := &fakeAgent{}
	f := newFixture(t, leaving, ready)
	have := f.send(http.MethodPost, "/v1/services/billdesk/charge", "once")
	if have.status != http.StatusOK || have.body != "once" || runs(ready) != 1 {
		t.Errorf("have %d runs and %+v", runs(ready), have)
	}
}

// Most servers of a pool are replaced and leave at the same time, before the platform's host list says so. A call was
// refused for lack of a server, since the few that were probed were all leaving, although another had room.
func TestCallFindsAServerThatIsNotLeaving(t *testing.T) {
	for range 5 {
		ready := &fakeAgent{}
		agents := []*fakeAgent{ready}
		for range 8 {
			agents = append(agents, &fakeAgent{leaving: true})
		}
		f := newFixture(t, agents...)
		if have := f.send(http.MethodPost, "/v1/services/billdesk/charge", "once"); have.status != http.StatusOK || runs(agents...) != 1 {
			t.Errorf("%d runs and %+v", runs(agents...), have)
		}
	}
}

// An agent sends half of an answer with status 200 and then fails. A caller that received the half with status 200
// would take it for the complete answer. It must get a refusal that says that the call may have run.
func TestHalfAnswerIsNotPassedOn(t *testing.T) {
	half := &fakeAgent{
		execute: func(_ context.Context, _ request.Execute, out peer.Sink) (request.AnswerEnd, error) {
			if err := out.Head(request.AnswerHead{Status: http.StatusOK}); err != nil {
				return request.AnswerEnd{}, err
			}
			if _, err := out.Write([]byte("half of")); err != nil {
				return request.AnswerEnd{}, err
			}
			return request.AnswerEnd{}, errLostAnswer
		},
		settle: func(request.Settle) request.Settled { return request.Settled{Verdict: verdict.MayHaveRun} },
	}
	f := newFixture(t, half)
	have := f.send(http.MethodPost, "/v1/services/billdesk/charge", "x")
	if have.status != http.StatusBadGateway || have.verdict != verdict.MayHaveRun {
		t.Errorf("have %+v", have)
	}
}

// A host is cut off from the platform and the relays while a key is withdrawn elsewhere. Its view still contains the
// key, so that it would run requests for a caller whose access was revoked minutes ago.
func TestIsolatedHostRefuses(t *testing.T) {
	ready := &fakeAgent{}
	f := newFixture(t, ready)
	f.views.mu.Lock()
	f.views.stale = true
	f.views.mu.Unlock()
	have := f.send(http.MethodGet, "/v1/services/billdesk/x", "")
	if have.verdict != verdict.NotRun || have.reason != verdict.ReasonIsolated || runs(ready) != 0 {
		t.Errorf("have %d runs and %+v", runs(ready), have)
	}
}

// newIsolatedAgent returns an agent that refuses the given number of requests as isolated and then echoes.
func newIsolatedAgent(times int) *fakeAgent {
	var refused atomic.Int64
	return &fakeAgent{execute: func(ctx context.Context, req request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		if refused.Add(1) <= int64(times) {
			return request.AnswerEnd{}, verdict.Refuse(verdict.NotRun, verdict.ReasonIsolated, 0, "not confirmed")
		}
		return echo(ctx, req, out)
	}}
}

// The platform goes down, and for a moment the only agent can't tell this from being cut off itself. A call was
// refused with 503 although the backend server was idle and the agent accepted requests again half a second later. An
// agent that stays cut off must keep refusing, with the verdict that nothing ran.
func TestIsolatedAgentIsRetriedForAMoment(t *testing.T) {
	for _, test := range []struct {
		name    string
		refuses int
		status  int
	}{
		{name: "confirmed after a moment", refuses: 5, status: http.StatusOK},
		{name: "cut off", refuses: 1000, status: http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, newIsolatedAgent(test.refuses))
			have := f.send(http.MethodPost, "/v1/services/billdesk/charge", "once")
			if have.status != test.status {
				t.Errorf("%+v", have)
			}
			if test.status != http.StatusOK && (have.verdict != verdict.NotRun || have.reason != verdict.ReasonIsolated) {
				t.Errorf("%+v", have)
			}
		})
	}
}

// An agent is restarted during an outage and considers itself isolated; the other is full for a moment. A call waited
// 1.5 s and was refused with 503: the isolated agent was tried again and again, but the full one, which had been idle
// for a second, counted as tried for good.
func TestFullAgentIsRetriedBesideAnIsolatedOne(t *testing.T) {
	var refused atomic.Int64
	full := &fakeAgent{execute: func(ctx context.Context, req request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		if refused.Add(1) == 1 {
			return request.AnswerEnd{}, verdict.Refuse(verdict.NotRun, verdict.ReasonOverloaded, 0, "full")
		}
		return echo(ctx, req, out)
	}}
	f := newFixture(t, full, newIsolatedAgent(1000))
	if have := f.send(http.MethodPost, "/v1/services/billdesk/charge", "once"); have.status != http.StatusOK || have.body != "once" {
		t.Errorf("%+v", have)
	}
}

// A call is lost with its agent and refused with 502, although an idle agent would accept it. Shortly before, in an
// outage, one agent was full and the other considered itself isolated. A few calls waited for them, and the waits
// counted as retries of failed calls and emptied the entry's retry budget.
func TestIsolatedRetriesDoNotUseTheRetryBudget(t *testing.T) {
	var later atomic.Bool
	full := &fakeAgent{
		execute: func(context.Context, request.Execute, peer.Sink) (request.AnswerEnd, error) {
			if later.Load() {
				return request.AnswerEnd{}, errLostAnswer
			}
			return request.AnswerEnd{}, verdict.Refuse(verdict.NotRun, verdict.ReasonOverloaded, 0, "full")
		},
		settle: func(request.Settle) request.Settled { return request.Settled{Verdict: verdict.MayHaveRun} },
	}
	isolated := newIsolatedAgent(1000)
	refuse := isolated.execute
	isolated.execute = func(ctx context.Context, req request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		if later.Load() {
			return echo(ctx, req, out)
		}
		return refuse(ctx, req, out)
	}
	f := newFixture(t, full, isolated)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { f.send(http.MethodGet, "/v1/services/billdesk/x", "") })
	}
	group.Wait()
	later.Store(true)
	for range 3 {
		if have := f.send(http.MethodGet, "/v1/services/billdesk/x", ""); have.status != http.StatusOK {
			t.Errorf("%+v", have)
		}
	}
}
