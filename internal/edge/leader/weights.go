package leader

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/weights"
	"github.com/oleandershelf/oleandershelf/internal/edge/store"
	"github.com/oleandershelf/oleandershelf/platform"
)

const (
	// orderTimeout bounds one order to a server, including the read of the server's state.
	orderTimeout = 600 * time.Millisecond
	// orderRetryPause is how long a server that was busy or unreachable receives no further order.
	orderRetryPause = 400 * time.Millisecond
	// tokenRateDelay is how long a new holder ignores token rates: by then it has received a gossip message from every entry.
	tokenRateDelay = 3 * time.Second
)

// orderSender sends the planner's orders to load weights to the backend servers.
type orderSender struct {
	deps  Deps
	guard *takeoverGuard
	mu    sync.Mutex
	// planners are kept by pool; accepted is the number of orders that each server has accepted since its start, as far as
	// known.
	planners map[string]*weights.Planner
	accepted map[backend.Key]int
	retryAt  map[backend.Key]time.Time
	// planningSince is when this holder first had weight versions to plan for.
	planningSince time.Time
}

func newOrderSender(deps Deps, guard *takeoverGuard) *orderSender {
	s := &orderSender{deps: deps, guard: guard}
	s.clearState()
	return s
}

func (s *orderSender) clearState() {
	s.planners = map[string]*weights.Planner{}
	s.accepted = map[backend.Key]int{}
	s.retryAt = map[backend.Key]time.Time{}
	s.planningSince = time.Time{}
}

// reset forgets what was known under an earlier lease.
func (s *orderSender) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.planners) > 0 {
		s.clearState()
	}
}

// step sends the orders that are due in all pools.
func (s *orderSender) step(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.deps.View.Snapshot()
	if len(snapshot.Versions) == 0 {
		return
	}
	if s.planningSince.IsZero() {
		s.planningSince = now
	}
	var rates map[string]float64
	if now.Sub(s.planningSince) >= tokenRateDelay {
		rates = s.deps.TokenRates(now)
	}
	running := s.deps.Balancer.TotalRunning()
	engines := map[string][]weights.Engine{}
	for _, server := range snapshot.Servers {
		if len(server.Models) == 0 || s.deps.Balancer.Evacuated(server.ID) {
			continue
		}
		hold := now.Before(s.retryAt[server.Key()])
		engines[server.Pool] = append(engines[server.Pool], weights.Engine{Server: server, Running: running[server.ID], Hold: hold})
	}
	for pool, members := range engines {
		planner, ok := s.planners[pool]
		if !ok {
			planner = weights.NewPlanner()
			s.planners[pool] = planner
		}
		s.sendAll(ctx, now, planner, planner.Next(now, members, snapshot.Versions, rates))
	}
}

// orderResult is the outcome of one order.
type orderResult struct {
	order weights.Order
	// accepted is the count of accepted orders that was sent with this order.
	accepted int
	answer   platform.OrderAnswer
	err      error
	holder   platform.DutyHolder
	// took is how long the order was under way, and leaseLeft how long the lease was valid when it began.
	took, leaseLeft time.Duration
}

// sendAll sends orders to different servers concurrently.
func (s *orderSender) sendAll(ctx context.Context, now time.Time, planner *weights.Planner, orders []weights.Order) {
	results := make([]orderResult, len(orders))
	var sends conc.WaitGroup
	for i, order := range orders {
		accepted, known := s.accepted[order.Server.Key()]
		sends.Go(func() {
			began := time.Now()
			results[i] = s.send(ctx, order, accepted, known)
			results[i].took = time.Since(began)
		})
	}
	sends.Wait()
	for _, result := range results {
		s.recordResult(now, planner, result)
	}
}

// recordResult updates the planner and the known state of the server after an order.
func (s *orderSender) recordResult(now time.Time, planner *weights.Planner, result orderResult) {
	key := result.order.Server.Key()
	s.deps.Log.Info().Str("server", result.order.Server.ID).Str("model", result.order.Model).Int("version", result.order.Version).
		Uint8("answer", uint8(result.answer)).AnErr("cause", result.err).Uint64("fencing", uint64(result.holder.Fencing)).
		Dur("took", result.took).Dur("leaseLeft", result.leaseLeft).Msg("weight version ordered")
	switch {
	case result.answer == platform.OrderAccepted:
		planner.RecordOrder(now, result.order)
		s.accepted[key] = result.accepted + 1
	case result.answer == platform.OrderAlreadyApplied:
		planner.RecordOrder(now, result.order)
	case result.err != nil:
		// The server may have accepted the order, so its count of accepted orders must be read again.
		delete(s.accepted, key)
		s.retryAt[key] = now.Add(orderRetryPause)
	default:
		delete(s.accepted, key)
		planner.RecordRefusal(result.order)
		s.retryAt[key] = now.Add(orderRetryPause)
	}
}

// send sends one order under the lease, right after the server answered a read of its state. A network that is cut already thus holds up the
// read, and not the order, which would arrive after orders of a later holder. The count of accepted orders is taken from the answer unless it
// is known: the answer may be older than the last order.
func (s *orderSender) send(ctx context.Context, order weights.Order, accepted int, known bool) orderResult {
	result := orderResult{order: order}
	server := s.deps.ServerCarrier(order.Server)
	ctx, cancel, holder, held := s.guard.begin(ctx)
	defer cancel()
	if !held {
		return result
	}
	deadline, _ := ctx.Deadline()
	result.holder, result.leaseLeft = holder, time.Until(deadline)
	ctx, cancelCall := context.WithTimeout(ctx, orderTimeout)
	defer cancelCall()
	state, err := readState(ctx, server, order.Server.ID)
	if err != nil {
		result.err = err
		return result
	}
	if !known {
		accepted = state.AcceptedOrders
	}
	result.accepted = accepted
	call, err := platform.LoadWeights(holder, order.Server.ID,
		platform.WeightOrder{Model: order.Model, Version: order.Version, AcceptedOrders: accepted})
	if err != nil {
		result.err = err
		return result
	}
	reply, err := server.Send(ctx, call)
	if err != nil {
		result.err = err
		return result
	}
	result.answer = platform.ReadOrderAnswer(reply)
	return result
}

func readState(ctx context.Context, server store.Transport, serverID string) (platform.EngineState, error) {
	reply, err := server.Send(ctx, platform.ServerReport(serverID))
	if err != nil {
		return platform.EngineState{}, err
	}
	return platform.ReadServerReport(reply)
}
