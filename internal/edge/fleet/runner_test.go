package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/oleandershelf/oleandershelf/internal/core/fleet"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// fakeDeps acts as keeper, platform and agents.
type fakeDeps struct {
	mu       sync.Mutex
	now      time.Time
	fencing  platform.Version
	deadline time.Time
	// loseLeaseInGather ends the lease while the loads are gathered.
	loseLeaseInGather bool
	held              bool
	states            []fleet.State
	orders            []platform.ServerOrder
	// timeLeft is the time until the deadline of each order.
	timeLeft []time.Duration
	drained  []string
	err      error
}

func (f *fakeDeps) Held(time.Time) (platform.Version, time.Time, bool) {
	return f.fencing, f.deadline, f.held
}

func (f *fakeDeps) Order(ctx context.Context, order platform.ServerOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	deadline, _ := ctx.Deadline()
	f.timeLeft = append(f.timeLeft, time.Until(deadline))
	f.orders = append(f.orders, order)
	return f.err
}

func (f *fakeDeps) gather(context.Context, time.Time) ([]fleet.State, error) {
	if f.loseLeaseInGather {
		f.held = false
	}
	return f.states, nil
}

func (f *fakeDeps) drain(_ context.Context, request DrainRequest) error {
	f.drained = append(f.drained, fmt.Sprint(request.HostID, " ", request.Drain))
	return nil
}

func newFakeDeps() *fakeDeps {
	now := time.Now()
	f := &fakeDeps{now: now, fencing: 7, held: true, deadline: now.Add(4 * time.Second)}
	full := fleet.State{Pool: "p", MinServers: 1, MaxServers: 10, StartupTime: time.Minute, RefusedLoad: 100}
	full.Servers = []fleet.Server{{HostID: "s1", Running: 8, Limit: 8}, {HostID: "s2", Running: 8, Limit: 8}}
	f.states = []fleet.State{full}
	return f
}

// runner returns a runner whose rounds the test runs itself.
func (f *fakeDeps) runner() *Runner {
	r := &Runner{zone: "a", hostID: "h", clock: func() time.Time { return f.now }, pools: map[string]*poolState{}}
	r.deps = Deps{Keeper: f, Orders: f, Gather: f.gather, Drain: f.drain}
	return r
}

func TestOrderCarriesFencingNumber(t *testing.T) {
	f := newFakeDeps()
	f.runner().round(t.Context())
	want := []platform.ServerOrder{{AvailabilityZone: "a", Pool: "p", Count: 3, Fencing: 7, Holder: "h"}}
	if diff := cmp.Diff(want, f.orders); diff != "" {
		t.Fatal(diff)
	}
	if f.timeLeft[0] > 4*time.Second {
		t.Errorf("the write may take %v, which exceeds the term", f.timeLeft[0])
	}
}

// Guards against orders from two holders: the holder is paused between the decision and the write while its term ends and
// another host sends orders. When it resumes it must not write.
func TestNoOrderAfterTerm(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fakeDeps)
	}{
		{name: "not held", change: func(f *fakeDeps) { f.held = false }},
		{name: "lost while the loads were gathered", change: func(f *fakeDeps) { f.loseLeaseInGather = true }},
		{name: "at the end of the term", change: func(f *fakeDeps) { f.deadline = f.now }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeDeps()
			tt.change(f)
			f.runner().round(t.Context())
			if len(f.orders) != 0 {
				t.Errorf("orders = %v, want none", f.orders)
			}
		})
	}
}

// The lease is lost and taken again between two rounds, so the fencing number is new. An order decided under the old number
// must not be sent under the new one.
func TestPendingOrderIsDroppedWithLease(t *testing.T) {
	f := newFakeDeps()
	f.err = errors.WithStack(platform.ErrOutcomeUnknown)
	r := f.runner()
	r.round(t.Context())
	f.now = f.deadline.Add(time.Second)
	f.deadline = f.now.Add(4 * time.Second)
	f.states[0].RefusedLoad, f.fencing = 0, 9
	f.states[0].Servers[0].Running = 7
	r.round(t.Context())
	if len(f.orders) != 1 {
		t.Errorf("got %d orders, want only the first: %v", len(f.orders), f.orders)
	}
}

func TestOrderWithUnknownOutcomeIsRepeated(t *testing.T) {
	f := newFakeDeps()
	f.err = errors.WithStack(platform.ErrOutcomeUnknown)
	r := f.runner()
	r.round(t.Context())
	f.err = nil
	f.states[0].HostListAge = time.Minute
	r.round(t.Context())
	r.round(t.Context())
	if len(f.orders) != 2 || !cmp.Equal(f.orders[0], f.orders[1]) {
		t.Errorf("orders = %v, want the same order twice", f.orders)
	}
}

func TestDrainsBeforeOrderingFewer(t *testing.T) {
	f := newFakeDeps()
	f.states[0].RefusedLoad, f.states[0].Servers[0].Running, f.states[0].Servers[1].Running = 0, 0, 1
	r := f.runner()
	for range 70 {
		f.now = f.now.Add(2 * time.Second)
		f.deadline = f.now.Add(4 * time.Second)
		r.round(t.Context())
	}
	if len(f.orders) != 0 {
		t.Fatalf("orders before the drain was confirmed: %v", f.orders)
	}
	f.states[0].Servers[0].Draining = true
	sent := len(f.drained)
	r.round(t.Context())
	if len(f.drained) != sent+1 {
		t.Errorf("%d drain requests in a round, want one, since an agent stops draining by itself", len(f.drained)-sent)
	}
	want := []platform.ServerOrder{{AvailabilityZone: "a", Pool: "p", Count: 1, Drained: []string{"s1"}, Fencing: 7, Holder: "h"}}
	if diff := cmp.Diff(want, f.orders); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"s1 true"}, slices.Compact(f.drained)); diff != "" {
		t.Error(diff)
	}
}

func TestRunnerEndsWithItsContext(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFakeDeps()
	ctx, cancel := context.WithCancel(t.Context())
	r := New(ctx, "a", "h", f.runner().deps, WithInterval(time.Millisecond), WithClock(func() time.Time { return f.now }))
	cancel()
	r.Wait()
	if _, ok := r.State().(*Status); !ok {
		t.Errorf("State() has type %T", r.State())
	}
}
