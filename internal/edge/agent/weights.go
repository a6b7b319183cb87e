package agent

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

const (
	minBackoff = 200 * time.Millisecond
	// maxBackoff keeps a server whose swap failed within the 7 s in which weights reach all servers.
	maxBackoff   = 3 * time.Second
	orderTimeout = time.Minute
	loadTimeout  = 2 * time.Second
	// lostAfter differing reports in a row, 5 s, are longer than a report lags behind its engine.
	lostAfter = 10
)

// weights keeps a model engine at the version that the configuration names.
//
// A swap may fail at any step. The old version serves on until a switch succeeds; the orders are
// given again with growing pauses, and a newer version replaces the one that is being tried.
type weights struct {
	config Config
	deps   Dependencies
	// lost receives when the engine serves another version than the one it was switched to.
	lost   chan struct{}
	state  atomic.Pointer[weightState]
	report atomic.Pointer[EngineLoad]
}

// weightState is the published progress of the weight orders.
type weightState struct {
	Served int `json:"served"`
	Wanted int `json:"wanted"`
	// Prefetched is the newest version that was loaded beside the one that serves.
	Prefetched int    `json:"prefetched"`
	Failures   int    `json:"failures"`
	LastError  string `json:"lastError,omitempty"`
}

func newWeights(config Config, deps Dependencies) *weights {
	w := &weights{config: config, deps: deps, lost: make(chan struct{}, 1)}
	w.state.Store(&weightState{})
	w.report.Store(&EngineLoad{})
	return w
}

// version is the weight version that serves.
func (w *weights) version() int { return w.state.Load().Served }

// run follows the configuration until ctx ends. Each round decides by one view: a configuration that comes between two
// looks would let it load the upcoming version before the one that is to serve.
func (w *weights) run(ctx context.Context) {
	for {
		changed := w.deps.Changed()
		view := w.deps.View()
		target, ok := w.target(view)
		if !ok || target.Version == w.version() {
			if !w.waitFor(ctx, changed, w.prefetch(ctx, changed, view)) {
				return
			}
			continue
		}
		if w.swap(ctx, changed, target, view.Revision()) {
			continue
		}
		if !w.waitFor(ctx, changed, w.backoff()) {
			return
		}
	}
}

// waitFor waits for a change, a lost version, or the time if it isn't 0; false when ctx ends.
func (w *weights) waitFor(ctx context.Context, changed <-chan struct{}, pause time.Duration) bool {
	var elapsed <-chan time.Time
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-changed:
		return true
	case <-w.lost:
		return true
	case <-elapsed:
		return true
	case <-ctx.Done():
		return false
	}
}

// serves says whether the pool serves a model.
func (w *weights) serves() bool {
	pool, ok := w.deps.View().Pool(w.config.Pool)
	return ok && pool.Kind == ticket.KindModel
}

func (w *weights) target(view *ticket.View) (ticket.ModelVersion, bool) {
	pool, ok := view.Pool(w.config.Pool)
	if !ok || pool.Kind != ticket.KindModel {
		return ticket.ModelVersion{}, false
	}
	return view.ModelVersion(pool.Model)
}

// prefetched is the newest version that the engine can switch to at once.
func (w *weights) prefetched() int { return w.state.Load().Prefetched }

// upcoming is the version to load beside the one that serves.
func (w *weights) upcoming(view *ticket.View) (ticket.ModelVersion, bool) {
	pool, ok := view.Pool(w.config.Pool)
	if !ok || pool.Kind != ticket.KindModel {
		return ticket.ModelVersion{}, false
	}
	version, ok := view.UpcomingVersion(pool.Model)
	return version, ok && version.Version > w.prefetched()
}

