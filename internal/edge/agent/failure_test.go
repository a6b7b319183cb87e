package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

func wantRefusal(t *testing.T, err error, v verdict.Verdict, reason verdict.Reason) {
	t.Helper()
	refusal, ok := verdict.As(err)
	if !ok || refusal.Verdict != v || refusal.Reason != reason {
		t.Errorf("got %v, want %s (%s)", err, reason, v)
	}
}

func TestAnswerIsCompleteAndCounted(t *testing.T) {
	h := newHarness(t, ticket.KindModel)
	var got answer
	for range 2 {
		got = h.send(t.Context(), h.newRequest(pathOK))
	}
	if got.err != nil || got.body != "data: a\n\ndata: b\n\n" {
		t.Fatalf("body %q, error %v", got.body, got.err)
	}
	amount := got.end.Count.Amount
	amount.ServerTime = 0
	if diff := cmp.Diff(usage.Amount{Requests: 2, Tokens: 4}, amount); diff != "" {
		t.Error(diff)
	}
}

// The connection to the backend server fails before, while or after the call is sent. The caller may receive "not run"
// only if no byte was sent, since it then repeats the booking.
func TestBackendServerConnectionFails(t *testing.T) {
	for _, tc := range []struct {
		name       string
		path       string
		idempotent bool
		want       verdict.Verdict
		reason     verdict.Reason
	}{
		{name: "connection refused", path: pathRefused, want: verdict.NotRun, reason: verdict.ReasonNoServer},
		{name: "lost after sending", path: pathReset, want: verdict.MayHaveRun, reason: verdict.ReasonServerLost},
		{name: "lost after sending, idempotent", path: pathReset, idempotent: true, want: verdict.MayHaveRun, reason: verdict.ReasonServerLost},
		{name: "truncated answer", path: pathTruncated, want: verdict.MayHaveRun, reason: verdict.ReasonServerLost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, ticket.KindService)
			req := h.newRequest(tc.path)
			req.Idempotent = tc.idempotent
			got := h.send(t.Context(), req)
			wantRefusal(t, got.err, tc.want, tc.reason)
			if diff := cmp.Diff(request.Settled{Verdict: tc.want}, h.settle(t, req.ID)); diff != "" {
				t.Error(diff)
			}
			if h.server.callCount() != 1 {
				t.Errorf("%d calls reached the server", h.server.callCount())
			}
		})
	}
}

// An entry queries the outcome of a request whose frame has not arrived yet, receives "not run" and sends the request
// to another agent. Then the frame arrives; running it would bill an airline twice.
func TestLateFrameAfterSettle(t *testing.T) {
	h := newHarness(t, ticket.KindService)
	req := h.newRequest(pathOK)
	if diff := cmp.Diff(request.Settled{Verdict: verdict.NotRun}, h.settle(t, req.ID)); diff != "" {
		t.Error(diff)
	}
	wantRefusal(t, h.send(t.Context(), req).err, verdict.NotRun, verdict.ReasonFenced)
	if h.server.callCount() != 0 {
		t.Error("the late frame ran")
	}
}

// An agent's process dies while a booking runs and is restarted with an empty record. The entry queries the new process,
// at the same address, for the outcome. The answer "not run" would make the entry send the booking a second time.
func TestRestartedAgentDoesNotClaimNotRun(t *testing.T) {
	h := newHarness(t, ticket.KindService)
	req := h.newRequest(pathHold)
	entry := newPeerClient(t)
	openErr := make(chan error, 1)
	go func() {
		_, err := peer.OpenStream[request.Execute, request.AnswerEnd](t.Context(), entry, h.address, MethodExecute, req)
		openErr <- err
	}()
	<-h.server.started
	port := h.keepPort(t)
	h.kill()
	err := <-openErr
	sentTo := peer.ServerIncarnation(err)
	if sentTo == 0 {
		t.Fatalf("no server incarnation in error %v", err)
	}
	restarted := startHarness(t, &harness{config: h.config, keptPort: port}, ticket.KindService)
	for _, tc := range []struct {
		name    string
		process uint64
		want    verdict.Verdict
	}{
		{name: "sent to the killed process", process: sentTo, want: verdict.MayHaveRun},
		{name: "sent to the restarted process", process: restarted.agent.processIncarnation.Load(), want: verdict.NotRun},
	} {
		settled, err := peer.Call[request.Settle, request.Settled](t.Context(), entry, restarted.address, MethodSettle,
			request.Settle{ID: req.ID, Process: tc.process})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(request.Settled{Verdict: tc.want}, settled); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}

// An agent is stopped and its drain times out while a stream and a booking run. A refusal with ReasonCancelled would be
// false, and final: the entry would not retry the stream at another agent, and the caller would be given no time to
// retry. Neither request may be refused as "not run".
func TestAgentStopsWhileCallsRun(t *testing.T) {
	for _, tc := range []struct {
		name string
		kind ticket.PoolKind
		path string
	}{
		{name: "stream of a model", kind: ticket.KindModel, path: pathStream},
		{name: "call that may not be repeated", kind: ticket.KindService, path: pathHold},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, tc.kind)
			done := make(chan error, 1)
			go func() {
				_, err := h.agent.Execute(t.Context(), h.newRequest(tc.path), discardSink{})
				done <- err
			}()
			<-h.server.started
			h.kill()
			err := <-done
			wantRefusal(t, err, verdict.MayHaveRun, verdict.ReasonLeaving)
			if refusal, _ := verdict.As(err); refusal.RetryAfter <= 0 {
				t.Errorf("no retry delay in %v", err)
			}
		})
	}
}

