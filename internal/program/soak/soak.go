// Package soak runs several gateways as separate processes over loopback and disturbs them from outside on a schedule generated
// from a seed. It checks the guarantees of the gateway by what callers, servers and the platform stand-ins observe.
package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Plan determines the disturbances of a run.
type Plan struct {
	Seed uint64
	// Length is the time during which disturbances begin.
	Length time.Duration
	// kinds are the kinds of disturbances to choose from; empty means all.
	kinds []disturbanceKind
}

// Options configure a run.
type Options struct {
	Plan
	// Program is the path of the gateway program. Folder holds the settings and logs of its processes.
	Program, Folder string
	// OnDisturbance is called with a description of each disturbance as it begins.
	OnDisturbance func(line string)
}

const (
	callerCount  = 3
	trainerCount = 3
	// recoveryLoadTime is how long the load goes on after the last disturbance.
	recoveryLoadTime = 2 * time.Second
)

// Run carries out a plan and returns its report. It returns an error only if the run could not be set up.
func Run(ctx context.Context, o Options) (*Report, error) {
	var cleanups platformtest.Cleanups
	defer cleanups.Run()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	env, err := newEnvironment(ctx, o, &cleanups)
	if err != nil {
		return nil, err
	}
	l := newLoadGenerator(ctx, env)
	var registrations conc.WaitGroup
	registrations.Go(func() { env.registerLoadedWeights(ctx) })
	registrations.Go(func() { env.memory.record(ctx, env.processes) })
	schedule := newSchedule(o.Plan)
	l.run(schedule, o.OnDisturbance)
	l.readAllJobs()
	cancel()
	registrations.Wait()
	l.checkAll()
	l.checkMemory(o.Program)
	return l.report(o.Plan, schedule), nil
}

// run loads the processes while they are disturbed, and for recoveryLoadTime after that.
func (l *loadGenerator) run(schedule []disturbance, onDisturbance func(line string)) {
	ctx, stop := context.WithCancel(l.ctx)
	defer stop()
	var work, pending conc.WaitGroup
	for i := range callerCount {
		work.Go(func() { l.runCaller(ctx, i) })
	}
	for i := range trainerCount {
		work.Go(func() { l.runTrainer(ctx, i) })
	}
	for range lateReaderCount {
		work.Go(func() { l.runLateReader(ctx) })
	}
	started := time.Now()
	for _, d := range schedule {
		if !ticker.Sleep(ctx, time.Until(started.Add(d.at))) {
			break
		}
		l.setPhase(phaseDisturbed)
		onDisturbance(d.String())
		pending.Go(func() { l.env.disturb(d) })
	}
	pending.Wait()
	l.env.restore()
	l.setPhase(phaseAfter)
	ticker.Sleep(ctx, recoveryLoadTime)
	stop()
	work.Wait()
	l.readers.Wait()
}

// readAllJobs waits until every accepted job can be read from every process, and is complete unless a trainer ended it.
func (l *loadGenerator) readAllJobs() {
	var reads conc.WaitGroup
	for _, j := range l.jobs {
		if !j.isAccepted() {
			continue
		}
		reads.Go(func() {
			read := map[string]bool{}
			l.env.waitUntil("job "+j.id+" is complete and readable from every gateway", func() bool {
				for _, p := range l.env.processes {
					if status, _ := l.readAt(p, j, 0, longPollTime); status == http.StatusOK {
						read[p.name] = true
					}
				}
				return (j.isComplete() || j.isEndSent()) && len(read) == len(l.env.processes)
			})
		})
	}
	reads.Wait()
}

// report returns the report of the run.
func (l *loadGenerator) report(p Plan, schedule []disturbance) *Report {
	r := &Report{Seed: p.Seed, Length: p.Length, Guarantees: l.checker.summaries(), Latencies: l.latencies.summary()}
	for _, d := range schedule {
		r.Schedule = append(r.Schedule, d.String())
	}
	return r
}
