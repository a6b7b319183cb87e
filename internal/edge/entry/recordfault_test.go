package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// stalledStore is a platform whose reads and updates hang until it is released or their context ends.
type stalledStore struct {
	platform.Store
	// loseFirstWrite makes the first write take effect but lose its answer.
	loseFirstWrite bool
	lost           atomic.Bool
	// stalled receives a value for each call that hangs; finished counts the hanging calls that have returned.
	stalled  chan struct{}
	finished atomic.Int32
	released chan struct{}
}

func newStalledStore(inner platform.Store) *stalledStore {
	return &stalledStore{Store: inner, stalled: make(chan struct{}, 100), released: make(chan struct{})}
}

func (s *stalledStore) stall(ctx context.Context) error {
	s.stalled <- struct{}{}
	defer s.finished.Add(1)
	select {
	case <-s.released:
		return nil
	case <-ctx.Done():
		return errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
}

func (s *stalledStore) Get(ctx context.Context, name string) (platform.Object, error) {
	if err := s.stall(ctx); err != nil {
		return platform.Object{}, err
	}
	return s.Store.Get(ctx, name)
}

func (s *stalledStore) Put(ctx context.Context, name string, value json.RawMessage, ifVersion platform.Version) (platform.Version, error) {
	if ifVersion != 0 {
		if err := s.stall(ctx); err != nil {
			return 0, err
		}
	}
	version, err := s.Store.Put(ctx, name, value, ifVersion)
	if s.loseFirstWrite && !s.lost.Swap(true) {
		return 0, platform.ErrOutcomeUnknown
	}
	return version, err
}

// waitForRecord waits until the only record satisfies accept; nil stands for no record.
func (f *fixture) waitForRecord(description string, accept func(*record) bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		objects, err := f.memory.List(context.Background(), "idempotency/")
		if err != nil {
			f.t.Fatal(err)
		}
		var found *record
		if len(objects) > 0 {
			found = &record{}
			if err := json.Unmarshal(objects[0].Value, found); err != nil {
				f.t.Fatal(err)
			}
		}
		if accept(found) {
			return
		}
	}
	f.t.Fatalf("%s: not within %v", description, testTimeout)
}

// An agent doesn't answer a booking in time, and then the platform hangs while the outcome is written. The caller's
// deadline has passed: it must be answered at once, not when the platform is back. The outcome must still be written,
// so that a repeat gets it.
func TestStalledPlatformDoesNotDelayTheAnswer(t *testing.T) {
	silent := make(chan struct{})
	defer close(silent)
	agent := &fakeAgent{
		execute: func(context.Context, request.Execute, peer.Sink) (request.AnswerEnd, error) {
			<-silent
			return request.AnswerEnd{}, errLostAnswer
		},
		settle: func(request.Settle) request.Settled { return request.Settled{Verdict: verdict.MayHaveRun} },
	}
	f := newFixture(t, agent)
	store := newStalledStore(f.memory)
	f.entry.deduplicator.store = store
	answers := make(chan answer, 1)
	go func() {
		answers <- f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k", "Request-Timeout", "0.3")
	}()
	receive(t, "write of the outcome", store.stalled)
	have := receive(t, "answer", answers)
	if have.verdict != verdict.MayHaveRun || have.reason != verdict.ReasonDeadlinePassed {
		t.Errorf("have %+v", have)
	}
	if store.finished.Load() > 0 {
		t.Error("the answer waited for the platform")
	}
	close(store.released)
	f.waitForRecord("outcome in the record", func(r *record) bool { return r != nil && r.InDoubt })
	if again := f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k"); again.reason != verdict.ReasonAnswerLost || runs(agent) != 1 {
		t.Errorf("%d runs, again %+v", runs(agent), again)
	}
}

// The record of a booking is written, but the answer to the write is lost, and the platform can't be read until the
// caller's deadline has passed. The caller correctly receives "not run", since nothing was sent. If the record stayed,
// each repeat would be refused as in progress, and later as may have run. It must be deleted, so that a repeat runs.
func TestRecordOfACallThatNeverRanIsDeleted(t *testing.T) {
	ready := &fakeAgent{}
	f := newFixture(t, ready)
	store := newStalledStore(f.memory)
	store.loseFirstWrite = true
	f.entry.deduplicator.store = store
	have := f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k", "Request-Timeout", "0.3")
	if have.verdict != verdict.NotRun || have.reason != verdict.ReasonPlatformUnavailable || runs(ready) != 0 {
		t.Errorf("%d runs, %+v", runs(ready), have)
	}
	close(store.released)
	f.waitForRecord("no record", func(r *record) bool { return r == nil })
	if again := f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k"); again.status != http.StatusOK || runs(ready) != 1 {
		t.Errorf("%d runs, again %+v", runs(ready), again)
	}
}

