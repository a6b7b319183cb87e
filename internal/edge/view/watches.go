package view

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// errWatchRestarted is returned when a watch was cancelled in order to be restarted.
var errWatchRestarted = errors.New("watch restarted")

// watchSet holds the watches that are waiting at the store.
//
// Guards against watches that are never answered. When the store stalls for some seconds, it never answers the watches that
// arrived meanwhile, although it answers other calls once it recovers. An entry that relied on such a watch kept an old
// configuration until the watch timed out, while its successful probes made all others rely on it to follow the store. Watches are
// therefore restarted once the store is reached again after a failure, and once an entry becomes a follower again. One that is lost
// otherwise is restarted when a probe finds a change that it has not reported.
type watchSet struct {
	mu      sync.Mutex
	pending map[string]*pendingWatch
}

type pendingWatch struct {
	// after is the revision that the watch starts from.
	after     product.Version
	started   time.Time
	cancel    context.CancelFunc
	restarted bool
}

// start registers a watch of the kind from a revision. The returned context ends when the watch is to be restarted. The caller must call done
// after the watch, which reports whether it was to be restarted.
func (w *watchSet) start(ctx context.Context, kind string, after product.Version) (watchCtx context.Context, done func() bool) {
	watchCtx, cancel := context.WithCancel(ctx)
	watch := &pendingWatch{after: after, started: time.Now(), cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending == nil {
		w.pending = map[string]*pendingWatch{}
	}
	w.pending[kind] = watch
	return watchCtx, func() bool {
		cancel()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.pending, kind)
		return watch.restarted
	}
}

// waiting returns the watch of the kind that is waiting at the store; false if there is none.
func (w *watchSet) waiting(kind string) (*pendingWatch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	watch, ok := w.pending[kind]
	return watch, ok
}

// restart cancels the watch so that its caller restarts it, unless it has ended.
func (w *watchSet) restart(kind string, watch *pendingWatch) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending[kind] != watch {
		return false
	}
	watch.restarted = true
	watch.cancel()
	return true
}

// restartAll cancels all watches so that their callers restart them. It returns how long each had been waiting, by kind.
func (w *watchSet) restartAll(now time.Time) map[string]time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	waited := make(map[string]time.Duration, len(w.pending))
	for kind, watch := range w.pending {
		waited[kind] = now.Sub(watch.started)
		watch.restarted = true
		watch.cancel()
	}
	return waited
}
