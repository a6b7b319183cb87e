package process

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
)

// releaseTimeout limits the release of all duties, which takes one write per duty.
const releaseTimeout = 3 * time.Second

// keepers starts and holds the keepers of the duties for which this host is a contender.
//
// A keeper reads its lease object every few seconds. With a keeper for every duty on each of 380 entries the platform
// would receive thousands of reads per second. With three contenders per duty it receives about a hundred.
type keepers struct {
	runtime *runtime
	mu      sync.Mutex
	byName  map[string]*duty.Keeper
	work    conc.WaitGroup
}

func newKeepers(r *runtime) *keepers {
	k := &keepers{runtime: r, byName: map[string]*duty.Keeper{}}
	k.serveHolderRequests(r.peers)
	return k
}

// keeper returns the keeper of the duty and starts it on the first call.
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

// release gives up all duties, so that successors need not wait for the terms to expire.
func (k *keepers) release(ctx context.Context) {
	// If the platform is unreachable, a lease can't be given up and its term expires by itself.
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var releases conc.WaitGroup
	for _, keeper := range k.all() {
		releases.Go(func() {
			if err := keeper.Release(ctx); err != nil {
				k.runtime.log.Warn().Err(err).Msg("cannot release the duty")
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

// state returns the debug dump of all duties, by name.
func (k *keepers) state() any {
	states := map[string]any{}
	for name, keeper := range k.all() {
		states[name] = keeper.State()
	}
	return states
}