// discardSink discards the answer.
type discardSink struct{}

func (discardSink) Head(request.AnswerHead) error { return nil }

func (discardSink) Write(p []byte) (int, error) { return len(p), nil }

// A frame arrives twice, over two connections. The second must not run, and must not be refused as "not run".
func TestDoubledExecuteRunsOnce(t *testing.T) {
	h := newHarness(t, ticket.KindService)
	req := h.newRequest(pathHold)
	first := h.sendAsync(t.Context(), req)
	<-h.server.started
	wantRefusal(t, h.send(t.Context(), req).err, verdict.MayHaveRun, verdict.ReasonInProgress)
	if diff := cmp.Diff(request.Settled{Verdict: verdict.MayHaveRun, Running: true}, h.settle(t, req.ID)); diff != "" {
		t.Error(diff)
	}
	close(h.server.release)
	if got := <-first; got.err != nil {
		t.Error(got.err)
	}
	wantRefusal(t, h.send(t.Context(), req).err, verdict.MayHaveRun, verdict.ReasonFenced)
	if diff := cmp.Diff(request.Settled{Verdict: verdict.Ran}, h.settle(t, req.ID)); diff != "" {
		t.Error(diff)
	}
	if h.server.callCount() != 1 {
		t.Errorf("ran %d times", h.server.callCount())
	}
}

// A key is withdrawn while its caller has queued and running requests. Queued requests must be refused at once as "not
// run", streams must end within a second, and a running booking must finish.
func TestKeyWithdrawn(t *testing.T) {
	for _, tc := range []struct {
		name     string
		kind     ticket.PoolKind
		path     string
		finishes bool
	}{
		{name: "stream of a model", kind: ticket.KindModel, path: pathStream},
		{name: "call that may not be repeated", kind: ticket.KindService, path: pathHold, finishes: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, tc.kind)
			var running []<-chan answer
			for range 2 {
				running = append(running, h.sendAsync(t.Context(), h.newRequest(tc.path)))
				<-h.server.started
			}
			queued := h.sendAsync(t.Context(), h.newRequest(tc.path))
			h.waitForQueued(t, 1)
			h.config.set(t, tc.kind, 0, map[string][]string{"a": nil, "b": {testKey2}})
			wantRefusal(t, (<-queued).err, verdict.NotRun, verdict.ReasonKeyWithdrawn)
			wantRefusal(t, h.send(t.Context(), h.newRequest(tc.path)).err, verdict.NotRun, verdict.ReasonKeyWithdrawn)
			if tc.finishes {
				close(h.server.release)
			}
			for _, done := range running {
				got := <-done
				if !tc.finishes {
					wantRefusal(t, got.err, verdict.MayHaveRun, verdict.ReasonKeyWithdrawn)
				} else if got.err != nil {
					t.Error(got.err)
				}
			}
			if h.server.callCount() != 2 {
				t.Errorf("%d calls reached the server", h.server.callCount())
			}
		})
	}
}

// A caller whose key is withdrawn has stopped reading its stream. The write to it would block forever and keep a slot
// at the engine occupied.
func TestKeyWithdrawnFromSlowReader(t *testing.T) {
	sink := &blockingSink{released: make(chan struct{}), writing: make(chan struct{}, 1)}
	h := newHarness(t, ticket.KindModel)
	done := make(chan error, 1)
	go func() {
		_, err := h.agent.Execute(t.Context(), h.newRequest(pathOK), sink)
		done <- err
	}()
	<-sink.writing
	h.config.set(t, ticket.KindModel, 0, map[string][]string{"a": nil})
	wantRefusal(t, <-done, verdict.MayHaveRun, verdict.ReasonKeyWithdrawn)
}

// blockingSink is the sink of a caller that doesn't read: Write blocks until Abort.
type blockingSink struct {
	released chan struct{}
	writing  chan struct{}
	cause    error
}

func (s *blockingSink) Head(request.AnswerHead) error { return nil }

