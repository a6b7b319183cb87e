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
	// maxBackoff lets a server whose switch failed still meet the limit of 7 s in which new weights reach all servers.
	maxBackoff        = 3 * time.Second
	orderTimeout      = time.Minute
	engineCallTimeout = 2 * time.Second
	// mismatchThreshold is the number of consecutive reports with another version after which the engine is taken
	// to have restarted. They span 5 s, which is longer than a report lags behind its engine.
	mismatchThreshold = 10
)

// weightManager keeps a model engine at the weight version that the configuration specifies.
//
// Any step of a version change may fail. The old version keeps serving until a switch succeeds. The orders are
// retried with increasing backoff, and a newer version in the configuration replaces the one being tried.
type weightManager struct {
	config Config
	deps   Dependencies
	// versionMismatch receives a value if the engine serves another version than the one it was switched to.
	versionMismatch chan struct{}
	state           atomic.Pointer[weightState]
	engineLoad      atomic.Pointer[EngineLoad]
}

// weightState is the progress of the weight orders, for loads and state dumps.
type weightState struct {
	// Served is the version that the engine serves; Wanted is the one that the agent last tried to switch it to.
	Served int `json:"served"`
	Wanted int `json:"wanted"`
	// Prefetched is the newest version that the engine has loaded; it can be above Served.
	Prefetched int    `json:"prefetched"`
	Failures   int    `json:"failures"`
	LastError  string `json:"lastError,omitempty"`
}

func newWeightManager(config Config, deps Dependencies) *weightManager {
	w := &weightManager{config: config, deps: deps, versionMismatch: make(chan struct{}, 1)}
	w.state.Store(&weightState{})
	w.engineLoad.Store(&EngineLoad{})
	return w
}

// servedVersion returns the weight version that the engine serves.
func (w *weightManager) servedVersion() int { return w.state.Load().Served }

// run follows the configuration until ctx ends. Each iteration uses a single view. With two reads, a configuration
// that arrives between them would make it prefetch the upcoming version before switching to the current one.
func (w *weightManager) run(ctx context.Context) {
	for {
		changed := w.deps.Changed()
		view := w.deps.View()
		target, ok := w.targetVersion(view)
		if !ok || target.Version == w.servedVersion() {
			if !w.waitForChange(ctx, changed, w.prefetch(ctx, changed, view)) {
				return
			}
			continue
		}
		if w.switchTo(ctx, changed, target, view.Revision()) {
			continue
		}
		if !w.waitForChange(ctx, changed, w.backoff()) {
			return
		}
	}
}

// waitForChange waits for a configuration change, a version mismatch, or the delay if it is not 0. It returns false
// if ctx ends.
func (w *weightManager) waitForChange(ctx context.Context, changed <-chan struct{}, delay time.Duration) bool {
	var elapsed <-chan time.Time
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-changed:
		return true
	case <-w.versionMismatch:
		return true
	case <-elapsed:
		return true
	case <-ctx.Done():
		return false
	}
}

// servesModel reports whether the pool serves a model.
func (w *weightManager) servesModel() bool {
	pool, ok := w.deps.View().Pool(w.config.Pool)
	return ok && pool.Kind == ticket.KindModel
}

func (w *weightManager) targetVersion(view *ticket.View) (ticket.ModelVersion, bool) {
	pool, ok := view.Pool(w.config.Pool)
	if !ok || pool.Kind != ticket.KindModel {
		return ticket.ModelVersion{}, false
	}
	return view.ModelVersion(pool.Model)
}

// prefetchedVersion returns the newest version that the engine can switch to at once.
func (w *weightManager) prefetchedVersion() int { return w.state.Load().Prefetched }

// upcomingVersion returns the version to prefetch while the current one serves; false if there is none.
func (w *weightManager) upcomingVersion(view *ticket.View) (ticket.ModelVersion, bool) {
	pool, ok := view.Pool(w.config.Pool)
	if !ok || pool.Kind != ticket.KindModel {
		return ticket.ModelVersion{}, false
	}
	version, ok := view.UpcomingVersion(pool.Model)
	return version, ok && version.Version > w.prefetchedVersion()
}

