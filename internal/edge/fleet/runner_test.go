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

// fake is keeper, platform and agents in one.
type fake struct {
	mu       sync.Mutex
	now      time.Time
	number   platform.Version
	deadline time.Time
	// lapse, if set, ends the lease when the loads have been gathered.
	lapse   bool
	held    bool
	states  []fleet.State
	orders  []platform.ServerOrder
	ended   []time.Duration
	drained []string
	err     error
}

func (f *fake) Held(time.Time) (platform.Version, time.Time, bool) {
	return f.number, f.deadline, f.held
}

func (f *fake) Order(ctx context.Context, order platform.ServerOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	deadline, _ := ctx.Deadline()
	f.ended = append(f.ended, time.Until(deadline))
	f.orders = append(f.orders, order)
	return f.err
}

func (f *fake) gather(context.Context, time.Time) ([]fleet.State, error) {
	if f.lapse {
		f.held = false
	}
	return f.states, nil
}

func (f *fake) drain(_ context.Context, pause Pause) error {
	f.drained = append(f.drained, fmt.Sprint(pause.HostID, " ", pause.Drain))
	return nil
}

func newFake() *fake {
	now := time.Now()
	f := &fake{now: now, number: 7, held: true, deadline: now.Add(4 * time.Second)}
	full := fleet.State{Pool: "p", MinServers: 1, MaxServers: 10, StartupTime: time.Minute, RefusedLoad: 100}
	full.Servers = []fleet.Server{{HostID: "s1", Running: 8, Limit: 8}, {HostID: "s2", Running: 8, Limit: 8}}
	f.states = []fleet.State{full}
	return f
}

// runner returns a runner whose rounds the test calls itself.
func (f *fake) runner() *Runner {
	r := &Runner{zone: "a", hostID: "h", clock: func() time.Time { return f.now }, pools: map[string]*poolState{}}
	r.deps = Deps{Keeper: f, Orders: f, Gather: f.gather, Drain: f.drain}
	return r
}

func TestOrderCarriesTheFence(t *testing.T) {
	f := newFake()
	f.runner().round(t.Context())
	want := []platform.ServerOrder{{AvailabilityZone: "a", Pool: "p", Count: 3, Fencing: 7, Holder: "h"}}
	if diff := cmp.Diff(want, f.orders); diff != "" {
		t.Fatal(diff)
	}
	if f.ended[0] > 4*time.Second {
		t.Errorf("the write may take %v, beyond the end of the term", f.ended[0])
	}
}

// The holder is paused between the decision and the write; meanwhile its term ends and another host
// orders. When it wakes it must not write, else the platform has orders from two holders.
func TestNoOrderAfterTheTerm(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fake)
	}{
		{name: "not held", change: func(f *fake) { f.held = false }},
		{name: "lapsed while the loads were gathered", change: func(f *fake) { f.lapse = true }},
		{name: "at the end of the term", change: func(f *fake) { f.deadline = f.now }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFake()
			tt.change(f)
			f.runner().round(t.Context())
			if len(f.orders) != 0 {
				t.Errorf("ordered %v", f.orders)
			}
		})
	}
}

// The lease was lost and taken again between two rounds, so the fencing number is new. What was
// decided under the old number must not go out under the new one.
func TestPendingOrderEndsWithItsLease(t *testing.T) {
	f := newFake()
	f.err = errors.WithStack(platform.ErrUnsettled)
	r := f.runner()
	r.round(t.Context())
	f.now = f.deadline.Add(time.Second)
	f.deadline = f.now.Add(4 * time.Second)
	f.states[0].RefusedLoad, f.number = 0, 9
	f.states[0].Servers[0].Running = 7
	r.round(t.Context())
	if len(f.orders) != 1 {
		t.Errorf("%d orders, want only the first: %v", len(f.orders), f.orders)
	}
}

func TestUnsettledOrderIsRepeated(t *testing.T) {
	f := newFake()
	f.err = errors.WithStack(platform.ErrUnsettled)
	r := f.runner()
	r.round(t.Context())
	f.err = nil
	f.states[0].HostListAge = time.Minute
	r.round(t.Context())
	r.round(t.Context())
	if len(f.orders) != 2 || !cmp.Equal(f.orders[0], f.orders[1]) {
		t.Errorf("got %v, want the same order twice", f.orders)
	}
}

func TestDrainsBeforeItOrdersFewer(t *testing.T) {
	f := newFake()
	f.states[0].RefusedLoad, f.states[0].Servers[0].Running, f.states[0].Servers[1].Running = 0, 0, 1
	r := f.runner()
	for range 70 {
		f.now = f.now.Add(2 * time.Second)
		f.deadline = f.now.Add(4 * time.Second)
		r.round(t.Context())
	}
	if len(f.orders) != 0 {
		t.Fatalf("ordered %v before the drain was confirmed", f.orders)
	}
	f.states[0].Servers[0].Draining = true
	told := len(f.drained)
	r.round(t.Context())
	if len(f.drained) != told+1 {
		t.Errorf("told %d times in a round, want once: the agent's pause ends by itself", len(f.drained)-told)
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
	f := newFake()
	ctx, cancel := context.WithCancel(t.Context())
	r := New(ctx, "a", "h", f.runner().deps, WithInterval(time.Millisecond), WithClock(func() time.Time { return f.now }))
	cancel()
	r.Wait()
	if _, ok := r.State().(*Status); !ok {
		t.Errorf("state %T", r.State())
	}
}
