package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// minStepOutage and stepOutageRange bound how long the store is away when a step arrives: real outages take 3 to 6 s.
	minStepOutage   = 3 * time.Second
	stepOutageRange = 3 * time.Second
	// stepWait is how long an outage waits for a trainer to begin a step. If none does, it is left out.
	stepWait = 4 * time.Second
	// stepLossTime is for how long an outage with lost answers executes writes at its beginning.
	stepLossTime = 300 * time.Millisecond
)

// beginStep is called before the first submission of a job. It returns after the outage that waits for it, if any, has begun.
func (env *environment) beginStep() {
	begun := make(chan struct{})
	select {
	case env.steps <- begun:
		<-begun
	default:
		// No outage waits for a step.
	}
}

// isStepOutage reports whether the store is away in an outage that began with a step.
func (env *environment) isStepOutage() bool { return env.stepOutage.Load() }

// outageAtStep waits for a trainer to begin a step and takes the store away before its submission is sent, unless another such outage lasts or
// waits. The draw selects whether the
// store refuses calls, leaves them without an answer, or first loses the answers of writes and then refuses calls.
func (env *environment) outageAtStep(d disturbance) {
	if !env.stepOutages.TryLock() {
		return
	}
	defer env.stepOutages.Unlock()
	var begun chan struct{}
	select {
	case begun = <-env.steps:
	case <-time.After(stepWait):
		return
	case <-env.ctx.Done():
		return
	}
	defer env.beginStoreTrouble()()
	defer env.recordStepOutage(time.Now())
	env.stepOutage.Store(true)
	defer env.stepOutage.Store(false)
	const variants = 3
	switch int(d.draw * variants) {
	case 0:
		env.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Refuse })
	case 1:
		for _, p := range env.processes {
			p.storeEndpoint.HangCalls()
			defer p.storeEndpoint.ServeCalls()
		}
	default:
		lossEnd := time.Now().Add(stepLossTime)
		env.store.SetFault(func(method, _ string) platformtest.Fault {
			if method != http.MethodGet && time.Now().Before(lossEnd) {
				return platformtest.LoseAnswer
			}
			return platformtest.Refuse
		})
	}
	before := env.submissions.Load()
	close(begun)
	ticker.Sleep(env.ctx, minStepOutage+d.duration%stepOutageRange)
	env.checker.check(guaranteeStepOutage, env.submissions.Load() > before, "no submission arrived in the outage of %s", d)
	env.store.SetFault(nil)
}

// recordStepOutage records an outage that began with a step and is over.
func (env *environment) recordStepOutage(from time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.stepOutageTimes = append(env.stepOutageTimes, interval{from: from, to: time.Now()})
}

// checkStepOutages checks that work began in an outage, before its job was accepted. Without it the run says nothing about such work.
func (l *loadGenerator) checkStepOutages() {
	outages := l.env.stepOutageTimes
	if !hardLoadSettings || len(outages) == 0 {
		return
	}
	begun := slices.ContainsFunc(l.jobs, func(j *job) bool {
		unaccepted := j.accepted.IsZero() || j.firstStart.Before(j.accepted)
		return unaccepted && slices.ContainsFunc(outages, func(o interval) bool { return j.firstStart.After(o.from) && j.firstStart.Before(o.to) })
	})
	l.checker.check(guaranteeStepOutage, begun, "no item reached a server in %d outages before its job was accepted", len(outages))
}
