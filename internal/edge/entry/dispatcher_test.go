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

// lose makes an agent that takes the frame and whose answer is then lost, as when its connection is cut.
func lose(v verdict.Verdict) *fakeAgent {
	return &fakeAgent{
		execute: func(context.Context, request.Execute, peer.Sink) (request.AnswerEnd, error) {
			return request.AnswerEnd{}, errLostAnswer
		},
		settle: func(request.Settle) request.Settled { return request.Settled{Verdict: v} },
	}
}

// errLostAnswer is an error without a verdict, which leaves the entry in doubt.
var errLostAnswer = verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerLost, 0, "lost")

// A tower clerk's charge is sent, and the connection to the agent is lost before the answer.
// The agent can't rule out that the charge ran. Running it at another server as well would bill the airline
// twice; the caller must be told that it may have run, and nothing else may be tried.
func TestCallInDoubtIsNeverRunAgain(t *testing.T) {
	for _, test := range []struct {
		name, method, path string
		wantRuns           int
		wantVerdict        verdict.Verdict
	}{
		{"a call that may not be repeated", http.MethodPost, "/v1/services/billdesk/charge", 1, verdict.MayHaveRun},
		{"a call that may be repeated", http.MethodGet, "/v1/services/billdesk/charge", 2, verdict.MayHaveRun},
		{"a path that may be repeated by its pool", http.MethodPost, "/v1/services/billdesk/search/x", 2, verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			first, second := lose(verdict.MayHaveRun), lose(verdict.MayHaveRun)
			f := newFixture(t, first, second)
			have := f.send(test.method, test.path, "x")
			if have.verdict != test.wantVerdict || runs(first, second) != test.wantRuns {
				t.Errorf("have %d runs and %+v", runs(first, second), have)
			}
		})
	}
}

// The only agent refuses before it started the call, as a leaving one does; another is free.
// The caller must get the whole answer from the other, and the call must have run there once.
func TestNotRunIsTriedElsewhere(t *testing.T) {
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

// Most servers of a pool are replaced and leave at once; the platform's list doesn't say so yet.
// A parent's call was refused for want of a server, since the few that were probed all left, though others had room.
func TestCallFindsTheServerThatStays(t *testing.T) {
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

// An agent sends half of an answer under status 200 and then fails.
// A caller that got the half under status 200 would take it for the whole bill. It must get a refusal
// that says that the call may have run.
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

// A host is cut off from the platform and the relays while a key is withdrawn elsewhere.
// Its view still has the key; serving it would run requests for somebody who lost the right minutes ago.
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

// takesItselfForIsolated makes an agent that refuses so many requests because its configuration was not confirmed lately.
func takesItselfForIsolated(times int) *fakeAgent {
	var refused atomic.Int64
	return &fakeAgent{execute: func(ctx context.Context, q request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		if refused.Add(1) <= int64(times) {
			return request.AnswerEnd{}, verdict.Refuse(verdict.NotRun, verdict.ReasonIsolated, 0, "not confirmed")
		}
		return echo(ctx, q, out)
	}}
}

// The platform goes down, and for a moment the only agent can't tell that from being cut off itself. A rider was refused with 503 though the
// engine was idle and the agent took requests again half a second later. One that stays cut off still refuses, with the truth that
// nothing ran.
func TestAgentThatSoonKnowsOfTheOutageIsAskedAgain(t *testing.T) {
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
			f := newFixture(t, takesItselfForIsolated(test.refuses))
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

// An agent is started again in an outage and takes itself for cut off; the other one is full for a moment. A rider waited 1.5 s and was
// refused with 503 as the first agent was asked again and again, though the other had been idle for a second. Cause: an agent that refused
// for want of room counted as tried for good.
func TestFullAgentIsAskedAgainBesideAnIsolatedOne(t *testing.T) {
	var refused atomic.Int64
	full := &fakeAgent{execute: func(ctx context.Context, q request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		if refused.Add(1) == 1 {
			return request.AnswerEnd{}, verdict.Refuse(verdict.NotRun, verdict.ReasonOverloaded, 0, "full")
		}
		return echo(ctx, q, out)
	}}
	f := newFixture(t, full, takesItselfForIsolated(1000))
	if have := f.send(http.MethodPost, "/v1/services/billdesk/charge", "once"); have.status != http.StatusOK || have.body != "once" {
		t.Errorf("%+v", have)
	}
}

// A rider's call is lost with its agent, and is refused with 502 though an idle agent would take it. Moments before, in an outage, one
// agent was full and the other took itself for cut off; a few calls asked that again and again, each time from the entry's budget
// of retries, until it was empty. Cause: waiting for an agent that will soon know of the outage counts as retries of failed calls.
func TestWaitForAnIsolatedAgentLeavesTheRetryBudget(t *testing.T) {
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
	cutOff := takesItselfForIsolated(1000)
	refuse := cutOff.execute
	cutOff.execute = func(ctx context.Context, q request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		if later.Load() {
			return echo(ctx, q, out)
		}
		return refuse(ctx, q, out)
	}
	f := newFixture(t, full, cutOff)
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
