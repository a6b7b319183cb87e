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

func TestAnswerIsWholeAndCounted(t *testing.T) {
	b := newBench(t, ticket.KindModel)
	var got answer
	for range 2 {
		got = b.send(t.Context(), b.execute(pathOK))
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

// The backend server dies before, while or after it takes a call. The caller must hear "not run" only
// where no byte was sent, since it books again on hearing it.
func TestBackendServerDies(t *testing.T) {
	for _, tc := range []struct {
		name       string
		path       string
		idempotent bool
		want       verdict.Verdict
		reason     verdict.Reason
	}{
		{name: "connection refused", path: pathClosd, want: verdict.NotRun, reason: verdict.ReasonNoServer},
		{name: "lost after sending", path: pathLost, want: verdict.MayHaveRun, reason: verdict.ReasonServerLost},
		{name: "lost after sending, idempotent", path: pathLost, idempotent: true, want: verdict.MayHaveRun, reason: verdict.ReasonServerLost},
		{name: "cut mid-answer", path: pathCut, want: verdict.MayHaveRun, reason: verdict.ReasonServerLost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, ticket.KindService)
			q := b.execute(tc.path)
			q.Idempotent = tc.idempotent
			got := b.send(t.Context(), q)
			wantRefusal(t, got.err, tc.want, tc.reason)
			if diff := cmp.Diff(request.Settled{Verdict: tc.want}, b.settle(t, q.ID)); diff != "" {
				t.Error(diff)
			}
			if b.server.count() != 1 {
				t.Errorf("%d calls reached the server", b.server.count())
			}
		})
	}
}

// An entry asks what became of a request whose frame is still on the way, is told "not run" and sends
// it elsewhere. The frame arrives then; running it would bill an airline twice.
func TestLateFrameAfterSettle(t *testing.T) {
	b := newBench(t, ticket.KindService)
	q := b.execute(pathOK)
	if diff := cmp.Diff(request.Settled{Verdict: verdict.NotRun}, b.settle(t, q.ID)); diff != "" {
		t.Error(diff)
	}
	wantRefusal(t, b.send(t.Context(), q).err, verdict.NotRun, verdict.ReasonFenced)
	if b.server.count() != 0 {
		t.Error("the late frame ran")
	}
}

// An agent's process dies while a booking runs, and is started anew with an empty record. The entry
// asks at the same address what became of the booking. "Not run" would make it book a second time.
func TestRestartedAgentDoesNotDenyARun(t *testing.T) {
	b := newBench(t, ticket.KindService)
	q := b.execute(pathHold)
	entry := newClient(t)
	lost := make(chan error, 1)
	go func() {
		_, err := peer.OpenStream[request.Execute, request.AnswerEnd](t.Context(), entry, b.address, MethodExecute, q)
		lost <- err
	}()
	<-b.server.started
	port := b.holdPort(t)
	b.kill()
	err := <-lost
	process := peer.ServerIncarnation(err)
	if process == 0 {
		t.Fatalf("no process in %v", err)
	}
	again := startBench(t, &bench{config: b.config, port: port}, ticket.KindService)
	for _, tc := range []struct {
		name    string
		process uint64
		want    verdict.Verdict
	}{
		{name: "sent to the dead process", process: process, want: verdict.MayHaveRun},
		{name: "sent to this process", process: again.agent.process.Load(), want: verdict.NotRun},
	} {
		settled, err := peer.Call[request.Settle, request.Settled](t.Context(), entry, again.address, MethodSettle,
			request.Settle{ID: q.ID, Process: tc.process})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(request.Settled{Verdict: tc.want}, settled); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}

// An agent is stopped, and the bound of its drain passes while a stream and a booking run. "The caller has gone" would
// be false, and final: the entry would not try the stream elsewhere, and its caller would be refused with no time
// to come back. Neither may be called "not run".
func TestAgentEndsWhileCallsRun(t *testing.T) {
	for _, tc := range []struct {
		name string
		kind ticket.PoolKind
		path string
	}{
		{name: "stream of a model", kind: ticket.KindModel, path: pathFlow},
		{name: "call that may not be repeated", kind: ticket.KindService, path: pathHold},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, tc.kind)
			done := make(chan error, 1)
			go func() {
				_, err := b.agent.Execute(t.Context(), b.execute(tc.path), discard{})
				done <- err
			}()
			<-b.server.started
			b.kill()
			err := <-done
			wantRefusal(t, err, verdict.MayHaveRun, verdict.ReasonLeaving)
			if refusal, _ := verdict.As(err); refusal.RetryAfter <= 0 {
				t.Errorf("no time to come back in %v", err)
			}
		})
	}
}