// prefetch loads the upcoming version while the old one serves, and returns after which pause to try
// again; 0 is at the next change.
//
// Load pattern: new weights for every server of a model at the same time, from a store with a rate limit.
// Without it each server would load when it is told to switch, and they would change version over minutes. The switch
// of all follows by one change of the configuration, when nearly all have loaded.
func (w *weights) prefetch(ctx context.Context, changed <-chan struct{}, view *ticket.View) time.Duration {
	version, ok := w.upcoming(view)
	if !ok {
		return 0
	}
	if pause := w.spread(); pause > 0 && !w.waitFor(ctx, changed, pause) {
		return 0
	}
	order := WeightOrder{
		Kind:    OrderPrefetch,
		Model:   version.Model,
		Version: version.Version,
		Weights: version.Weights,
		Fencing: view.Revision(),
	}
	if err := w.order(ctx, order); err != nil {
		w.failed(order, err)
		return w.backoff()
	}
	w.update(func(s *weightState) {
		s.Prefetched = version.Version
		s.Failures = 0
	})
	return 0
}

// swap prefetches and switches; false if it has to be tried again.
func (w *weights) swap(ctx context.Context, changed <-chan struct{}, target ticket.ModelVersion, revision uint64) bool {
	w.update(func(s *weightState) { s.Wanted = target.Version })
	order := WeightOrder{
		Kind:    OrderPrefetch,
		Model:   target.Model,
		Version: target.Version,
		Weights: target.Weights,
		Fencing: revision,
	}
	kinds := []OrderKind{OrderPrefetch, OrderSwitch}
	// A later version that was loaded says nothing of this one.
	if w.prefetched() == target.Version {
		kinds = []OrderKind{OrderSwitch}
	}
	if pause := w.spread(); len(kinds) > 1 && pause > 0 && !w.waitFor(ctx, changed, pause) {
		return false
	}
	for _, kind := range kinds {
		order.Kind = kind
		if err := w.order(ctx, order); err != nil {
			w.failed(order, err)
			return false
		}
	}
	w.update(func(s *weightState) {
		*s = weightState{Served: target.Version, Wanted: target.Version, Prefetched: max(s.Prefetched, target.Version)}
	})
	return true
}

func (w *weights) order(ctx context.Context, order WeightOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return w.deps.Engine.Order(ctx, order)
}

func (w *weights) failed(order WeightOrder, err error) {
	w.deps.Logger.Warn().Err(err).Str("kind", string(order.Kind)).Int("version", order.Version).
		Msg("weight order failed")
	w.update(func(s *weightState) {
		// An engine that can't switch may have lost what it had loaded: the next try loads again.
		s.Prefetched = 0
		s.Failures++
		s.LastError = err.Error()
	})
}

// spread gives each host its own share of the spread, always the same.
func (w *weights) spread() time.Duration {
	if w.config.PrefetchSpread <= 0 {
		return 0
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(w.config.HostID)) // never fails
	return time.Duration(int64(sum.Sum32()) % int64(w.config.PrefetchSpread))
}

func (w *weights) backoff() time.Duration {
	shift := min(max(w.state.Load().Failures-1, 0), 8)
	return min(minBackoff<<shift, maxBackoff)
}

// update publishes a changed copy; readers never see a state in between. A lost race is tried again.
func (w *weights) update(change func(*weightState)) {
	for {
		old := w.state.Load()
		changed := *old
		change(&changed)
		if w.state.CompareAndSwap(old, &changed) {
			return
		}
	}
}

// poll asks the engine for its load until ctx ends.
func (w *weights) poll(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	differing := 0
	for {
		if w.serves() {
			differing = w.compare(w.pollOnce(ctx), differing)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *weights) pollOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := w.deps.Engine.Load(ctx)
	if err != nil {
		return false
	}
	w.report.Store(&load)
	return true
}

// compare notices an engine that was restarted and serves its old weights: samples would name a
// version that did not produce them, and grow too stale. Reports lag, so only a row of differing
// ones counts. It returns the length of that row.
func (w *weights) compare(reported bool, differing int) int {
	state := *w.state.Load()
	version := w.report.Load().Version
	if !reported || version == state.Served || state.Served != state.Wanted {
		return 0
	}
	if differing+1 < lostAfter {
		return differing + 1
	}
	// What it had loaded beside its weights went with its restart.
	w.update(func(s *weightState) { s.Served, s.Prefetched = version, version })
	select {
	case w.lost <- struct{}{}:
	default:
	}
	return 0
}
