package leader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform"
)

// alternationWindow is how long a returning holder must not act after another holder: if holders act in the order A, B, A
// within three seconds, a receiver concludes that both believe they hold the lease. The receivers do not check fencing
// numbers.
const alternationWindow = 3500 * time.Millisecond

// heldCheckInterval is how often the holder checks during a call that it still may act.
const heldCheckInterval = 50 * time.Millisecond

// Keeper reports whether this entry holds the lease, as duty.Keeper does.
type Keeper interface {
	Held(now time.Time) (duty.Fence, bool)
}

// takeoverGuard decides whether this entry may act under its lease.
//
// Guards against alternating holders: a host that leaves or ends loses its lease, the next holder acts and is lost as well, and the first
// host, restarted by then, takes the lease back. Its actions before and after then enclose those of the other within moments. A host that
// takes the lease over from another one, and held it before, therefore waits until it can't have acted for alternationWindow.
type takeoverGuard struct {
	deps Deps
	mu   sync.Mutex
	held bool
	// lastHeld is when this process last held the lease. Before it has, it is when the process started: earlier processes of this host
	// acted before that.
	lastHeld time.Time
	// actFrom is when this holder may begin to act.
	actFrom time.Time
	// checks end the calls under way.
	checks conc.WaitGroup
}

// newTakeoverGuard returns the guard of a process that started at the given time, which must carry a monotonic reading.
func newTakeoverGuard(deps Deps, started time.Time) *takeoverGuard {
	return &takeoverGuard{deps: deps, lastHeld: started}
}

// mayAct returns the fence under which this entry holds the lease, and whether it may act at now.
func (g *takeoverGuard) mayAct(now time.Time) (duty.Fence, bool) {
	fence, held := g.deps.Keeper.Held(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if held && !g.held {
		g.actFrom = now
		if returns(fence.Past, g.deps.HostID) {
			g.actFrom = g.lastHeld.Add(alternationWindow)
		}
	}
	if held {
		g.lastHeld = now
	}
	g.held = held
	return fence, held && !now.Before(g.actFrom)
}

// returns reports whether the host held the lease before, and another one since.
func returns(past []lease.FormerHolder, hostID string) bool {
	return len(past) > 0 && past[len(past)-1].HostID != hostID &&
		slices.ContainsFunc(past, func(former lease.FormerHolder) bool { return former.HostID == hostID })
}

// begin returns a context for a call under the lease, which ends once this entry may not act any more, and the holder under whose name to make
// the call. It returns false if this entry may not act. The context must be cancelled.
//
// The deadline of the context isn't enough: it follows the monotonic clock, which doesn't count the time in which the host was suspended, and
// a lease that is released ends before.
func (g *takeoverGuard) begin(ctx context.Context) (context.Context, context.CancelFunc, platform.DutyHolder, bool) {
	holder, deadline, held := g.actingHolder()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	if held {
		g.checks.Go(func() {
			ticker.Every(ctx, heldCheckInterval, func(now time.Time) {
				if _, mayAct := g.mayAct(now); !mayAct {
					cancel()
				}
			})
		})
	}
	return ctx, cancel, holder, held
}

// actingHolder returns the holder under whose name to act now and the deadline for doing so; false if this entry may not act.
func (g *takeoverGuard) actingHolder() (platform.DutyHolder, time.Time, bool) {
	fence, mayAct := g.mayAct(time.Now())
	return platform.DutyHolder{HostID: g.deps.HostID, Fencing: fence.Tenure}, fence.Deadline, mayAct
}