// discard is the sink of a caller whose answer doesn't matter.
type discard struct{}

func (discard) Head(request.AnswerHead) error { return nil }

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// A frame comes twice, over two connections. The second must not run, and must not be called "not run".
func TestDoubledExecuteRunsOnce(t *testing.T) {
	b := newBench(t, ticket.KindService)
	q := b.execute(pathHold)
	first := b.sendAsync(t.Context(), q)
	<-b.server.started
	wantRefusal(t, b.send(t.Context(), q).err, verdict.MayHaveRun, verdict.ReasonInProgress)
	if diff := cmp.Diff(request.Settled{Verdict: verdict.MayHaveRun, Running: true}, b.settle(t, q.ID)); diff != "" {
		t.Error(diff)
	}
	close(b.server.release)
	if got := <-first; got.err != nil {
		t.Error(got.err)
	}
	wantRefusal(t, b.send(t.Context(), q).err, verdict.MayHaveRun, verdict.ReasonFenced)
	if diff := cmp.Diff(request.Settled{Verdict: verdict.Ran}, b.settle(t, q.ID)); diff != "" {
		t.Error(diff)
	}
	if b.server.count() != 1 {
		t.Errorf("ran %d times", b.server.count())
	}
}

// Operators withdraw a key while its caller has requests queued and running. Queued ones must be
// refused at once as not run, streams must end within a second, and a booking that runs must finish.
func TestKeyWithdrawn(t *testing.T) {
	for _, tc := range []struct {
		name     string
		kind     ticket.PoolKind
		path     string
		finishes bool
	}{
		{name: "stream of a model", kind: ticket.KindModel, path: pathFlow},
		{name: "call that may not be repeated", kind: ticket.KindService, path: pathHold, finishes: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, tc.kind)
			var running []<-chan answer
			for range 2 {
				running = append(running, b.sendAsync(t.Context(), b.execute(tc.path)))
				<-b.server.started
			}
			queued := b.sendAsync(t.Context(), b.execute(tc.path))
			b.untilQueued(t, 1)
			b.config.set(t, tc.kind, 0, map[string][]string{"a": nil, "b": {testKey2}})
			wantRefusal(t, (<-queued).err, verdict.NotRun, verdict.ReasonKeyWithdrawn)
			wantRefusal(t, b.send(t.Context(), b.execute(tc.path)).err, verdict.NotRun, verdict.ReasonKeyWithdrawn)
			if tc.finishes {
				close(b.server.release)
			}
			for _, done := range running {
				got := <-done
				if !tc.finishes {
					wantRefusal(t, got.err, verdict.MayHaveRun, verdict.ReasonKeyWithdrawn)
				} else if got.err != nil {
					t.Error(got.err)
				}
			}
			if b.server.count() != 2 {
				t.Errorf("%d calls reached the server", b.server.count())
			}
		})
	}
}

// A caller whose key is withdrawn has stopped reading its stream. Its write would wait for ever and
// keep a place at the engine.
func TestKeyWithdrawnFromSlowReader(t *testing.T) {
	sink := &stuckSink{released: make(chan struct{}), entered: make(chan struct{}, 1)}
	b := newBench(t, ticket.KindModel)
	done := make(chan error, 1)
	go func() {
		_, err := b.agent.Execute(t.Context(), b.execute(pathOK), sink)
		done <- err
	}()
	<-sink.entered
	b.config.set(t, ticket.KindModel, 0, map[string][]string{"a": nil})
	wantRefusal(t, <-done, verdict.MayHaveRun, verdict.ReasonKeyWithdrawn)
}

// stuckSink is the sink of a caller that reads nothing.
type stuckSink struct {
	released chan struct{}
	entered  chan struct{}
	cause    error
}

func (s *stuckSink) Head(request.AnswerHead) error { return nil }

func (s *stuckSink) Write([]byte) (int, error) {
	s.entered <- struct{}{}
	<-s.released
	return 0, s.cause
}

func (s *stuckSink) Abort(cause error) {
	s.cause = cause
	close(s.released)
}

