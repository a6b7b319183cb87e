package billing

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// start is the beginning of the first window of the tests.
var start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func count(agent uint64, organisation string, window time.Time, requests uint64) usage.Count {
	cell := usage.Cell{Agent: agent, Organisation: organisation, Window: window.Unix()}
	return usage.Count{Cell: cell, Amount: usage.Amount{Requests: requests}}
}

func newCollector(store platform.Store, opts ...CollectorOption) *Collector {
	opts = append([]CollectorOption{
		WithFlushInterval(0),
		WithCollectorClock(func() time.Time { return start }),
	}, opts...)
	return NewCollector(context.Background(), store, usage.NewLedger(), "begnas", opts...)
}

// storedRequests sums what the platform has.
func storedRequests(t *testing.T, memory *standin.Memory) uint64 {
	t.Helper()
	ledger, err := newCloser(memory, always{}, start).counts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var sum uint64
	for _, one := range ledger.Counts() {
		sum += one.Amount.Requests
	}
	return sum
}

// racing writes for another host between the collector's read and its write.
type racing struct {
	platform.Platform
	between func()
}

func (r *racing) Get(ctx context.Context, name string) (platform.Object, error) {
	object, err := r.Platform.Get(ctx, name)
	if between := r.between; between != nil {
		r.between = nil
		between()
	}
	return object, err
}

// An airline is billed too little: two entries of one zone flush at the same time, both read the
// same object, and the second write erases the counts of the first.
func TestFlushOfTwoWritersKeepsBoth(t *testing.T) {
	memory := standin.NewMemory()
	other := newCollector(memory)
	other.Merge(count(2, "sahil", start, 5))
	race := &racing{Platform: memory}
	race.between = func() {
		if err := other.Flush(t.Context()); err != nil {
			t.Error(err)
		}
	}
	collector := newCollector(race)
	collector.Merge(count(1, "sahil", start, 3))
	if err := collector.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := storedRequests(t, memory); got != 8 {
		t.Errorf("the platform has %d requests, want 8", got)
	}
}

// An invoice counts an hour twice: the answer of a flush was lost after it took effect, and the
// host stored the same counts again as new ones.
func TestFlushAfterALostAnswerCountsOnce(t *testing.T) {
	memory := standin.NewMemory()
	memory.LoseAnswers(1)
	collector := newCollector(memory)
	collector.Merge(count(1, "sahil", start, 3))
	if err := collector.Flush(t.Context()); !errors.Is(err, platform.ErrUnsettled) {
		t.Errorf("got %v", err)
	}
	collector.Merge(count(1, "sahil", start, 4))
	if err := collector.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := storedRequests(t, memory); got != 4 {
		t.Errorf("the platform has %d requests, want 4", got)
	}
}

// Usage of an outage is never billed: flushes failed for hours and what they carried was dropped.
// The ledger has to keep it, and one flush afterwards has to store all of it.
func TestOutageOnlyDelaysCounts(t *testing.T) {
	memory := standin.NewMemory()
	memory.Outage(true)
	collector := newCollector(memory)
	for hour := range 5 {
		collector.Merge(count(1, "sahil", start.Add(time.Duration(hour)*time.Hour), 1))
		if err := collector.Flush(t.Context()); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("got %v", err)
		}
	}
	if got := collector.State().Unstored; got != 5 {
		t.Errorf("%d cells unstored, want 5", got)
	}
	memory.Outage(false)
	if err := collector.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := storedRequests(t, memory); got != 5 {
		t.Errorf("the platform has %d requests, want 5", got)
	}
}

func TestFlushWritesNothingTwice(t *testing.T) {
	memory := standin.NewMemory()
	collector := newCollector(memory)
	collector.Merge(count(1, "sahil", start, 3))
	for range 3 {
		if err := collector.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if puts := memory.Calls()[standin.KindPut]; puts != 1 {
		t.Errorf("%d writes, want 1", puts)
	}
}

// Flushing stops for good once a window has more counts than an object may hold, and the usage of
// every organisation of the zone stays unbilled.
func TestFullObjectIsDivided(t *testing.T) {
	memory := standin.NewMemory()
	collector := newCollector(memory, WithObjectBytes(2000))
	for agent := range uint64(40) {
		collector.Merge(count(agent, "sahil", start, 1))
		if err := collector.Flush(t.Context()); err != nil && !errors.Is(err, errTooLarge) {
			t.Fatal(err)
		}
	}
	for range 4 {
		if err := collector.Flush(t.Context()); err == nil {
			break
		}
	}
	if got := storedRequests(t, memory); got != 40 {
		t.Errorf("the platform has %d requests, want 40", got)
	}
}

func TestStoredCountsOfOldWindowsLeaveMemory(t *testing.T) {
	memory := standin.NewMemory()
	collector := newCollector(memory)
	old := start.Add(-10 * time.Hour)
	collector.Merge(count(1, "sahil", old, 3), count(1, "sahil", start, 2))
	if err := collector.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := collector.State().Cells; got != 1 {
		t.Errorf("%d cells, want 1", got)
	}
	// The old window's count comes again, grown: it is stored, and counts once.
	collector.Merge(count(1, "sahil", old, 4))
	if err := collector.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := storedRequests(t, memory); got != 6 {
		t.Errorf("the platform has %d requests, want 6", got)
	}
}

// An agent runs out of memory after some weeks: it hands its counts to another host instead of
// flushing, and kept what that host had stored long ago.
func TestHandedOverCountsOfOldWindowsLeaveMemory(t *testing.T) {
	collector := newCollector(standin.NewMemory())
	collector.Merge(count(1, "sahil", start.Add(-10*time.Hour), 3), count(1, "sahil", start, 2))
	collector.Stored(collector.Unstored())
	if state := collector.State(); state.Cells != 1 || state.Unstored != 0 {
		t.Errorf("%d cells, %d of them unstored, want 1 and 0", state.Cells, state.Unstored)
	}
}

func TestCountsObjectShape(t *testing.T) {
	raw, err := json.Marshal(Counts{Counts: []usage.Count{count(2, "sahil", start, 1)}})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"counts":[{"cell":{"agent":2,"organisation":"sahil","window":1772344800},` +
		`"amount":{"requests":1,"tokens":0,"serverTime":0}}]}`
	if diff := cmp.Diff(want, string(raw)); diff != "" {
		t.Error(diff)
	}
}
