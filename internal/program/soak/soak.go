// Package soak runs the real program as separate processes over loopback, disturbs them from outside on a schedule drawn from a seed,
// and checks the promises by what callers, servers and the platform's stand-ins see.
package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Plan is what a run plays: the disturbances that it draws by its seed.
type Plan struct {
	Seed uint64
	// Length is how long disturbances begin.
	Length time.Duration
	// kinds are the disturbances that are drawn; none stands for all.
	kinds []trouble
}

// Options say what is played, and where.
type Options struct {
	Plan
	// Program is the path of the program that is run, Folder where the settings and logs of its processes go.
	Program, Folder string
	// Tell is told of each disturbance as it begins.
	Tell func(line string)
}

const (
	callers  = 3
	trainers = 3
	// calmTime is how long the load goes on after the last disturbance.
	calmTime = 2 * time.Second
)

// Run plays a plan and returns what it found.
func Run(ctx context.Context, o Options) (*Report, error) {
	var ends platformtest.Cleanups
	defer ends.Run()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := newWorld(ctx, o, &ends)
	if err != nil {
		return nil, err
	}
	l := newLoad(ctx, w)
	var following conc.WaitGroup
	following.Go(func() { w.followEngines(ctx) })
	schedule := newSchedule(o.Plan)
	l.play(schedule, o.Tell)
	l.finish()
	cancel()
	following.Wait()
	l.check()
	return l.report(o.Plan, schedule), nil
}

// play loads the processes while they are disturbed, and some time after that.
func (l *load) play(schedule []entry, tell func(line string)) {
	ctx, stop := context.WithCancel(l.ctx)
	defer stop()
	var work, disturbances conc.WaitGroup
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
	for _, e := range schedule {
		if !ticker.Sleep(ctx, time.Until(started.Add(e.at))) {
			break
		}
		l.enter(phaseDisturbed)
		tell(e.String())
		disturbances.Go(func() { l.w.disturb(e) })
	}
	disturbances.Wait()
	l.w.mend()
	l.enter(phaseAfter)
	ticker.Sleep(ctx, calmTime)
	stop()
	work.Wait()
	l.readers.Wait()
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
					if status, _ := l.readAt(p, j, 0, readWait); status == http.StatusOK {
						read[p.name] = true
					}
				}
				return (j.whole() || j.endWasSent()) && len(read) == len(l.w.processes)
			})
		})
	}
	reads.Wait()
}

// report sums up what was found.
func (l *load) report(p Plan, schedule []entry) *Report {
	r := &Report{Seed: p.Seed, Length: p.Length, Promises: l.ledger.sums(), Latencies: l.latencies.summary()}
	for _, e := range schedule {
		r.Schedule = append(r.Schedule, e.String())
	}
	return r
}