func (s *blockingSink) Write([]byte) (int, error) {
	s.writing <- struct{}{}
	<-s.released
	return 0, s.cause
}

func (s *blockingSink) Abort(cause error) {
	s.cause = cause
	close(s.released)
}

// The agent is cut off from its peers while streams run, and one of their keys is withdrawn. The agent doesn't learn of
// it, but the streams must still end and queued requests must be refused as "not run". A running booking must finish.
func TestIsolatedAgent(t *testing.T) {
	h := &harness{config: &fakeConfiguration{}}
	startHarness(t, h, ticket.KindService)
	stream := h.newRequest(pathStream)
	stream.Idempotent = true
	running := h.sendAsync(t.Context(), stream)
	<-h.server.started
	booking := h.sendAsync(t.Context(), h.newRequest(pathHold))
	<-h.server.started
	queued := h.sendAsync(t.Context(), h.newRequest(pathOK))
	h.waitForQueued(t, 1)
	h.stale.Store(true)
	wantRefusal(t, (<-queued).err, verdict.NotRun, verdict.ReasonIsolated)
	wantRefusal(t, (<-running).err, verdict.MayHaveRun, verdict.ReasonIsolated)
	wantRefusal(t, h.send(t.Context(), h.newRequest(pathOK)).err, verdict.NotRun, verdict.ReasonIsolated)
	close(h.server.release)
	if got := <-booking; got.err != nil {
		t.Error(got.err)
	}
	h.stale.Store(false)
	if got := h.send(t.Context(), h.newRequest(pathOK)); got.err != nil {
		t.Error(got.err)
	}
}

// A caller disconnects. Its queued request must be removed and never run, and its running bookings must finish, so that
// their outcome is known.
func TestCallerDisconnects(t *testing.T) {
	h := newHarness(t, ticket.KindService)
	ctx, disconnect := context.WithCancel(t.Context())
	var bookings []request.Execute
	for range 2 {
		booking := h.newRequest(pathHold)
		bookings = append(bookings, booking)
		h.sendAsync(ctx, booking)
		<-h.server.started
	}
	waiting := h.newRequest(pathOK)
	h.sendAsync(ctx, waiting)
	h.waitForQueued(t, 1)
	disconnect()
	h.waitForQueued(t, 0)
	if diff := cmp.Diff(request.Settled{Verdict: verdict.NotRun}, h.settle(t, waiting.ID)); diff != "" {
		t.Error(diff)
	}
	close(h.server.release)
	for _, booking := range bookings {
		for h.settle(t, booking.ID).Running {
		}
		if diff := cmp.Diff(request.Settled{Verdict: verdict.Ran}, h.settle(t, booking.ID)); diff != "" {
			t.Error(diff)
		}
	}
}

// A caller disconnects in the middle of its stream. The engine would continue to generate for nobody, so its connection
// must be closed and the generation cancelled.
func TestCallerDisconnectsFromStream(t *testing.T) {
	h, engine := startModelHarness(t, nil, 2)
	ctx, disconnect := context.WithCancel(t.Context())
	req := h.newRequest(pathStream)
	req.Body = []byte(`{"sampleId":"s"}`)
	h.sendAsync(ctx, req)
	<-h.server.started
	disconnect()
	if cause := <-h.server.disconnected; cause == nil {
		t.Error("the stream ended without a cancellation cause")
	}
	if sample := <-engine.cancelled; sample != "s" {
		t.Errorf("cancelled sample %q", sample)
	}
}

// A deadline passes while the request is queued. The caller must be refused then, with a retry delay, and not only when
// the request reaches the head of the queue.
func TestDeadlineInQueue(t *testing.T) {
	h := newHarness(t, ticket.KindService)
	for range 2 {
		h.sendAsync(t.Context(), h.newRequest(pathHold))
		<-h.server.started
	}
	late := h.newRequest(pathOK)
	late.Remaining = 20 * time.Millisecond
	got := h.send(t.Context(), late)
	wantRefusal(t, got.err, verdict.NotRun, verdict.ReasonDeadlinePassed)
	if refusal, _ := verdict.As(got.err); refusal.RetryAfter < time.Second {
		t.Errorf("retry delay %s, want at least 1s", refusal.RetryAfter)
	}
	close(h.server.release)
}

