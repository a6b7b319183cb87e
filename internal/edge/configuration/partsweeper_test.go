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

// heldFor is a duty that is always held.
type heldFor struct{}

func (heldFor) Held(time.Time) (platform.Version, time.Time, bool) {
	return 1, time.Now().Add(time.Minute), true
}

// sweepAll looks at each shard once.
func sweepAll(t *testing.T, s *PartSweeper, now time.Time) {
	t.Helper()
	for range partShards {
		if err := s.sweep(t.Context(), now); err != nil {
			t.Fatal(err)
		}
	}
}

// weights returns the weights of the parts that the platform holds, in order.
func weights(t *testing.T, store platform.Store) []float64 {
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

// Each ticket leaves the former content of what it changes behind, and after a year the platform would hold millions of
// them. Those that no head has named for an hour go; the one in force stays.
func TestOldPartsAreDeletedAfterAnHour(t *testing.T) {
	memory := standin.NewMemory()
	p := testPublisher(memory)
	for weight := 1; weight <= 3; weight++ {
		mustApply(t, p, weight, weight)
	}
	s := newPartSweeper(memory, heldFor{}, zerolog.Nop())
	now := time.Now()
	sweepAll(t, s, now)
	sweepAll(t, s, now.Add(partLife-time.Second))
	if diff := cmp.Diff([]float64{1, 2, 3}, weights(t, memory)); diff != "" {
		t.Errorf("within the hour: %s", diff)
	}
	sweepAll(t, s, now.Add(partLife))
	if diff := cmp.Diff([]float64{3}, weights(t, memory)); diff != "" {
		t.Errorf("after the hour: %s", diff)
	}
}

// beforeHead does something before the head is written.
type beforeHead struct {
	platform.Store
	act func()
}

func (b *beforeHead) Put(ctx context.Context, name string, value json.RawMessage, ifVersion platform.Version) (platform.Version, error) {
	if act := b.act; act != nil && name == ticket.HeadObject {
		b.act = nil
		act()
	}
	return b.Store.Put(ctx, name, value, ifVersion)
}

// An operator gives an organisation its former limits back, whose part no head has named for an hour. Between the publisher's look
// at that part and its update of the head the sweeper deletes it. No host could take in a head that names a missing part: the
// configuration would stand still everywhere. A part that is named again must have a new version first.
func TestPartThatIsNamedAgainIsSpared(t *testing.T) {
	memory := standin.NewMemory()
	mustApply(t, testPublisher(memory), 1, 1)
	mustApply(t, testPublisher(memory), 2, 2)
	s := newPartSweeper(memory, heldFor{}, zerolog.Nop())
	now := time.Now()
	sweepAll(t, s, now)
	store := &beforeHead{Store: memory, act: func() { sweepAll(t, s, now.Add(2*partLife)) }}
	mustApply(t, testPublisher(store), 3, 1)
	if diff := cmp.Diff([]float64{1, 2}, weights(t, memory)); diff != "" {
		t.Error(diff)
	}
	if _, err := testPublisher(memory).read(t.Context()); err != nil {
		t.Errorf("the head names a part that is gone: %v", err)
	}
}

// afterPart does something after a part was written.
type afterPart struct {
	platform.Store
	act func()
}

func (a *afterPart) Put(ctx context.Context, name string, value json.RawMessage, ifVersion platform.Version) (platform.Version, error) {
	version, err := a.Store.Put(ctx, name, value, ifVersion)
	if act := a.act; act != nil && err == nil && name != ticket.HeadObject {
		a.act = nil
		act()
	}
	return version, err
}

// A host is stopped between a ticket's part and its head, and wakes after more than the sweeper's hour. Its update of the
// head would still succeed where no other ticket came, and name a part that is gone. The part must be written again first.
func TestPublisherThatWokeWritesItsPartsAgain(t *testing.T) {
	memory := standin.NewMemory()
	mustApply(t, testPublisher(memory), 1, 1)
	s := newPartSweeper(memory, heldFor{}, zerolog.Nop())
	clock := &virtual{now: time.Unix(0, 0)}
	store := &afterPart{Store: memory, act: func() {
		now := time.Now()
		sweepAll(t, s, now)
		sweepAll(t, s, now.Add(2*partLife))
		clock.now = clock.now.Add(2 * partLife)
	}}
	mustApply(t, NewPublisher(store, withTime(clock.clock, clock.sleep)), 2, 2)
	if _, err := testPublisher(memory).read(t.Context()); err != nil {
		t.Errorf("the head names a part that is gone: %v", err)
	}
}
