package agent

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

// fakeEngine carries out orders; the first fail[kind] orders of a kind fail.
type fakeEngine struct {
	mu      sync.Mutex
	orders  []WeightOrder
	fail    map[OrderKind]int
	version int
	ordered chan struct{}
	// cancelled receives the IDs of cancelled samples.
	cancelled chan string
	events    []backendserver.CacheEvent
}

func (e *fakeEngine) Cancel(_ context.Context, sampleID string) error {
	e.cancelled <- sampleID
	return nil
}

func (e *fakeEngine) CacheEvents(_ context.Context, after uint64) ([]backendserver.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var later []backendserver.CacheEvent
	for _, event := range e.events {
		if event.Sequence > after {
			later = append(later, event)
		}
	}
	return later, nil
}

func (e *fakeEngine) Load(context.Context) (EngineLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineLoad{Version: e.version}, nil
}

func (e *fakeEngine) Order(_ context.Context, order WeightOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	defer func() { e.ordered <- struct{}{} }()
	if e.fail[order.Kind] > 0 {
		e.fail[order.Kind]--
		return errors.New("swap failed")
	}
	if order.Kind == OrderSwitch {
		e.version = order.Version
	}
	return nil
}

// orderSummaries returns the kind and version of each order so far.
func (e *fakeEngine) orderSummaries() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	kinds := []string{}
	for _, order := range e.orders {
		kinds = append(kinds, fmt.Sprintf("%s %d", order.Kind, order.Version))
	}
	return kinds
}

func startModelHarness(t *testing.T, fail map[OrderKind]int, count int) (*harness, *fakeEngine) {
	t.Helper()
	engine := &fakeEngine{fail: fail, ordered: make(chan struct{}, 100), cancelled: make(chan string, 10)}
	h := &harness{config: &fakeConfiguration{}, engine: engine}
	h.config.set(t, ticket.KindModel, 0, map[string][]string{"a": {testKey}})
	startHarness(t, h, ticket.KindModel)
	h.config.set(t, ticket.KindModel, 7, map[string][]string{"a": {testKey}})
	for range count {
		<-engine.ordered
	}
	return h, engine
}

func newOrder(kind OrderKind) WeightOrder {
	return WeightOrder{Kind: kind, Model: "m", Version: 7, Weights: "w", Fencing: 2}
}

// The weight version changes and a step of the change fails. The engine would keep producing samples of the old version
// until they are too stale, and the trainer would wait. The agent must repeat the orders until the engine serves the
// new version, and must not report that version before.
func TestWeightOrders(t *testing.T) {
	prefetch, swap := newOrder(OrderPrefetch), newOrder(OrderSwitch)
	for _, tc := range []struct {
		name string
		fail map[OrderKind]int
		want []WeightOrder
	}{
		{name: "no failure", want: []WeightOrder{prefetch, swap}},
		{name: "prefetch fails", fail: map[OrderKind]int{OrderPrefetch: 1}, want: []WeightOrder{prefetch, prefetch, swap}},
		{
			name: "switch fails twice", fail: map[OrderKind]int{OrderSwitch: 2},
			want: []WeightOrder{prefetch, swap, prefetch, swap, prefetch, swap},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h, engine := startModelHarness(t, tc.fail, len(tc.want))
			for h.agent.Load().Version != 7 {
				h.waitForQueued(t, 0)
			}
			engine.mu.Lock()
			defer engine.mu.Unlock()
			if diff := cmp.Diff(tc.want, engine.orders); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// An engine crashes and restarts with its old weights. Its samples would carry the new version, and the trainer would
// use tokens of the old version as fresh ones. The agent must switch the engine again.
func TestEngineRestartsWithOldWeights(t *testing.T) {
	h, engine := startModelHarness(t, nil, 2)
	for h.agent.Load().Version != 7 {
		h.waitForQueued(t, 0)
	}
	engine.mu.Lock()
	engine.version = 6
	engine.mu.Unlock()
	<-engine.ordered
	<-engine.ordered
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.version != 7 {
		t.Errorf("the engine serves version %d", engine.version)
	}
}

// An upcoming version is announced before it is served, so that all servers can switch within seconds. The agent must
// prefetch it while the old version serves, and later send only the switch order.
func TestUpcomingWeightsArePrefetched(t *testing.T) {
	organisations := map[string][]string{"a": {testKey}}
	engine := &fakeEngine{ordered: make(chan struct{}, 100), cancelled: make(chan string, 10)}
	h := &harness{config: &fakeConfiguration{}, engine: engine}
	h.config.set(t, ticket.KindModel, 0, organisations)
	startHarness(t, h, ticket.KindModel)
	h.config.setWithUpcoming(t, ticket.KindModel, 6, 7, organisations)
	for range 3 {
		<-engine.ordered
	}
	for h.agent.Load().Prefetched != 7 {
		h.waitForQueued(t, 0)
	}
	if served := h.agent.Load().Version; served != 6 {
		t.Errorf("version %d is served before the switch, want 6", served)
	}
	h.config.set(t, ticket.KindModel, 7, organisations)
	<-engine.ordered
	for h.agent.Load().Version != 7 {
		h.waitForQueued(t, 0)
	}
	if diff := cmp.Diff([]string{"prefetch 6", "switch 6", "prefetch 7", "switch 7"}, engine.orderSummaries()); diff != "" {
		t.Error(diff)
	}
}

// Version 7 is announced and prefetched, then an operator sets version 6. The agent must prefetch version 6 before the
// switch: it once omitted that because a later version was loaded, and an engine that refuses such a switch
// keeps serving the old version for a while.
func TestOlderVersionIsPrefetchedBeforeSwitch(t *testing.T) {
	organisations := map[string][]string{"a": {testKey}}
	engine := &fakeEngine{ordered: make(chan struct{}, 100), cancelled: make(chan string, 10)}
	h := &harness{config: &fakeConfiguration{}, engine: engine}
	h.config.setWithUpcoming(t, ticket.KindModel, 0, 7, organisations)
	startHarness(t, h, ticket.KindModel)
	<-engine.ordered
	h.config.set(t, ticket.KindModel, 6, organisations)
	for h.agent.Load().Version != 6 {
		h.waitForQueued(t, 0)
	}
	if diff := cmp.Diff([]string{"prefetch 7", "prefetch 6", "switch 6"}, engine.orderSummaries()); diff != "" {
		t.Error(diff)
	}
}
