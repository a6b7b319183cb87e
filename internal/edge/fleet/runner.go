// Package fleet orders backend servers for one availability zone, as the duty serverOrders/{zone}. The package core/fleet
// makes the decisions.
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

// defaultInterval is the time between decisions: half the age from which a view counts as stale.
const defaultInterval = 2 * time.Second

// ErrNotHeld is returned if the lease is not held, or ended before the order was written.
var ErrNotHeld = errors.New("server orders lease not held")

// Keeper reports whether this process holds the duty, with the fencing number and the end of the term.
type Keeper interface {
	Held(now time.Time) (number platform.Version, deadline time.Time, ok bool)
}

// Deps are the dependencies of a Runner.
type Deps struct {
	Keeper Keeper
	Orders platform.ServerOrders
	// Gather returns the state of each pool in the zone, without Memory.
	Gather func(ctx context.Context, now time.Time) ([]fleet.State, error)
	// Drain tells an agent to accept no new work, or to accept work again.
	Drain func(ctx context.Context, request DrainRequest) error
}

// DrainRequest tells one agent to accept no new work, or to accept work again.
type DrainRequest struct {
	HostID  string
	Drain   bool
	Fencing platform.Version
}

// Option configures a Runner.
type Option func(*Runner)

// WithInterval sets the time between decisions.
func WithInterval(interval time.Duration) Option {
	return func(r *Runner) { r.interval = interval }
}

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option {
	return func(r *Runner) { r.log = log }
}

// WithClock replaces the clock.
func WithClock(clock func() time.Time) Option {
	return func(r *Runner) { r.clock = clock }
}

// Runner makes decisions and orders servers while it holds the lease. Only one goroutine uses its control state.
type Runner struct {
	zone     string
	hostID   string
	deps     Deps
	interval time.Duration
	log      zerolog.Logger
	clock    func() time.Time
	workers  conc.WaitGroup
	status   atomic.Pointer[Status]

	// fencing is the newest fencing number seen and deadline the end of its term. Both, and the state of the pools, are kept
	// across renewals.
	fencing  platform.Version
	deadline time.Time
	pools    map[string]*poolState
}

// poolState is what is known about a pool while the lease is held without interruption.
type poolState struct {
	memory fleet.Memory
	// drained are the hosts that confirmed a request to drain.
	drained map[string]bool
	// pending is an order that was decided on but is not confirmed yet.
	pending *platform.ServerOrder
	last    fleet.Decision
}

// New starts a runner for the zone. It ends with ctx.
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

// Wait returns once the runner has ended.
func (r *Runner) Wait() { r.workers.Wait() }

// leaseContinues reports whether the lease has been held without interruption since the last check, and records the newest
// fencing number.
//
// Each renewal has a higher number. A new number seen before the end of the last known term is a renewal, since a contender
// waits for longer than the term; one seen later may follow another holder's term. The clock is read after the lease, so that
// a pause between the two counts as an interruption.
func (r *Runner) leaseContinues() bool {
	number, deadline, held := r.deps.Keeper.Held(r.clock())
	now := r.clock()
	if !held || !now.Before(deadline) {
		return false
	}
	if number != r.fencing && !now.Before(r.deadline) {
		return false
	}
	r.fencing, r.deadline = number, deadline
	return true
}

// startTerm discards the state from an earlier lease, and reports whether the lease is held now.
func (r *Runner) startTerm() bool {
	number, deadline, held := r.deps.Keeper.Held(r.clock())
	r.fencing, r.deadline = number, deadline
	r.pools = map[string]*poolState{}
	return held
}

// round makes one decision for each pool.
func (r *Runner) round(ctx context.Context) {
	if !r.leaseContinues() && !r.startTerm() {
		r.publish(false)
		return
	}
	states, err := r.deps.Gather(ctx, r.clock())
	if err != nil {
		r.log.Warn().Err(err).Str("availabilityZone", r.zone).Msg("failed to gather server loads")
		return
	}
	for _, state := range states {
		if err := r.decide(ctx, state); err != nil {
			r.log.Warn().Err(err).Str("availabilityZone", r.zone).Str("pool", state.Pool).Msg("failed to order servers")
		}
	}
	r.publish(true)
}

// decide makes the decision for one pool and carries it out.
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
	r.updateDrains(ctx, pool, decision)
	if decision.Hold == fleet.HoldNone {
		pool.pending = &platform.ServerOrder{
			AvailabilityZone: r.zone,
			Pool:             state.Pool,
			Count:            decision.Count,
			Drained:          decision.Drained,
			Holder:           r.hostID,
		}
	}
	return r.writeOrder(ctx, pool)
}

// updateDrains asks hosts to drain or to accept work again, as decided. Only hosts that confirm a drain count as drained.
func (r *Runner) updateDrains(ctx context.Context, pool *poolState, decision fleet.Decision) {
	wanted := map[string]bool{}
	for _, id := range decision.Drain {
		wanted[id] = true
	}
	for _, stop := range decision.Memory.Stopped {
		wanted[stop.HostID] = true
	}
	for id := range pool.drained {
		if !wanted[id] && r.sendDrain(ctx, id, false) {
			delete(pool.drained, id)
		}
	}
	// An agent stops draining by itself after a time, so the request is repeated in each round.
	for id := range wanted {
		if r.sendDrain(ctx, id, true) {
			pool.drained[id] = true
		}
	}
}

// sendDrain sends a drain request to one agent, and reports whether the agent confirmed it.
func (r *Runner) sendDrain(ctx context.Context, id string, drain bool) bool {
	if err := r.deps.Drain(ctx, DrainRequest{HostID: id, Drain: drain, Fencing: r.fencing}); err != nil {
		r.log.Warn().Err(err).Str("hostId", id).Bool("drain", drain).Msg("failed to send drain request to agent")
		return false
	}
	return true
}

// writeOrder writes the pending order, if there is one.
//
// Guards against two holders: a process that is paused between the decision and the write may resume after its term, when
// another one already sends orders. The term is checked right before the write, the lease must have been held without
// interruption since the decision, and the write's deadline is the end of the term. The deadline is a point in time because a
// timeout computed before a pause would only start to run after it.
func (r *Runner) writeOrder(ctx context.Context, pool *poolState) error {
	if pool.pending == nil {
		return nil
	}
	order := *pool.pending
	if !r.leaseContinues() {
		return errors.Wrapf(ErrNotHeld, "pool %s", order.Pool)
	}
	order.Fencing = r.fencing
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if err := r.deps.Orders.Order(ctx, order); err != nil {
		return errors.Wrapf(err, "order %d servers of pool %s", order.Count, order.Pool)
	}
	pool.pending = nil
	return nil
}
