// Package soak runs the real program as separate processes over loopback, disturbs them from outside on a schedule drawn from a seed,
// and checks the promises by what callers, servers and the platform's stand-ins see.
package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 2, "how many seeds")
	length    = flag.Duration("soak.for", 8*time.Second, "how long a seed's disturbances last")
)

// plan is what a run plays: the disturbances that it draws by its seed.
type plan struct {
	seed   uint64
	length time.Duration
	kinds  []trouble
}

// keptPlans failed once and are played for ever, with the kinds of disturbances that there were then.
var keptPlans = []plan{
	// The only entry that ran a job lost the answer to the write of its first page, and showed an empty list from memory at a position
	// that another entry had read in the store and shown.
	{seed: 342, length: 10 * time.Second, kinds: []trouble{
		troubleKill, troublePause, troubleTerminate, troubleHangUp, troubleTurnAway, troubleSilence, troubleOutage, troubleLose,
		troubleCompact, troubleServer, troubleDrain, troubleKey, troubleVersion,
	}},
}

func TestSoak(t *testing.T) {
	for _, p := range keptPlans {
		t.Run(fmt.Sprintf("kept-%d", p.seed), func(t *testing.T) {
			t.Parallel()
			soak(t, p)
		})
	}
	for i := range *seeds {
		p := plan{seed: *firstSeed + uint64(i), length: *length, kinds: troubles}
		t.Run(fmt.Sprintf("seed-%d", p.seed), func(t *testing.T) {
			t.Parallel()
			soak(t, p)
		})
	}
}

const (
	callers  = 3
	trainers = 3
	// calmTime is how long the load goes on after the last disturbance.
	calmTime = 2 * time.Second
)

// soak plays one plan.
func soak(t *testing.T, p plan) {
	w := newWorld(t)
	l := newLoad(w)
	engines, followed := context.WithCancel(t.Context())
	defer followed()
	var work, following, disturbances conc.WaitGroup
	following.Go(func() { w.followEngines(engines) })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for i := range callers {
		work.Go(func() { l.keepCalling(ctx, i) })
	}
	for i := range trainers {
		work.Go(func() { l.keepTraining(ctx, i) })
	}
	for range laggards {
		work.Go(func() { l.keepLooking(ctx) })
	}
	started := time.Now()
	for _, e := range newSchedule(p) {
		ticker.Sleep(ctx, time.Until(started.Add(e.at)))
		t.Logf("%v: %s for %v at %d", e.at, e.what, e.lasts, e.target%processes)
		disturbances.Go(func() { w.disturb(ctx, e) })
	}
	disturbances.Wait()
	w.mend()
	ticker.Sleep(ctx, calmTime)
	stop()
	work.Wait()
	l.readers.Wait()
	l.finish()
	followed()
	following.Wait()
	l.check(t)
}

// finish reads every accepted job once more at every process, and to its end if nobody ended it.
func (l *load) finish() {
	var reads conc.WaitGroup
	for _, j := range l.jobs {
		if !j.isAccepted() {
			continue
		}
		reads.Go(func() {
			read := map[string]bool{}
			l.w.until("job "+j.id+" is whole, and read everywhere", func() bool {
				for _, p := range l.w.processes {
					status, _ := l.readAt(p, j, 0, readWait)
					read[p.name] = read[p.name] || status == http.StatusOK
				}
				return (j.whole() || j.endWasSent()) && len(read) == len(l.w.processes)
			})
		})
	}
	reads.Wait()
}

func (l *load) check(t *testing.T) {
	ran := l.ran()
	for _, c := range l.calls {
		l.checkCall(c, ran[c.id])
	}
	for _, j := range l.jobs {
		l.checkJob(j, ran)
	}
	l.checkReports()
	for _, violation := range l.ledger.violations {
		t.Error(violation)
	}
	for p, each := range l.ledger.tallies {
		t.Logf("checked: %6d times %s, %d violations", each.checks, p, each.violations)
	}
	for _, p := range []promise{promiseWhole, promiseItem, promiseReport} {
		if l.ledger.checked(p) == 0 {
			t.Errorf("never checked: %s", p)
		}
	}
}
