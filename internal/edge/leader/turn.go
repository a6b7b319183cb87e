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
// Guards against alternating holders: a host that leaves releases its lease, the next holder acts and leaves as well, and the
// first host, restarted by then, takes the lease back. Its actions before and after then enclose those of the other within
// moments. A host that takes the lease over from another one therefore waits until its own last tenure, which is recorded in
// the lease, ended long enough ago.
type takeoverGuard struct {
	deps Deps
	mu   sync.Mutex
	held bool
	// actFrom is when this holder may begin to act.
	actFrom time.Time
	// checks end the calls under way.
	checks conc.WaitGroup
}

func newTakeoverGuard(deps Deps) *takeoverGuard { return &takeoverGuard{deps: deps} }

// mayAct returns the fence under which this entry holds the lease, and whether it may act at now.
func (g *takeoverGuard) mayAct(now time.Time) (duty.Fence, bool) {
	fence, held := g.deps.Keeper.Held(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if held && !g.held {
		g.actFrom = now.Add(takeoverDelay(fence.Past, g.deps.HostID, now))
	}
	g.held = held
	return fence, held && !now.Before(g.actFrom)
}

// takeoverDelay returns how long the host must wait before it acts after other hosts held the lease. If the host itself was
// the most recent holder it need not wait, since nobody else acted in between. The delay is at most alternationWindow, even if
// a clock was stepped.
func takeoverDelay(past []lease.Tenure, hostID string, now time.Time) time.Duration {
	if len(past) == 0 || past[len(past)-1].HostID == hostID {
		return 0
	}
	for _, tenure := range slices.Backward(past) {
		if tenure.HostID == hostID {
			return min(alternationWindow, max(0, alternationWindow-now.Round(0).Sub(tenure.Until)))
		}
	}
	return 0
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
