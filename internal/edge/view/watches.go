package view

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errRestarted is the error of a watch that was ended to begin anew.
var errRestarted = errors.New("the watch begins anew")

// watches are the watches that wait at the store.
//
// Guard: the store falls silent for seconds. Watches that came to it meanwhile are never answered, while other calls are again once it
// is back; an entry that relied on them went on with an old configuration for as long as a watch may take, and its probes told all
// others that it follows the store. So watches begin anew once the store is reached again after a failure, and once an entry is to
// follow it again.
type watches struct {
	mu    sync.Mutex
	waits map[string]*wait
}

type wait struct {
	cancel    context.CancelFunc
	restarted bool
}

// begin notes a watch of the kind. The context ends when it is to begin anew; done must be called after it, and says whether it was.
func (w *watches) begin(ctx context.Context, kind string) (watching context.Context, done func() bool) {
	watching, cancel := context.WithCancel(ctx)
	began := &wait{cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waits == nil {
		w.waits = map[string]*wait{}
	}
	w.waits[kind] = began
	return watching, func() bool {
		cancel()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.waits, kind)
		return began.restarted
	}
}

// restart ends all watches so that they begin anew.
func (w *watches) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, each := range w.waits {
		each.restarted = true
		each.cancel()
	}
}