// The agent is cut off from the rest of the system while streams run, and one of their keys is
// withdrawn elsewhere. The agent never hears of it; the streams must end all the same, and what is
// queued must be refused as not run. A booking that runs must finish.
func TestIsolatedAgent(t *testing.T) {
	b := &bench{config: &configuration{}}
	startBench(t, b, ticket.KindService)
	stream := b.execute(pathFlow)
	stream.Idempotent = true
	running := b.sendAsync(t.Context(), stream)
	<-b.server.started
	booking := b.sendAsync(t.Context(), b.execute(pathHold))
	<-b.server.started
	queued := b.sendAsync(t.Context(), b.execute(pathOK))
	b.untilQueued(t, 1)
	b.stale.Store(true)
	wantRefusal(t, (<-queued).err, verdict.NotRun, verdict.ReasonIsolated)
	wantRefusal(t, (<-running).err, verdict.MayHaveRun, verdict.ReasonIsolated)
	wantRefusal(t, b.send(t.Context(), b.execute(pathOK)).err, verdict.NotRun, verdict.ReasonIsolated)
	close(b.server.release)
	if got := <-booking; got.err != nil {
		t.Error(got.err)
	}
	b.stale.Store(false)
	if got := b.send(t.Context(), b.execute(pathOK)); got.err != nil {
		t.Error(got.err)
	}
}

// A caller hangs up. Its queued request must leave the queue and never run, and its bookings must run to
// the end, so that their outcome is known.
func TestCallerGone(t *testing.T) {
	b := newBench(t, ticket.KindService)
	ctx, hangUp := context.WithCancel(t.Context())
	var bookings []request.Execute
	for range 2 {
		booking := b.execute(pathHold)
		bookings = append(bookings, booking)
		b.sendAsync(ctx, booking)
		<-b.server.started
	}
	waiting := b.execute(pathOK)
	b.sendAsync(ctx, waiting)
	b.untilQueued(t, 1)
	hangUp()
	b.untilQueued(t, 0)
	if diff := cmp.Diff(request.Settled{Verdict: verdict.NotRun}, b.settle(t, waiting.ID)); diff != "" {
		t.Error(diff)
	}
	close(b.server.release)
	for _, booking := range bookings {
		for b.settle(t, booking.ID).Running {
		}
		if diff := cmp.Diff(request.Settled{Verdict: verdict.Ran}, b.settle(t, booking.ID)); diff != "" {
			t.Error(diff)
		}
	}
}

// A caller hangs up in the middle of its stream. The engine would go on generating for nobody; its
// connection must be cut and the generation cancelled.
func TestCallerGoneFromStream(t *testing.T) {
	b, engine := startWeights(t, nil, 2)
	ctx, hangUp := context.WithCancel(t.Context())
	q := b.execute(pathFlow)
	q.Body = []byte(`{"sampleId":"s"}`)
	b.sendAsync(ctx, q)
	<-b.server.started
	hangUp()
	if cause := <-b.server.ended; cause == nil {
		t.Error("the stream ended without a cause")
	}
	if sample := <-engine.cancelled; sample != "s" {
		t.Errorf("cancelled sample %q", sample)
	}
}

// A deadline passes in the queue. The caller must be refused then, with the time to come back, and
// not when its turn would have come.
func TestDeadlineInQueue(t *testing.T) {
	b := newBench(t, ticket.KindService)
	for range 2 {
		b.sendAsync(t.Context(), b.execute(pathHold))
		<-b.server.started
	}
	late := b.execute(pathOK)
	late.Remaining = 20 * time.Millisecond
	got := b.send(t.Context(), late)
	wantRefusal(t, got.err, verdict.NotRun, verdict.ReasonDeadlinePassed)
	if refusal, _ := verdict.As(got.err); refusal.RetryAfter < time.Second {
		t.Errorf("come back after %s", refusal.RetryAfter)
	}
	close(b.server.release)
}

