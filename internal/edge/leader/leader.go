// Package leader carries out what one entry at a time does for all: it reports usage, orders weight versions, and says which
// hosts may be taken away. The right to do so is a lease in the platform's store.
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

// Lease is the name of the lease under which all duties of a deployment stand. At this size one holder saves calls to the
// store; docs/CAPACITY.md says how the duties split.
const Lease = "duties"

// Timing of the lease. The holder stops 3.3 s after its last renewal began, a taker waits 4.7 s after it saw that renewal;
// a receiver that ignores fencing numbers counts holders that take turns within 3 s, and an order is under way for less than
// the second and a half between.
func Timing() lease.Timing {
	return lease.Timing{Term: 4 * time.Second, Renew: 1300 * time.Millisecond, Margin: 700 * time.Millisecond}
}

const (
	// pace is how often the holder looks for work.
	pace = 200 * time.Millisecond
	// retirementPause is how often the holder asks for hosts to be emptied.
	retirementPause = 3 * time.Second
)

// Deps is what the duties stand on.
type Deps struct {
	HostID string
	Keeper Keeper
	Store  *store.Store
	// Reports is the platform's interface that takes usage reports.
	Reports store.Carrier
	// Engines returns a carrier to a backend server.
	Engines func(backend.Server) store.Carrier
	View    *view.View
	Book    *backend.Balancer
	Ledger  *usage.Ledger
	// Sweep removes what nobody may ask for any more; SweepPause is how often.
	Sweep      func(ctx context.Context, now time.Time) error
	SweepPause time.Duration
	// Missing says whether an entry fell silent lately, whose counts may still come.
	Missing func(now time.Time) bool
	// TokenRates returns the recent peak of the token rate that the jobs of each model require.
	TokenRates func(now time.Time) map[string]float64
	Window     time.Duration
	Log        zerolog.Logger
}

// Leader is the work of the holder.
type Leader struct {
	deps    Deps
	work    conc.WaitGroup
	reports *reporter
	weights *weightOrders
	turn    *turn
	// held is set while this entry acts under the lease, for the log.
	held        bool
	retirements time.Time
}

// New carries out the duties whenever the keeper holds them, until ctx ends.
func New(ctx context.Context, deps Deps) *Leader {
	l := &Leader{deps: deps}
	l.turn = newTurn(deps)
	l.reports = newReporter(deps, l.turn)
	l.weights = newWeightOrders(deps, l.turn)
	l.work.Go(func() { ticker.Every(ctx, pace, func(now time.Time) { l.step(ctx, now) }) })
	l.work.Go(func() { l.followVersions(ctx) })
	l.work.Go(func() { ticker.Every(ctx, deps.SweepPause, func(now time.Time) { l.sweep(ctx, now) }) })
	return l
}

// Wait returns once all goroutines have ended, after the context has.
func (l *Leader) Wait() { l.work.Wait() }

func (l *Leader) step(ctx context.Context, now time.Time) {
	fence, held := l.turn.acts(now)
	if held != l.held {
		l.held = held
		l.deps.Log.Info().Bool("held", held).Uint64("fencing", uint64(fence.Number)).Time("until", fence.Deadline).Msg("duties")
	}
	if !held {
		l.reports.rest()
		l.weights.rest()
		return
	}
	l.reports.step(ctx, now)
	if now.Sub(l.retirements) > retirementPause {
		l.retirements = now
		l.retire(ctx)
	}
}

func (l *Leader) sweep(ctx context.Context, now time.Time) {
	if _, acts := l.turn.acts(now); !acts {
		return
	}
	if err := l.deps.Sweep(ctx, now); err != nil {
		l.deps.Log.Warn().Err(err).Msg("sweep broken off")
	}
}

// followVersions gives weight orders as soon as a version is named or a server has loaded, and now and then.
func (l *Leader) followVersions(ctx context.Context) {
	for ctx.Err() == nil {
		changed := l.deps.View.Changed()
		if _, held := l.turn.acts(time.Now()); held {
			l.weights.step(ctx, time.Now())
		}
		timer := time.NewTimer(pace)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// retire says of every host to be emptied that it holds nothing: what must last is in the store.
func (l *Leader) retire(ctx context.Context) {
	hosts, _, err := l.deps.Store.OpenRetirements(ctx)
	if err != nil {
		l.deps.Log.Debug().Err(err).Msg("retirements not read")
		return
	}
	for _, host := range hosts {
		err := l.deps.Store.Retired(ctx, host)
		l.deps.Log.Info().Str("host", host).AnErr("store", err).Msg("host may be taken away")
	}
}