// prefetch loads the upcoming version while the current one serves. It returns the delay until the next attempt; 0
// means at the next configuration change.
//
// New weights reach all servers of a model at the same time, from a weight store with a rate limit. Without prefetching,
// each server would load them when it has to switch, and the change of version would take minutes. With it, all servers
// switch on one configuration change, made once nearly all have loaded the weights.
func (w *weightManager) prefetch(ctx context.Context, changed <-chan struct{}, view *ticket.View) time.Duration {
	version, ok := w.upcomingVersion(view)
	if !ok {
		return 0
	}
	if delay := w.prefetchDelay(); delay > 0 && !w.waitForChange(ctx, changed, delay) {
		return 0
	}
	order := WeightOrder{
		Kind:    OrderPrefetch,
		Model:   version.Model,
		Version: version.Version,
		Weights: version.Weights,
		Fencing: view.Revision(),
	}
	if err := w.sendOrder(ctx, order); err != nil {
		w.recordFailure(order, err)
		return w.backoff()
	}
	w.update(func(s *weightState) {
		s.Prefetched = version.Version
		s.Failures = 0
	})
	return 0
}

// switchTo prefetches the version if necessary and switches to it. It returns false if it has to be retried.
func (w *weightManager) switchTo(ctx context.Context, changed <-chan struct{}, target ticket.ModelVersion, revision uint64) bool {
	w.update(func(s *weightState) { s.Wanted = target.Version })
	order := WeightOrder{
		Kind:    OrderPrefetch,
		Model:   target.Model,
		Version: target.Version,
		Weights: target.Weights,
		Fencing: revision,
	}
	kinds := []OrderKind{OrderPrefetch, OrderSwitch}
	// A prefetched later version doesn't mean that this one is loaded.
	if w.prefetchedVersion() == target.Version {
		kinds = []OrderKind{OrderSwitch}
	}
	if delay := w.prefetchDelay(); len(kinds) > 1 && delay > 0 && !w.waitForChange(ctx, changed, delay) {
		return false
	}
	for _, kind := range kinds {
		order.Kind = kind
		if err := w.sendOrder(ctx, order); err != nil {
			w.recordFailure(order, err)
			return false
		}
	}
	w.update(func(s *weightState) {
		*s = weightState{Served: target.Version, Wanted: target.Version, Prefetched: max(s.Prefetched, target.Version)}
	})
	return true
}

func (w *weightManager) sendOrder(ctx context.Context, order WeightOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return w.deps.Engine.Order(ctx, order)
}

func (w *weightManager) recordFailure(order WeightOrder, err error) {
	w.deps.Logger.Warn().Err(err).Str("kind", string(order.Kind)).Int("version", order.Version).
		Msg("weight order failed")
	w.update(func(s *weightState) {
		// An engine that fails to switch may have lost its prefetched weights, so the next attempt loads them again.
		s.Prefetched = 0
		s.Failures++
		s.LastError = err.Error()
	})
}

// prefetchDelay returns the host's fixed share of the prefetch spread, derived from a hash of the host ID.
func (w *weightManager) prefetchDelay() time.Duration {
	if w.config.PrefetchSpread <= 0 {
		return 0
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(w.config.HostID)) // hash writes never fail
	return time.Duration(int64(sum.Sum32()) % int64(w.config.PrefetchSpread))
}

func (w *weightManager) backoff() time.Duration {
	shift := min(max(w.state.Load().Failures-1, 0), 8)
	return min(minBackoff<<shift, maxBackoff)
}

// update replaces the state by a changed copy, so that readers never see a partial change. It retries if another
// goroutine has replaced the state meanwhile.
func (w *weightManager) update(change func(*weightState)) {
	for {
		old := w.state.Load()
		changed := *old
		change(&changed)
		if w.state.CompareAndSwap(old, &changed) {
			return
		}
	}
}

// pollLoad reads the engine's load periodically until ctx ends.
func (w *weightManager) pollLoad(ctx context.Context) {
	ticker := time.NewTicker(enginePollInterval)
	defer ticker.Stop()
	mismatches := 0
	for {
		if w.servesModel() {
			mismatches = w.checkServedVersion(w.fetchLoad(ctx), mismatches)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *weightManager) fetchLoad(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	load, err := w.deps.Engine.Load(ctx)
	if err != nil {
		return false
	}
	w.engineLoad.Store(&load)
	return true
}

// checkServedVersion detects an engine that was restarted and serves its old weights. Undetected, its samples would
// carry a version that did not produce them, and become too stale. Reports lag, so only mismatchThreshold mismatches in
// a row count. It returns the number of consecutive mismatches so far.
func (w *weightManager) checkServedVersion(reported bool, mismatches int) int {
	state := *w.state.Load()
	version := w.engineLoad.Load().Version
	if !reported || version == state.Served || state.Served != state.Wanted {
		return 0
	}
	if mismatches+1 < mismatchThreshold {
		return mismatches + 1
	}
	// The restart discarded the prefetched weights.
	w.update(func(s *weightState) { s.Served, s.Prefetched = version, version })
	select {
	case w.versionMismatch <- struct{}{}:
	default:
	}
	return 0
}