// A client charges a fee under an Idempotency-Key, hangs up while the charge runs, and repeats the call. The first run
// continues at the server. If its answer were discarded when the caller hangs up, repeats would be refused for a day
// because the charge may have run, and a person would have to investigate. The repeat must get the first answer.
func TestRepeatAfterAHangUpGetsTheFirstAnswer(t *testing.T) {
	began, release := make(chan struct{}, 2), make(chan struct{})
	agent := &fakeAgent{execute: func(ctx context.Context, req request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		began <- struct{}{}
		select {
		case <-release:
			return echo(ctx, req, out)
		case <-ctx.Done():
			return request.AnswerEnd{}, errLostAnswer
		}
	}, settle: func(request.Settle) request.Settled { return request.Settled{Verdict: verdict.MayHaveRun} }}
	f := newFixture(t, agent)
	conn := f.connect()
	f.write(conn, rawRequest(bookingPath, "pony 3", "Idempotency-Key: k\r\n"))
	receive(t, "call at the agent", began)
	_ = conn.Close()
	f.waitForRecord("deadline in the record", func(r *record) bool { return r != nil && r.Deadline.After(time.Now()) })
	repeat := func() answer { return f.send(http.MethodPost, bookingPath, "pony 3", "Idempotency-Key", "k") }
	for range 3 {
		if have := repeat(); have.reason != verdict.ReasonInProgress {
			t.Fatalf("while it runs: %+v", have)
		}
	}
	close(release)
	f.waitForRecord("outcome in the record", func(r *record) bool { return r != nil && (r.Answer != nil || r.InDoubt) })
	if have := repeat(); have.status != http.StatusOK || have.body != "pony 3" || runs(agent) != 1 {
		t.Errorf("%d runs, repeat %+v", runs(agent), have)
	}
}

// An entry dies after it has created the record of a booking, before or during the run, so that nobody writes the
// outcome. Repeats were refused for half an hour as in progress, although the caller had set a timeout of
// a minute. Once the deadline of the first attempt has passed, nothing runs for it, and the refusal of repeats must say
// that no answer will come.
func TestRepeatAfterTheEntryDied(t *testing.T) {
	for _, test := range []struct {
		name string
		// created and deadline are relative to now; a record of an older version has no deadline.
		created, deadline time.Duration
		want              verdict.Reason
	}{
		{"before the deadline", -time.Minute, time.Minute, verdict.ReasonInProgress},
		{"long deadline", -5 * time.Minute, 20 * time.Minute, verdict.ReasonInProgress},
		{"just after the deadline, by this host's clock", -time.Minute, -time.Second, verdict.ReasonInProgress},
		{"well after the deadline", -time.Minute, -outcomeGrace - time.Second, verdict.ReasonAnswerLost},
		{"no deadline, young", -2 * time.Minute, 0, verdict.ReasonInProgress},
		{"no deadline, old", -MaxRequestTimeout - time.Minute, 0, verdict.ReasonAnswerLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			ready := &fakeAgent{}
			f := newFixture(t, ready)
			pool := ticket.Pool{Name: "billdesk"}
			abandoned := record{
				Digest:  messageDigest(pool.Name, request.Execute{Method: http.MethodPost, Path: "/bookings", Body: []byte("x")}),
				Writer:  "an entry that died",
				Created: time.Now().Add(test.created),
			}
			if test.deadline != 0 {
				abandoned.Deadline = time.Now().Add(test.deadline)
			}
			name := recordName(call{organisation: "salalah-ground", pool: pool}, "k")
			if _, err := f.entry.deduplicator.create(t.Context(), name, abandoned); err != nil {
				t.Fatal(err)
			}
			have := f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k")
			if have.verdict != verdict.MayHaveRun || have.reason != test.want || runs(ready) != 0 {
				t.Errorf("%d runs, have %+v", runs(ready), have)
			}
		})
	}
}