// An agent drains while some requests stream and others are queued. None may be interrupted, and no new request may be
// accepted.
func TestDrainLetsRequestsFinish(t *testing.T) {
	h := newHarness(t, ticket.KindModel)
	var accepted []<-chan answer
	for range 100 {
		accepted = append(accepted, h.sendAsync(t.Context(), h.newRequest(pathStream)))
	}
	h.waitForQueued(t, 98)
	drained := make(chan error, 1)
	go func() { drained <- h.agent.Drain(t.Context()) }()
	for !h.agent.Load().Draining {
		h.waitForQueued(t, 98)
	}
	wantRefusal(t, h.send(t.Context(), h.newRequest(pathOK)).err, verdict.NotRun, verdict.ReasonLeaving)
	if len(drained) > 0 {
		t.Error("drained with requests running")
	}
	close(h.server.release)
	for _, done := range accepted {
		if got := <-done; got.err != nil || got.body != "data: a\n\n" {
			t.Errorf("body %q, error %v", got.body, got.err)
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// A careless client sends its key in many headers and query parameters. Neither the backend server nor the state dump
// may contain a key.
func TestNoKeyReachesTheBackendServer(t *testing.T) {
	h := newHarness(t, ticket.KindService)
	req := h.newRequest(pathHold)
	req.Query = "day=1&token=key+of+a+caller&api_key=" + testKey2
	for _, name := range []string{"Authorization", "Cookie", "X-Api-Key", "Proxy-Authorization", "X-Other", "Content-Type", "accept", "user-agent"} {
		req.Header = append(req.Header, request.HeaderField{Name: name, Value: "Bearer " + testKey})
	}
	req.Header = append(req.Header, request.HeaderField{Name: "content-type", Value: "text/plain"})
	done := h.sendAsync(t.Context(), req)
	<-h.server.started
	dump, err := json.Marshal(h.agent.State())
	if err != nil {
		t.Fatal(err)
	}
	close(h.server.release)
	<-done
	want := []Call{{
		Method: "POST", Path: pathHold, Query: "day=1",
		Header: []request.HeaderField{{Name: "Content-Type", Value: "text/plain"}},
	}}
	if diff := cmp.Diff(want, h.server.calls); diff != "" {
		t.Error(diff)
	}
	for _, secret := range []string{testKey, testKey2, keyHash(testKey)} {
		if strings.Contains(string(dump), secret) {
			t.Errorf("the state dump contains %s: %s", secret, dump)
		}
	}
}

// A caller sends a booking again with the same idempotency key: while the first runs, with another body, and after the
// first answer. The booking must run once, and the last retry must receive the first answer.
func TestIdempotencyKey(t *testing.T) {
	h := newHarness(t, ticket.KindService)
	keyed := func(path, body string) request.Execute {
		req := h.newRequest(path)
		req.Body = []byte(body)
		req.Header = []request.HeaderField{{Name: headerIdempotencyKey, Value: "hash"}}
		return req
	}
	first := h.sendAsync(t.Context(), keyed(pathHold, "one"))
	<-h.server.started
	wantRefusal(t, h.send(t.Context(), keyed(pathHold, "one")).err, verdict.MayHaveRun, verdict.ReasonInProgress)
	wantRefusal(t, h.send(t.Context(), keyed(pathHold, "two")).err, verdict.NotRun, verdict.ReasonKeyReused)
	close(h.server.release)
	want := <-first
	got := h.send(t.Context(), keyed(pathHold, "one"))
	if want.err != nil || got.err != nil || got.body != want.body {
		t.Errorf("first %v, retry %v", want, got)
	}
	if h.server.callCount() != 1 {
		t.Errorf("ran %d times", h.server.callCount())
	}
}

// The agent's view is older than the entry's and doesn't contain a new key yet. The agent must not refuse the request
// with ReasonKeyWithdrawn, which is final for the caller.
func TestStaleViewIsNotAWithdrawnKey(t *testing.T) {
	h := newHarness(t, ticket.KindService)
	req := h.newRequest(pathOK)
	req.KeyHash = keyHash("a key granted a moment ago")
	req.Revision = 2
	wantRefusal(t, h.send(t.Context(), req).err, verdict.NotRun, verdict.ReasonStaleView)
	req = h.newRequest(pathOK)
	req.Organisation = "b"
	wantRefusal(t, h.send(t.Context(), req).err, verdict.NotRun, verdict.ReasonKeyWithdrawn)
}

// Measures a request over the peer connection, including the checks, the queue and the record.
func BenchmarkExecute(b *testing.B) {
	h := newHarness(b, ticket.KindService)
	b.ReportAllocs()
	for b.Loop() {
		req := h.newRequest(pathOK)
		if got := h.send(b.Context(), req); got.err != nil {
			b.Fatal(got.err)
		}
		<-h.server.started
	}
}

var _ peer.Aborter = (*blockingSink)(nil)

func TestTokenCounter(t *testing.T) {
	text := "data: a\n\n: comment\ndata: b\n\nevent: end\n\n"
	for split := range len(text) {
		t.Run(fmt.Sprintf("split at %d", split), func(t *testing.T) {
			counter := newTokenCounter(ticket.KindModel)
			counter.add([]byte(text[:split]))
			counter.add([]byte(text[split:]))
			if counter.count != 2 {
				t.Errorf("counted %d tokens, want 2", counter.count)
			}
		})
	}
}
