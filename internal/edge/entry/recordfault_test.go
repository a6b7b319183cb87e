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

// standingStore is a platform that stands still until it is released.
type standingStore struct {
	platform.Store
	// loseFirst: the first write takes effect and its answer is lost, and reads fail.
	loseFirst bool
	lost      atomic.Bool
	// entered tells of each call that stands, and left counts those that have ended.
	entered  chan struct{}
	left     atomic.Int32
	released chan struct{}
}

func newStandingStore(inner platform.Store) *standingStore {
	return &standingStore{Store: inner, entered: make(chan struct{}, 100), released: make(chan struct{})}
}

func (s *standingStore) stand(ctx context.Context) error {
	s.entered <- struct{}{}
	defer s.left.Add(1)
	select {
	case <-s.released:
		return nil
	case <-ctx.Done():
		return errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
}

func (s *standingStore) Get(ctx context.Context, name string) (platform.Object, error) {
	if err := s.stand(ctx); err != nil {
		return platform.Object{}, err
	}
	return s.Store.Get(ctx, name)
}

func (s *standingStore) Put(ctx context.Context, name string, value json.RawMessage, ifVersion platform.Version) (platform.Version, error) {
	if ifVersion != 0 {
		if err := s.stand(ctx); err != nil {
			return 0, err
		}
	}
	version, err := s.Store.Put(ctx, name, value, ifVersion)
	if s.loseFirst && !s.lost.Swap(true) {
		return 0, platform.ErrOutcomeUnknown
	}
	return version, err
}

// until waits for the only record to be as wanted; nil stands for no record.
func (f *fixture) until(what string, wanted func(*record) bool) {
	f.t.Helper()
	for end := time.Now().Add(soon); time.Now().Before(end); time.Sleep(time.Millisecond) {
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
		if wanted(found) {
			return
		}
	}
	f.t.Fatalf("%s: not within %v", what, soon)
}

// A parent books a ride; the agent doesn't answer in time, and then the platform stands still, to which the outcome is
// to be written. The caller's deadline is over; it must be answered at once and not when the platform is back. The
// outcome is written all the same, so that a repeat learns of it.
func TestStandingPlatformHoldsUpNoAnswer(t *testing.T) {
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
	store := newStandingStore(f.memory)
	f.entry.records.store = store
	answers := make(chan answer, 1)
	go func() {
		answers <- f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k", "Request-Timeout", "0.3")
	}()
	receive(t, "write of the outcome", store.entered)
	have := receive(t, "answer", answers)
	if have.verdict != verdict.MayHaveRun || have.reason != verdict.ReasonDeadlinePassed {
		t.Errorf("have %+v", have)
	}
	if store.left.Load() > 0 {
		t.Error("the answer waited for the platform")
	}
	close(store.released)
	f.until("outcome in the record", func(r *record) bool { return r != nil && r.InDoubt })
	if again := f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k"); again.reason != verdict.ReasonAnswerLost || runs(agent) != 1 {
		t.Errorf("%d runs, again %+v", runs(agent), again)
	}
}

// The record of a booking is written, but the answer to that write is lost and the platform can't be read until the
// caller's deadline is over. The caller is told "not run", which is true, since nothing was sent. The record that is left behind
// would tell each repeat that the booking is running, and later that it may have run. It must go, so that a repeat runs.
func TestRecordOfACallThatNeverRanGoes(t *testing.T) {
	ready := &fakeAgent{}
	f := newFixture(t, ready)
	store := newStandingStore(f.memory)
	store.loseFirst = true
	f.entry.records.store = store
	have := f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k", "Request-Timeout", "0.3")
	if have.verdict != verdict.NotRun || have.reason != verdict.ReasonPlatformUnavailable || runs(ready) != 0 {
		t.Errorf("%d runs, %+v", runs(ready), have)
	}
	close(store.released)
	f.until("no record", func(r *record) bool { return r == nil })
	if again := f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k"); again.status != http.StatusOK || runs(ready) != 1 {
		t.Errorf("%d runs, again %+v", runs(ready), again)
	}
}

