package entry

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const bookingPath = "/v1/services/billdesk/bookings"

// A caller books a ride and repeats the call with the same Idempotency-Key, since no answer came in time. Two runs
// would book one horse for two families. The repeat must get the answer of the first run, even if the answer to the
// write of the record was lost.
func TestRepeatWithIdempotencyKeyRunsOnce(t *testing.T) {
	ready := &fakeAgent{}
	f := newFixture(t, ready)
	f.memory.LoseAnswers(1)
	first := f.send(http.MethodPost, bookingPath, "pony 3", "Idempotency-Key", "k1")
	again := f.send(http.MethodPost, bookingPath, "pony 3", "Idempotency-Key", "k1")
	if first.status != http.StatusOK || again != first || runs(ready) != 1 {
		t.Errorf("have %d runs, first %+v, again %+v", runs(ready), first, again)
	}
	other := f.send(http.MethodPost, bookingPath, "pony 4", "Idempotency-Key", "k1")
	if other.reason != verdict.ReasonKeyReused || other.verdict != verdict.NotRun || runs(ready) != 1 {
		t.Errorf("another call under the same key: %d runs, %+v", runs(ready), other)
	}
}

// Ten calls with one Idempotency-Key arrive at the same time, and all find no record. Only the call that creates the
// record may run.
func TestRacingRepeatsRunOnce(t *testing.T) {
	ready := &fakeAgent{}
	f := newFixture(t, ready)
	var group sync.WaitGroup
	for range 10 {
		group.Go(func() {
			have := f.send(http.MethodPost, bookingPath, "pony 3", "Idempotency-Key", "k1")
			if have.status != http.StatusOK && have.reason != verdict.ReasonInProgress {
				t.Errorf("have %+v", have)
			}
		})
	}
	group.Wait()
	if runs(ready) != 1 {
		t.Errorf("%d runs", runs(ready))
	}
}

// The platform is down when a call that isn't idempotent arrives with an Idempotency-Key. Without a record another
// entry could run a repeat, so the call must be refused as not run, and must not run.
func TestCallWithoutRecordDoesNotRun(t *testing.T) {
	ready := &fakeAgent{}
	f := newFixture(t, ready)
	f.memory.SetOutage(true)
	have := f.send(http.MethodPost, bookingPath, "pony 3", "Idempotency-Key", "k1")
	if have.verdict != verdict.NotRun || have.reason != verdict.ReasonPlatformUnavailable || runs(ready) != 0 {
		t.Errorf("have %d runs and %+v", runs(ready), have)
	}
}

// The first call with a key may have run, and the caller repeats it. The repeat must not run, and is refused with
// MayHaveRun. If the first call hasn't run, its key is free again and the repeat runs.
func TestOutcomeOfTheFirstCallDecidesTheRepeat(t *testing.T) {
	for _, test := range []struct {
		name     string
		first    verdict.Verdict
		wantRuns int
	}{
		{"may have run", verdict.MayHaveRun, 1},
		{"not run", verdict.NotRun, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			failed := false
			agent := &fakeAgent{}
			agent.execute = func(ctx context.Context, req request.Execute, out peer.Sink) (request.AnswerEnd, error) {
				if !failed {
					failed = true
					return request.AnswerEnd{}, verdict.Refuse(test.first, verdict.ReasonServerLost, 0, "lost")
				}
				return echo(ctx, req, out)
			}
			f := newFixture(t, agent)
			if first := f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k"); first.verdict != test.first {
				t.Errorf("first %+v", first)
			}
			again := f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k")
			if runs(agent) != test.wantRuns {
				t.Errorf("%d runs, want %d; again %+v", runs(agent), test.wantRuns, again)
			}
		})
	}
}

// fakeDuty is a duty that this host always or never holds.
type fakeDuty bool

func (h fakeDuty) Held(now time.Time) (platform.Version, time.Time, bool) {
	return 1, now.Add(time.Second), bool(h)
}

// Records of idempotency keys would accumulate in the platform forever, so those older than a day are deleted. Younger
// ones must stay, and so must all of them while another host holds the duty: otherwise a repeat would run a second
// time.
func TestSweeperKeepsYoungRecords(t *testing.T) {
	for _, test := range []struct {
		name  string
		held  bool
		after time.Duration
		want  int
	}{
		{"young", true, RecordRetention - time.Minute, 1},
		{"old", true, RecordRetention + time.Minute, 0},
		{"old, duty held elsewhere", false, RecordRetention + time.Minute, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			ready := &fakeAgent{}
			f := newFixture(t, ready)
			if have := f.send(http.MethodPost, bookingPath, "x", "Idempotency-Key", "k"); have.status != http.StatusOK {
				t.Fatalf("have %+v", have)
			}
			sweeper := &RecordSweeper{store: f.memory, duty: fakeDuty(test.held)}
			for range recordShards {
				if err := sweeper.sweep(context.Background(), time.Now().Add(test.after)); err != nil {
					t.Fatal(err)
				}
			}
			kept, err := f.memory.List(context.Background(), "idempotency/")
			if err != nil || len(kept) != test.want {
				t.Errorf("%d records left, want %d (%v)", len(kept), test.want, err)
			}
		})
	}
}
