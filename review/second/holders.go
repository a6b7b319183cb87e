package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	holderEngines = 9
	// versionInterval is the time between two versions that the trainer names, and loadTime how long a server loads one.
	versionInterval = 4 * time.Second
	loadTime        = 900 * time.Millisecond
	cutCount        = 4
	cutTime         = 2500 * time.Millisecond
	cutPause        = 4500 * time.Millisecond
	// healedTime is how long after the end of a cut orders don't count: 300 ms by the rule, and twice the time in which orders are noticed.
	healedTime = 300*time.Millisecond + 2*pollInterval
)

// orderLog holds the orders to each server in the order of their arrival.
type orderLog struct {
	mu       sync.Mutex
	received map[string][]receivedOrder
	healedAt time.Time
}

// receivedOrder is an order that reached a server. It is excused if it came right after the end of a cut.
type receivedOrder struct {
	platformtest.Order

	excused bool
}

func (l *orderLog) add(server string, order platformtest.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received[server] = append(l.received[server], receivedOrder{Order: order, excused: time.Since(l.healedAt) < healedTime})
}

func (l *orderLog) healed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healedAt = time.Now()
}

// twoHolders cuts two gateways off from each other by resets while servers are ordered to load weights. No order may reach a server with a lower
// fencing token than one before.
func twoHolders(w *world) (bool, error) {
	var engines []*platformtest.Server
	for i := range holderEngines {
		engine := platformtest.NewServer(&w.cleanups, fmt.Sprintf("engine-%d", i), "engines", map[string]int{model: 1})
		engines = append(engines, engine)
		w.store.Register(engine, false)
	}
	w.store.Configure(1, hostName, model, []platformtest.Route{
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: routeTimeout},
	}, map[string][]string{organisation: {apiKey}})
	w.linked = true
	if err := w.addGateways(2); err != nil {
		return false, err
	}
	var background conc.WaitGroup
	ctx, stop := context.WithCancel(w.ctx)
	background.Go(func() { w.nameVersions(ctx) })
	log := &orderLog{received: map[string][]receivedOrder{}}
	for _, engine := range engines {
		background.Go(func() { w.registerLoads(ctx, log, engine) })
	}
	ticker.Sleep(ctx, 2*versionInterval)
	for range cutCount {
		if w.trouble {
			for _, g := range w.gateways {
				g.link.cut()
			}
			w.note("the gateways are cut off from each other")
		}
		ticker.Sleep(ctx, cutTime)
		if w.trouble {
			for _, g := range w.gateways {
				if err := g.link.heal(); err != nil {
					stop()
					return false, err
				}
			}
			log.healed()
			w.note("the cut has ended")
		}
		ticker.Sleep(ctx, cutPause)
	}
	stop()
	background.Wait()
	return w.checkOrders(log), nil
}

// nameVersions names the versions of the model as its trainer does.
func (w *world) nameVersions(ctx context.Context) {
	for version := 2; ticker.Sleep(ctx, versionInterval); version++ {
		w.store.PutModelVersion(model, version)
		w.note("version %d is named", version)
	}
}

// registerLoads has a server register its weights some time after each order, as a real one does once it has loaded them.
func (w *world) registerLoads(ctx context.Context, log *orderLog, engine *platformtest.Server) {
	known, received := 0, 0
	for ticker.Sleep(ctx, pollInterval) {
		for _, order := range engine.ReceivedOrders()[received:] {
			w.note("%s got the order to load version %d from %s, fence %d", engine.ID, order.Version, order.Holder, order.FenceToken)
			log.add(engine.ID, order)
			received++
		}
		if orders := len(engine.Orders()); orders != known {
			known = orders
			time.AfterFunc(loadTime, func() { w.store.Register(engine, false) })
		}
	}
}

// checkOrders reports whether the fencing tokens of the orders to each server never fell.
func (w *world) checkOrders(log *orderLog) bool {
	held := true
	count := 0
	for server, orders := range log.received {
		highest := receivedOrder{}
		for _, order := range orders {
			count++
			switch {
			case order.FenceToken >= highest.FenceToken:
				highest = order
			case !order.excused:
				held = false
				w.note("%s got an order from %s with fence %d after one from %s with fence %d", server, order.Holder, order.FenceToken,
					highest.Holder, highest.FenceToken)
			}
		}
	}
	w.note("%d orders", count)
	return held
}