// A tower clerk's program charges a fee under an Idempotency-Key, gives up too soon and hangs up while the charge runs; then it
// repeats the call. The first run goes on at the server. Were its answer not waited for, the repeat would be told for a day that the charge
// may have run, and a person would have to look. It must get the first answer.
func TestRepeatAfterAHangUpGetsTheFirstAnswer(t *testing.T) {
	began, release := make(chan struct{}, 2), make(chan struct{})
	agent := &fakeAgent{execute: func(ctx context.Context, q request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		began <- struct{}{}
		select {
		case <-release:
			return echo(ctx, q, out)
		case <-ctx.Done():
			return request.AnswerEnd{}, errLostAnswer
		}
	}, settle: func(request.Settle) request.Settled { return request.Settled{Verdict: verdict.MayHaveRun} }}
	f := newFixture(t, agent)
	conn := f.connect()
	f.write(conn, raw(bookingPath, "pony 3", "Idempotency-Key: k\r\n"))
	receive(t, "call at the agent", began)
	_ = conn.Close()
	f.until("deadline in the record", func(r *record) bool { return r != nil && r.Deadline.After(time.Now()) })
	repeat := func() answer { return f.send(http.MethodPost, bookingPath, "pony 3", "Idempotency-Key", "k") }
	for range 3 {
		if have := repeat(); have.reason != verdict.ReasonInProgress {
			t.Fatalf("while it runs: %+v", have)
		}
	}
	close(release)
	f.until("outcome in the record", func(r *record) bool { return r != nil && (r.Answer != nil || r.InDoubt) })
	if have := repeat(); have.status != http.StatusOK || have.body != "pony 3" || runs(agent) != 1 {
		t.Errorf("%d runs, repeat %+v", runs(agent), have)
	}
}

// An entry dies between the record of a booking and its run, or in the run. Nobody writes the outcome any more, and each
// repeat was told for half an hour that the booking is running, though its caller had asked for an answer within a minute. Once the
// first try's own deadline is over, nothing runs for it, and its repeats must learn that no answer will come.
func TestRepeatsOfADeadEntrysCall(t *testing.T) {
	for _, test := range []struct {
		name string
		// created and deadline are relative to now; a record of an older version has no deadline.
		created, deadline time.Duration
		want              verdict.Reason
	}{
		{"before the deadline", -time.Minute, time.Minute, verdict.ReasonInProgress},
		{"long deadline", -5 * time.Minute, 20 * time.Minute, verdict.ReasonInProgress},
		{"just after the deadline, by this host's clock", -time.Minute, -time.Second, verdict.ReasonInProgress},
		{"well after the deadline", -time.Minute, -recordMargin - time.Second, verdict.ReasonAnswerLost},
		{"no deadline, young", -2 * time.Minute, 0, verdict.ReasonInProgress},
		{"no deadline, old", -MaxRequestTimeout - time.Minute, 0, verdict.ReasonAnswerLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			ready := &fakeAgent{}
			f := newFixture(t, ready)
			pool := ticket.Pool{Name: "billdesk"}
			left := record{
				Digest:  messageDigest(pool.Name, request.Execute{Method: http.MethodPost, Path: "/bookings", Body: []byte("x")}),
				Writer:  "an entry that died",
				Created: time.Now().Add(test.created),
			}
			if test.deadline != 0 {
				left.Deadline = time.Now().Add(test.deadline)
			}
			name := recordName(call{organisation: "salalah-ground", pool: pool}, "k")
			if _, err := f.entry.records.create(t.Context(), name, left); err != nil {
				t.Fatal(err)
			}
			have := f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k")
			if have.verdict != verdict.MayHaveRun || have.reason != test.want || runs(ready) != 0 {
				t.Errorf("%d runs, have %+v", runs(ready), have)
			}
		})
	}
}
