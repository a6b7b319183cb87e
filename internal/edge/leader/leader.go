// Package leader does the work that one entry, a process that accepts client requests, does at a time for all entries: it
// reports usage, orders servers to load weight versions, and reports which hosts may be removed. The right to do so is a lease
// in the platform's store.
package leader

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/store"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/internal/edge/view"
)

// LeaseName is the name of the single lease for all of this work. One holder needs fewer store calls than one for each kind of
// work; docs/CAPACITY.md describes how the work could be split.
const LeaseName = "duties"

// LeaseTiming returns the timing of the lease. The holder stops 3.3 s after its last renewal began, and its calls end with it, even if it is
// paused. A contender waits for 4 s after it saw that renewal.
func LeaseTiming() lease.Timing {
	return lease.Timing{Term: 3650 * time.Millisecond, Renew: 1300 * time.Millisecond, Margin: 350 * time.Millisecond}
}

const (
	// stepInterval is how often the holder checks for work.
	stepInterval = 200 * time.Millisecond
	// retirementInterval is how often the holder reads which hosts are to be retired.
	retirementInterval = 3 * time.Second
)

// Deps are the dependencies of a Leader.
type Deps struct {
	HostID string
	Keeper Keeper
	Store  *store.Store
	// Reports sends calls to the platform's interface for usage reports, which must not arrive after their deadline.
	Reports store.Transport
	// ServerCarrier returns the transport for calls to a backend server, which must not arrive after their deadline.
	ServerCarrier func(backend.Server) store.Transport
	View          *view.View
	Balancer      *backend.Balancer
	Ledger        *usage.Ledger
	// Sweep deletes stored data that can no longer be requested. It runs every SweepPause.
	Sweep      func(ctx context.Context, now time.Time) error
	SweepPause time.Duration
	// CountsMissing reports whether contact with an entry was lost recently, so that its usage counts may still arrive.
	CountsMissing func(now time.Time) bool
	// TokenRates returns, by model, the recent peak of the token rate that its jobs require.
	TokenRates func(now time.Time) map[string]float64
	// Window is the length of a usage window.
	Window time.Duration
	Log    zerolog.Logger
}

// Leader does the holder's work while this entry holds the lease.
type Leader struct {
	deps    Deps
	cancel  context.CancelFunc
	work    conc.WaitGroup
	reports *reporter
	orders  *orderSender
	guard   *takeoverGuard
	// acting is whether this entry acted under the lease at the last step; changes are logged.
	acting              bool
	lastRetirementCheck time.Time
}

// New does the work whenever the keeper holds the lease, until ctx ends.
func New(ctx context.Context, deps Deps) *Leader {
	ctx, cancel := context.WithCancel(ctx)
	l := &Leader{deps: deps, cancel: cancel}
	l.guard = newTakeoverGuard(deps, time.Now())
	l.reports = newReporter(deps, l.guard)
	l.orders = newOrderSender(deps, l.guard)
	l.work.Go(func() { ticker.Every(ctx, stepInterval, func(now time.Time) { l.step(ctx, now) }) })
	l.work.Go(func() { l.followVersions(ctx) })
	l.work.Go(func() { ticker.Every(ctx, deps.SweepPause, func(now time.Time) { l.sweep(ctx, now) }) })
	return l
}

// Stop ends all work, the calls under way included, and returns once it has ended. The lease can be released then.
func (l *Leader) Stop() {
	l.cancel()
	l.Wait()
}

// Wait returns once all goroutines have ended, after the context has.
func (l *Leader) Wait() {
	l.work.Wait()
	l.guard.checks.Wait()
}

// step reports usage and retirements if this entry may act.
func (l *Leader) step(ctx context.Context, now time.Time) {
	fence, mayAct := l.guard.mayAct(now)
	if mayAct != l.acting {
		l.acting = mayAct
		l.deps.Log.Info().Bool("held", mayAct).Uint64("fencing", uint64(fence.Tenure)).Uint64("renewal", uint64(fence.Number)).Time("until", fence.Deadline).Msg("duties")
	}
	if !mayAct {
		l.reports.reset()
		l.orders.reset()
		return
	}
	l.reports.step(ctx, now)
	if now.Sub(l.lastRetirementCheck) > retirementInterval {
		l.lastRetirementCheck = now
		l.reportRetirements(ctx)
	}
}

// sweep deletes obsolete stored data if this entry may act.
func (l *Leader) sweep(ctx context.Context, now time.Time) {
	if _, mayAct := l.guard.mayAct(now); !mayAct {
		return
	}
	if err := l.deps.Sweep(ctx, now); err != nil {
		l.deps.Log.Warn().Err(err).Msg("failed to sweep stored data")
	}
}

// followVersions sends weight orders at each change of the view, such as a new version or a server that has loaded one, and at
// least every stepInterval.
func (l *Leader) followVersions(ctx context.Context) {
	for ctx.Err() == nil {
		changed := l.deps.View.Changed()
		if _, mayAct := l.guard.mayAct(time.Now()); mayAct {
			l.orders.step(ctx, time.Now())
		}
		timer := time.NewTimer(stepInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// reportRetirements reports every host with an open retirement as drained, without a check: all data that must outlive the host is in the
// store.
func (l *Leader) reportRetirements(ctx context.Context) {
	hosts, _, err := l.deps.Store.OpenRetirements(ctx)
	if err != nil {
		l.deps.Log.Debug().Err(err).Msg("failed to read retirements")
		return
	}
	for _, host := range hosts {
		err := l.deps.Store.ReportRetired(ctx, host)
		l.deps.Log.Info().Str("host", host).AnErr("store", err).Msg("host reported as empty")
	}
}
