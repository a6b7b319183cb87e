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

// fakeEngine carries out orders unless it is told to fail.
type fakeEngine struct {
	mu      sync.Mutex
	orders  []WeightOrder
	fail    map[OrderKind]int
	version int
	ordered chan struct{}
	// cancelled receives the samples that were cancelled.
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

// kinds returns the orders so far, each with its version.
func (e *fakeEngine) kinds() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	kinds := []string{}
	for _, order := range e.orders {
		kinds = append(kinds, fmt.Sprintf("%s %d", order.Kind, order.Version))
	}
	return kinds
}

func startWeights(t *testing.T, fail map[OrderKind]int, count int) (*bench, *fakeEngine) {
	t.Helper()
	engine := &fakeEngine{fail: fail, ordered: make(chan struct{}, 100), cancelled: make(chan string, 10)}
	b := &bench{config: &configuration{}, engine: engine}
	b.config.set(t, ticket.KindModel, 0, map[string][]string{"a": {testKey}})
	startBench(t, b, ticket.KindModel)
	b.config.set(t, ticket.KindModel, 7, map[string][]string{"a": {testKey}})
	for range count {
		<-engine.ordered
	}
	return b, engine
}

func order(kind OrderKind) WeightOrder {
	return WeightOrder{Kind: kind, Model: "m", Version: 7, Weights: "w", Fencing: 2}
}

// Weights change and a swap fails at some step. Samples of the old version would go on until they are
// too stale, and the trainer would wait. The agent must give the orders again until the engine
// serves the new version, and must not report it before.
func TestWeightOrders(t *testing.T) {
	prefetch, swap := order(OrderPrefetch), order(OrderSwitch)
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
			b, engine := startWeights(t, tc.fail, len(tc.want))
			for b.agent.Load().Version != 7 {
				b.untilQueued(t, 0)
			}
			engine.mu.Lock()
			defer engine.mu.Unlock()
			if diff := cmp.Diff(tc.want, engine.orders); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// An engine crashes and comes back with its old weights. Its samples would name the new version, and
// tokens of the old one would be trained on as fresh. The agent must switch it again.
func TestEngineRestartsWithOldWeights(t *testing.T) {
	b, engine := startWeights(t, nil, 2)
	for b.agent.Load().Version != 7 {
		b.untilQueued(t, 0)
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

// New weights are announced before they are to serve, so that all servers can switch within seconds. The
// agent must have them loaded while the old ones serve, and give only the switch when the version is to serve.
func TestAnnouncedWeightsAreLoadedFirst(t *testing.T) {
	organisations := map[string][]string{"a": {testKey}}
	engine := &fakeEngine{ordered: make(chan struct{}, 100), cancelled: make(chan string, 10)}
	b := &bench{config: &configuration{}, engine: engine}
	b.config.set(t, ticket.KindModel, 0, organisations)
	startBench(t, b, ticket.KindModel)
	b.config.announce(t, ticket.KindModel, 6, 7, organisations)
	for range 3 {
		<-engine.ordered
	}
	for b.agent.Load().Prefetched != 7 {
		b.untilQueued(t, 0)
	}
	if served := b.agent.Load().Version; served != 6 {
		t.Errorf("version %d serves before the switch", served)
	}
	b.config.set(t, ticket.KindModel, 7, organisations)
	<-engine.ordered
	for b.agent.Load().Version != 7 {
		b.untilQueued(t, 0)
	}
	if diff := cmp.Diff([]string{"prefetch 6", "switch 6", "prefetch 7", "switch 7"}, engine.kinds()); diff != "" {
		t.Error(diff)
	}
}

// Version 7 is announced and loaded, and then an operator sets version 6. The agent told the engine to switch to
// weights that it had not loaded, since it had loaded later ones; an engine that refuses serves the old version on for a while.
func TestLaterLoadedVersionIsNotTheOneToServe(t *testing.T) {
	organisations := map[string][]string{"a": {testKey}}
	engine := &fakeEngine{ordered: make(chan struct{}, 100), cancelled: make(chan string, 10)}
	b := &bench{config: &configuration{}, engine: engine}
	b.config.announce(t, ticket.KindModel, 0, 7, organisations)
	startBench(t, b, ticket.KindModel)
	<-engine.ordered
	b.config.set(t, ticket.KindModel, 6, organisations)
	for b.agent.Load().Version != 6 {
		b.untilQueued(t, 0)
	}
	if diff := cmp.Diff([]string{"prefetch 7", "prefetch 6", "switch 6"}, engine.kinds()); diff != "" {
		t.Error(diff)
	}
}
