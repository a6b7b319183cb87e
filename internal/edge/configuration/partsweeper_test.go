package configuration

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// alwaysHeld is a duty that is always held.
type alwaysHeld struct{}

func (alwaysHeld) Held(time.Time) (platform.Version, time.Time, bool) {
	return 1, time.Now().Add(time.Minute), true
}

// sweepAll sweeps each shard once.
func sweepAll(t *testing.T, s *PartSweeper, now time.Time) {
	t.Helper()
	for range partShards {
		if err := s.sweep(t.Context(), now); err != nil {
			t.Fatal(err)
		}
	}
}

// storedWeights returns the weights of the parts that the platform holds, sorted.
func storedWeights(t *testing.T, store platform.Store) []float64 {
	t.Helper()
	objects, err := store.List(t.Context(), ticket.PartObjectPrefix)
	if err != nil {
		t.Fatal(err)
	}
	var found []float64
	for _, object := range objects {
		var organisation ticket.Organisation
		if err := json.Unmarshal(object.Value, &organisation); err != nil {
			t.Fatal(err)
		}
		found = append(found, organisation.Weight)
	}
	slices.Sort(found)
	return found
}

func mustApply(t *testing.T, p *Publisher, number, weight int) {
	t.Helper()
	if err := p.Apply(t.Context(), number, weightTicket("sahil", weight)); err != nil {
		t.Fatal(err)
	}
}

// Each ticket leaves the previous content of what it changes, and after a year the platform would hold millions of
// such parts. Those that no head has referenced for an hour are deleted; the one in force stays.
func TestUnreferencedPartsAreDeletedAfterAnHour(t *testing.T) {
	memory := standin.NewMemory()
	p := testPublisher(memory)
	for weight := 1; weight <= 3; weight++ {
		mustApply(t, p, weight, weight)
	}
	s := newPartSweeper(memory, alwaysHeld{}, zerolog.Nop())
	now := time.Now()
	sweepAll(t, s, now)
	sweepAll(t, s, now.Add(partRetention-time.Second))
	if diff := cmp.Diff([]float64{1, 2, 3}, storedWeights(t, memory)); diff != "" {
		t.Errorf("weights within the hour (-want +got):\n%s", diff)
	}
	sweepAll(t, s, now.Add(partRetention))
	if diff := cmp.Diff([]float64{3}, storedWeights(t, memory)); diff != "" {
		t.Errorf("weights after the hour (-want +got):\n%s", diff)
	}
}

// beforeHeadPut calls back once before the head is written.
type beforeHeadPut struct {
	platform.Store
	callback func()
}

func (b *beforeHeadPut) Put(ctx context.Context, name string, value json.RawMessage, ifVersion platform.Version) (platform.Version, error) {
	if callback := b.callback; callback != nil && name == ticket.HeadObject {
		b.callback = nil
		callback()
	}
	return b.Store.Put(ctx, name, value, ifVersion)
}

// TestPartReferencedAgainIsNotDeleted guards against a head that references a missing part, which no host could apply:
// the configuration would not change any more on any host. An operator restores the former limits of an organisation,
// whose part no head has referenced for an hour, and the sweeper runs between the publisher's check of that part and
// its update of the head. The publisher must have given the part a new version by then.
func TestPartReferencedAgainIsNotDeleted(t *testing.T) {
	memory := standin.NewMemory()
	mustApply(t, testPublisher(memory), 1, 1)
	mustApply(t, testPublisher(memory), 2, 2)
	s := newPartSweeper(memory, alwaysHeld{}, zerolog.Nop())
	now := time.Now()
	sweepAll(t, s, now)
	store := &beforeHeadPut{Store: memory, callback: func() { sweepAll(t, s, now.Add(2*partRetention)) }}
	mustApply(t, testPublisher(store), 3, 1)
	if diff := cmp.Diff([]float64{1, 2}, storedWeights(t, memory)); diff != "" {
		t.Error(diff)
	}
	if _, err := testPublisher(memory).read(t.Context()); err != nil {
		t.Errorf("the head references a missing part: %v", err)
	}
}

// afterPartPut calls back once after a part was written.
type afterPartPut struct {
	platform.Store
	callback func()
}

func (a *afterPartPut) Put(ctx context.Context, name string, value json.RawMessage, ifVersion platform.Version) (platform.Version, error) {
	version, err := a.Store.Put(ctx, name, value, ifVersion)
	if callback := a.callback; callback != nil && err == nil && name != ticket.HeadObject {
		a.callback = nil
		callback()
	}
	return version, err
}

// TestPublisherThatWokeWritesItsPartsAgain guards against a host that is suspended between writing a ticket's part and
// its head, and resumes after more than the sweeper's hour. Its update of the head would still succeed if no other
// ticket came in between, and would reference a deleted part. The part must be written again first.
func TestPublisherThatWokeWritesItsPartsAgain(t *testing.T) {
	memory := standin.NewMemory()
	mustApply(t, testPublisher(memory), 1, 1)
	s := newPartSweeper(memory, alwaysHeld{}, zerolog.Nop())
	clock := &fakeClock{now: time.Unix(0, 0)}
	store := &afterPartPut{Store: memory, callback: func() {
		now := time.Now()
		sweepAll(t, s, now)
		sweepAll(t, s, now.Add(2*partRetention))
		clock.now = clock.now.Add(2 * partRetention)
	}}
	mustApply(t, NewPublisher(store, withTime(clock.readTime, clock.sleep)), 2, 2)
	if _, err := testPublisher(memory).read(t.Context()); err != nil {
		t.Errorf("the head references a missing part: %v", err)
	}
}
