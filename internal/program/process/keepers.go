package process

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
)

// releaseTime bounds the release of all duties, which takes a write each.
const releaseTime = 3 * time.Second

// keepers starts and keeps the keepers of the duties for which this host is a contender.
//
// A keeper reads its lease object every few seconds. With a keeper for every duty on each of 380 entries the
// platform would see thousands of reads a second; with three contenders a duty it sees about a hundred.
type keepers struct {
	runtime *runtime
	mu      sync.Mutex
	byName  map[string]*duty.Keeper
	work    conc.WaitGroup
}

func newKeepers(r *runtime) *keepers {
	k := &keepers{runtime: r, byName: map[string]*duty.Keeper{}}
	k.serveHolders(r.peers)
	return k
}

// keeper returns the keeper of the duty, started at the first call.
func (k *keepers) keeper(ctx context.Context, name, zone string) *duty.Keeper {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.byName[name]; ok {
		return known
	}
	started := k.runtime.keeper(ctx, name, zone)
	k.byName[name] = started
	return started
}

// release gives up all duties, so that a successor need not wait for the terms to pass.
func (k *keepers) release(ctx context.Context) {
	// Without the platform a lease can't be given up; its term then runs out by itself.
	ctx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	var releases conc.WaitGroup
	for _, keeper := range k.all() {
		releases.Go(func() {
			if err := keeper.Release(ctx); err != nil {
				k.runtime.log.Warn().Err(err).Msg("release duty")
			}
		})
	}
	releases.Wait()
}

func (k *keepers) all() map[string]*duty.Keeper {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make(map[string]*duty.Keeper, len(k.byName))
	for name, keeper := range k.byName {
		all[name] = keeper
	}
	return all
}

func (k *keepers) wait() {
	k.work.Wait()
	for _, keeper := range k.all() {
		keeper.Wait()
	}
}

// state is the dump of all duties, by name.
func (k *keepers) state() any {
	states := map[string]any{}
	for name, keeper := range k.all() {
		states[name] = keeper.State()
	}
	return states
}
