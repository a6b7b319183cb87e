// Package fleet gives the orders for backend servers of one availability zone, as the duty
// serverOrders/{zone}. The decisions are in core/fleet.
package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/fleet"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// defaultInterval between decisions: half the age at which a view counts as stale.
const defaultInterval = 2 * time.Second

// ErrNotHeld says that the lease isn't held, or ended before the order was written.
var ErrNotHeld = errors.New("lease for server orders not held")

// Keeper tells whether this process holds the duty, with the fencing number and the end of the term.
type Keeper interface {
	Held(now time.Time) (number platform.Version, deadline time.Time, ok bool)
}

// Deps are what the runner works with.
type Deps struct {
	Keeper Keeper
	Orders platform.ServerOrders
	// Gather returns the state of each pool of the zone, without Memory.
	Gather func(ctx context.Context, now time.Time) ([]fleet.State, error)
	// Drain tells an agent to take no new work, or to take work again.
	Drain func(ctx context.Context, pause Pause) error
}

// Pause is the order to one agent to take no new work, or to take work again.
type Pause struct {
	HostID  string
	Drain   bool
	Fencing platform.Version
}

// Option changes a Runner.
type Option func(*Runner)

// WithInterval sets the time between decisions.
func WithInterval(interval time.Duration) Option {
	return func(r *Runner) { r.interval = interval }
}

// WithLogger sets the log.
func WithLogger(log zerolog.Logger) Option {
	return func(r *Runner) { r.log = log }
}

// WithClock sets the source of the time.
func WithClock(clock func() time.Time) Option {
	return func(r *Runner) { r.clock = clock }
}

// Runner decides and orders while the lease is held. Its control state belongs to one goroutine.
type Runner struct {
	zone     string
	hostID   string
	deps     Deps
	interval time.Duration
	log      zerolog.Logger
	clock    func() time.Time
	workers  conc.WaitGroup
	status   atomic.Pointer[Status]

	// number is the newest fencing number seen and deadline the end of its term. Both are kept over
	// renewals, the pools' state with them.
	number   platform.Version
	deadline time.Time
	pools    map[string]*poolState
}

// poolState is what is known about a pool while the lease is held without a gap.
type poolState struct {
	memory fleet.Memory
	// drained are the hosts that were told to drain.
	drained map[string]bool
	// pending is an order that was decided and not yet confirmed.
	pending *platform.ServerOrder
	last    fleet.Decision
}

// New starts a runner for the zone; it ends with the context.
func New(ctx context.Context, zone, hostID string, deps Deps, opts ...Option) *Runner {
	r := &Runner{
		zone:     zone,
		hostID:   hostID,
		deps:     deps,
		interval: defaultInterval,
		log:      zerolog.Nop(),
		clock:    time.Now,
		pools:    map[string]*poolState{},
	}
	for _, opt := range opts {
		opt(r)
	}
	r.status.Store(&Status{AvailabilityZone: zone})
	r.workers.Go(func() {
		ticker := time.NewTicker(r.interval)
		defer ticker.Stop()
		for {
			r.round(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
	return r
}

// Wait returns when the runner has ended.
func (r *Runner) Wait() { r.workers.Wait() }

// renewed reports whether the lease is held and was held without a gap since the last look, and
// takes in the newest fencing number.
//
// Each renewal has a higher number. A number that is seen before the end of the last known term is a
// renewal, since a taker waits for longer than that; a later one may follow another holder's term.
// The clock is read after the lease, so that a pause between both counts as a gap.
func (r *Runner) renewed() bool {
	number, deadline, held := r.deps.Keeper.Held(r.clock())
	now := r.clock()
	if !held || !now.Before(deadline) {
		return false
	}
	if number != r.number && !now.Before(r.deadline) {
		return false
	}
	r.number, r.deadline = number, deadline
	return true
}

// begin forgets what was known under a lease that ended, and reports whether the lease is held anew.
func (r *Runner) begin() bool {
	number, deadline, held := r.deps.Keeper.Held(r.clock())
	r.number, r.deadline = number, deadline
	r.pools = map[string]*poolState{}
	return held
}

// round takes one decision for each pool.
func (r *Runner) round(ctx context.Context) {
	if !r.renewed() && !r.begin() {
		r.publish(false)
		return
	}
	states, err := r.deps.Gather(ctx, r.clock())
	if err != nil {
		r.log.Warn().Err(err).Str("availabilityZone", r.zone).Msg("gather loads")
		return
	}
	for _, state := range states {
		if err := r.decide(ctx, state); err != nil {
			r.log.Warn().Err(err).Str("availabilityZone", r.zone).Str("pool", state.Pool).Msg("order servers")
		}
	}
	r.publish(true)
}

// decide takes the decision for one pool and carries it out.
func (r *Runner) decide(ctx context.Context, state fleet.State) error {
	pool, ok := r.pools[state.Pool]
	if !ok {
		pool = &poolState{drained: map[string]bool{}}
		r.pools[state.Pool] = pool
	}
	state.Memory = pool.memory
	decision := fleet.Decide(r.clock(), state)
	pool.memory = decision.Memory
	pool.last = decision
	r.drain(ctx, pool, decision)
	if decision.Hold == fleet.HoldNone {
		pool.pending = &platform.ServerOrder{
			AvailabilityZone: r.zone,
			Pool:             state.Pool,
			Count:            decision.Count,
			Drained:          decision.Drained,
			Holder:           r.hostID,
		}
	}
	return r.order(ctx, pool)
}

// drain tells the hosts whose part changed. Only a host that confirmed counts as told.
func (r *Runner) drain(ctx context.Context, pool *poolState, decision fleet.Decision) {
	wanted := map[string]bool{}
	for _, id := range decision.Drain {
		wanted[id] = true
	}
	for _, stop := range decision.Memory.Stopped {
		wanted[stop.HostID] = true
	}
	for id := range pool.drained {
		if !wanted[id] && r.tell(ctx, id, false) {
			delete(pool.drained, id)
		}
	}
	// An agent's pause ends by itself, so it is told in each round.
	for id := range wanted {
		if r.tell(ctx, id, true) {
			pool.drained[id] = true
		}
	}
}

func (r *Runner) tell(ctx context.Context, id string, drain bool) bool {
	if err := r.deps.Drain(ctx, Pause{HostID: id, Drain: drain, Fencing: r.number}); err != nil {
		r.log.Warn().Err(err).Str("hostId", id).Bool("drain", drain).Msg("tell agent")
		return false
	}
	return true
}

// order writes the pending order. It guards against two holders: a process paused between decision
// and write may wake after its term, when another one already orders. The term is checked right
// before the write, the lease must have been held without a gap since the decision, and the write's
// deadline is the end of the term, so nothing is written after it. The deadline is a point in time: a
// timeout worked out before a pause would begin to run after it.
func (r *Runner) order(ctx context.Context, pool *poolState) error {
	if pool.pending == nil {
		return nil
	}
	order := *pool.pending
	if !r.renewed() {
		return errors.Wrapf(ErrNotHeld, "pool %s", order.Pool)
	}
	order.Fencing = r.number
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if err := r.deps.Orders.Order(ctx, order); err != nil {
		return errors.Wrapf(err, "order %d servers of pool %s", order.Count, order.Pool)
	}
	pool.pending = nil
	return nil
}