// A backend server host leaves while callers read streams and others wait. None may be cut off, and
// no new request may start.
func TestDrainCutsOffNothing(t *testing.T) {
	b := newBench(t, ticket.KindModel)
	var accepted []<-chan answer
	for range 100 {
		accepted = append(accepted, b.sendAsync(t.Context(), b.execute(pathFlow)))
	}
	b.untilQueued(t, 98)
	drained := make(chan error, 1)
	go func() { drained <- b.agent.Drain(t.Context()) }()
	for !b.agent.Load().Draining {
		b.untilQueued(t, 98)
	}
	wantRefusal(t, b.send(t.Context(), b.execute(pathOK)).err, verdict.NotRun, verdict.ReasonLeaving)
	if len(drained) > 0 {
		t.Error("drained with requests running")
	}
	close(b.server.release)
	for _, done := range accepted {
		if got := <-done; got.err != nil || got.body != "data: a\n\n" {
			t.Errorf("body %q, error %v", got.body, got.err)
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// A caller's key comes in every place that a careless client may put it. The backend server must
// see none of them, and neither may the dump.
func TestNoKeyReachesTheBackendServer(t *testing.T) {
	b := newBench(t, ticket.KindService)
	q := b.execute(pathHold)
	q.Query = "day=1&token=key+of+a+caller&api_key=" + testKey2
	for _, name := range []string{"Authorization", "Cookie", "X-Api-Key", "Proxy-Authorization", "X-Other", "Content-Type", "accept", "user-agent"} {
		q.Header = append(q.Header, request.HeaderField{Name: name, Value: "Bearer " + testKey})
	}
	q.Header = append(q.Header, request.HeaderField{Name: "content-type", Value: "text/plain"})
	done := b.sendAsync(t.Context(), q)
	<-b.server.started
	dump, err := json.Marshal(b.agent.State())
	if err != nil {
		t.Fatal(err)
	}
	close(b.server.release)
	<-done
	want := []Call{{
		Method: "POST", Path: pathHold, Query: "day=1",
		Header: []request.HeaderField{{Name: "Content-Type", Value: "text/plain"}},
	}}
	if diff := cmp.Diff(want, b.server.calls); diff != "" {
		t.Error(diff)
	}
	for _, secret := range []string{testKey, testKey2, keyHash(testKey)} {
		if strings.Contains(string(dump), secret) {
			t.Errorf("the dump holds %s: %s", secret, dump)
		}
	}
}

// A caller retries a booking under the same idempotency key: at once, after the answer, with another
// body. The booking must be made once and the retry must receive the first answer.
func TestIdempotencyKey(t *testing.T) {
	b := newBench(t, ticket.KindService)
	keyed := func(path, body string) request.Execute {
		q := b.execute(path)
		q.Body = []byte(body)
		q.Header = []request.HeaderField{{Name: headerIdempotencyKey, Value: "hash"}}
		return q
	}
	first := b.sendAsync(t.Context(), keyed(pathHold, "one"))
	<-b.server.started
	wantRefusal(t, b.send(t.Context(), keyed(pathHold, "one")).err, verdict.MayHaveRun, verdict.ReasonInProgress)
	wantRefusal(t, b.send(t.Context(), keyed(pathHold, "two")).err, verdict.NotRun, verdict.ReasonKeyReused)
	close(b.server.release)
	want := <-first
	got := b.send(t.Context(), keyed(pathHold, "one"))
	if want.err != nil || got.err != nil || got.body != want.body {
		t.Errorf("first %v, retry %v", want, got)
	}
	if b.server.count() != 1 {
		t.Errorf("ran %d times", b.server.count())
	}
}

// An agent's view is behind the entry's, and a new key is not in it yet. That must not read as a
// withdrawn key, which a caller would take for final.
func TestViewBehindTheEntry(t *testing.T) {
	b := newBench(t, ticket.KindService)
	q := b.execute(pathOK)
	q.KeyHash = keyHash("a key granted a moment ago")
	q.Revision = 2
	wantRefusal(t, b.send(t.Context(), q).err, verdict.NotRun, verdict.ReasonStaleView)
	q = b.execute(pathOK)
	q.Organisation = "b"
	wantRefusal(t, b.send(t.Context(), q).err, verdict.NotRun, verdict.ReasonKeyWithdrawn)
}

// A whole answer over the peer connection, with admission, queue and record.
func BenchmarkExecute(b *testing.B) {
	bench := newBench(b, ticket.KindService)
	b.ReportAllocs()
	for b.Loop() {
		q := bench.execute(pathOK)
		if got := bench.send(b.Context(), q); got.err != nil {
			b.Fatal(got.err)
		}
		<-bench.server.started
	}
}

var _ peer.Aborter = (*stuckSink)(nil)

func TestTokenCounter(t *testing.T) {
	text := "data: a\n\n: comment\ndata: b\n\nevent: end\n\n"
	for split := range len(text) {
		t.Run(fmt.Sprintf("split at %d", split), func(t *testing.T) {
			counter := newTokenCounter(ticket.KindModel)
			counter.add([]byte(text[:split]))
			counter.add([]byte(text[split:]))
			if counter.count != 2 {
				t.Errorf("counted %d", counter.count)
			}
		})
	}
}
