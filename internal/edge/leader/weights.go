package leader

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/weights"
	"github.com/oleandershelf/oleandershelf/platform"
)

const (
	// orderTimeout bounds one order to a server.
	orderTimeout = 600 * time.Millisecond
	// orderRetry is how long a server that was busy or could not be reached isn't ordered again.
	orderRetry = 400 * time.Millisecond
	// tokenRateDelay is how long a new holder ignores token rates: by then it has received a beat of every entry.
	tokenRateDelay = 3 * time.Second
)

// weightOrders gives the planner's orders to the backend servers.
type weightOrders struct {
	deps Deps
	turn *turn
	mu   sync.Mutex
	// planners are kept by pool; accepted is how many orders each server has accepted since its start, as far as known.
	planners map[string]*weights.Planner
	accepted map[backend.Key]int
	notNow   map[backend.Key]time.Time
	// started is the time of this holder's first step with a plan.
	started time.Time
}

func newWeightOrders(deps Deps, turn *turn) *weightOrders {
	w := &weightOrders{deps: deps, turn: turn}
	w.forget()
	return w
}

func (w *weightOrders) forget() {
	w.planners = map[string]*weights.Planner{}
	w.accepted = map[backend.Key]int{}
	w.notNow = map[backend.Key]time.Time{}
	w.started = time.Time{}
}

// rest forgets what was known under an earlier lease.
func (w *weightOrders) rest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.planners) > 0 {
		w.forget()
	}
}

// step gives the orders that are due in all pools.
func (w *weightOrders) step(ctx context.Context, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	snapshot := w.deps.View.Now()
	if len(snapshot.Versions) == 0 {
		return
	}
	if w.started.IsZero() {
		w.started = now
	}
	var rates map[string]float64
	if now.Sub(w.started) >= tokenRateDelay {
		rates = w.deps.TokenRates(now)
	}
	running := w.deps.Book.TotalRunning()
	engines := map[string][]weights.Engine{}
	for _, server := range snapshot.Servers {
		if len(server.Models) == 0 {
			continue
		}
		hold := now.Before(w.notNow[server.Key()])
		engines[server.Pool] = append(engines[server.Pool], weights.Engine{Server: server, Running: running[server.ID], Hold: hold})
	}
	for pool, members := range engines {
		planner, ok := w.planners[pool]
		if !ok {
			planner = weights.NewPlanner()
			w.planners[pool] = planner
		}
		w.give(ctx, now, planner, planner.Next(now, members, snapshot.Versions, rates))
	}
}

// outcomes of orders, by server.
type given struct {
	order weights.Order
	// accepted is the count of accepted orders that was sent with this order.
	accepted int
	answer   platform.OrderAnswer
	err      error
}

// give sends orders to different servers side by side.
func (w *weightOrders) give(ctx context.Context, now time.Time, planner *weights.Planner, orders []weights.Order) {
	results := make([]given, len(orders))
	var sends conc.WaitGroup
	for i, order := range orders {
		accepted, known := w.accepted[order.Server.Key()]
		sends.Go(func() { results[i] = w.send(ctx, order, accepted, known) })
	}
	sends.Wait()
	for _, result := range results {
		w.take(now, planner, result)
	}
}

// take learns from the answer to an order.
func (w *weightOrders) take(now time.Time, planner *weights.Planner, result given) {
	key := result.order.Server.Key()
	w.deps.Log.Info().Str("server", result.order.Server.ID).Str("model", result.order.Model).Int("version", result.order.Version).
		Uint8("answer", uint8(result.answer)).AnErr("cause", result.err).Msg("weights ordered")
	switch {
	case result.answer == platform.OrderAccepted:
		planner.RecordOrder(now, result.order)
		w.accepted[key] = result.accepted + 1
	case result.answer == platform.OrderHolds:
		planner.RecordOrder(now, result.order)
	case result.err != nil:
		// The order may have been accepted: how many the server has accepted must be asked again.
		delete(w.accepted, key)
		w.notNow[key] = now.Add(orderRetry)
	default:
		delete(w.accepted, key)
		planner.RecordRefusal(result.order)
		w.notNow[key] = now.Add(orderRetry)
	}
}

// send gives one order under the lease.
func (w *weightOrders) send(ctx context.Context, order weights.Order, accepted int, known bool) given {
	result := given{order: order}
	server := w.deps.Engines(order.Server)
	who, end, held := w.turn.holder()
	if !held {
		return result
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	ctx, cancelCall := context.WithTimeout(ctx, orderTimeout)
	defer cancelCall()
	if !known {
		reply, err := server.Carry(ctx, platform.ServerReport(order.Server.ID))
		if err != nil {
			result.err = err
			return result
		}
		state, err := platform.ReadServerReport(reply)
		if err != nil {
			result.err = err
			return result
		}
		accepted = state.Accepted
	}
	result.accepted = accepted
	call, err := platform.LoadWeights(who, order.Server.ID, platform.WeightOrder{Model: order.Model, Version: order.Version, Accepted: accepted})
	if err != nil {
		result.err = err
		return result
	}
	reply, err := server.Carry(ctx, call)
	if err != nil {
		result.err = err
		return result
	}
	result.answer = platform.ReadOrder(reply)
	return result
}
