package batchjob

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// checkInterval is how often the control loop checks what depends on the time: pages that are due, and items to give up.
	checkInterval = 100 * time.Millisecond
	// writeRetryDelay is the pause before a page is written again after a failure.
	writeRetryDelay = 300 * time.Millisecond
	// endCheckInterval is how often the control loop queries the store for the end of its job; no item or reward call of it may start three
	// seconds after the end.
	endCheckInterval = 2 * time.Second
	// reviewInterval is how often the control loop looks for withheld items that may run again. Each look counts the ended servers of a pool.
	reviewInterval = 500 * time.Millisecond
)

// runNewJob runs a job here that has no pages yet.
func (m *Manager) runNewJob(spec *batch.Job) {
	if !m.accept(spec, earlyFound) {
		m.startJob(newJob(spec))
	}
}

// startJob runs a job here, unless it has ended, runs already or this process is leaving. It returns the job that is in memory under the
// id.
//
// The end of a job may arrive before the request to run it. Without the check for a known end its items would run at servers until their
// time is up, long after the trainer got the confirmation that nothing of it runs.
//
// What this entry received of the job before it was accepted is taken over. A job whose end was requested starts as held.
func (m *Manager) startJob(j *job) *job {
	m.mu.Lock()
	defer m.mu.Unlock()
	j = m.cacheLocked(j)
	early, _ := m.takeUnacceptedLocked(j.spec.ID)
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ended := m.ended[j.spec.ID]; ended {
		j.endLocked()
	}
	if j.running || m.leaving || j.progress.Ended() || m.ctx.Err() != nil {
		if early != nil {
			m.wg.Go(func() { m.mergeEarly(j, early) })
		}
		return j
	}
	if m.isEndRequestedLocked(j.spec) {
		m.holdJobLocked(j)
	}
	m.startRunLocked(j, early)
	return j
}

// startRunLocked starts the control loop of a job, once a former run and the unaccepted job whose output it takes over, if any, have ended.
// The caller holds the locks of the manager and the job.
func (m *Manager) startRunLocked(j, early *job) {
	ctx, cancel := context.WithCancel(m.ctx)
	m.exchangeServerEnds(time.Now(), j)
	former := j.run
	current := &run{cancel: cancel, started: time.Now(), ended: make(chan struct{})}
	j.running = true
	j.hasRun = true
	j.run = current
	m.wg.Go(func() {
		defer close(current.ended)
		if former != nil {
			<-former.ended
		}
		if early != nil {
			m.mergeEarly(j, early)
		}
		m.controlLoop(ctx, j)
		j.stopped(current)
		j.wg.Wait()
		m.log.Info().Str("request", j.spec.ID).Interface("job", j.state()).Msg("stopped running batch job")
	})
}

// stopped records that the control loop of a run has ended. A later run may have been requested meanwhile.
func (j *job) stopped(ended *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ended.cancel()
	if j.run == ended {
		j.running = false
	}
}

// controlLoop is the one goroutine that starts a job's items and reward calls and has its pages written.
//
// A job may be stopped and started again at once. The former loop must have ended by then with its work: it would stop the new run at its
// end, and a page that it writes would compete with one of the new loop.
func (m *Manager) controlLoop(ctx context.Context, j *job) {
	timer := time.NewTicker(checkInterval)
	defer timer.Stop()
	checked, reviewed := time.Now(), time.Now()
	var placer placer
	idle := newIdleReporter(m, j)
	defer idle.stop()
	writing := false
	written := make(chan bool, 1)
	for ctx.Err() == nil {
		changed := m.balancer.Changed()
		if j.mayStart() {
			if m.balancer.Uneven(j.spec.Pool) {
				m.placeItems(ctx, j, &placer)
			} else {
				m.startItems(ctx, j)
			}
			m.startRewards(ctx, j)
		}
		if page, ok := j.nextPage(time.Now(), writing); ok {
			writing = true
			j.wg.Go(func() { written <- m.writePage(ctx, j, page) })
		}
		if j.finished() {
			break
		}
		if now := time.Now(); now.Sub(checked) >= endCheckInterval {
			checked = now
			j.wg.Go(func() { m.checkEnd(ctx, j) })
		}
		select {
		case <-ctx.Done():
		case <-j.wakeup:
		case <-changed:
		case now := <-timer.C:
			m.confirmServerEnds(now, j)
			m.reviewRefusedEnds(ctx, now, j)
			idle.observe(now)
			if now.Sub(reviewed) >= reviewInterval {
				reviewed = now
				m.reviewWithheld(now, j)
			}
		case <-written:
			writing = false
		}
	}
}

// checkEnd ends a job here if the store holds its end.
//
// The entry at which a job was ended may be partitioned from the one that runs it, while both reach the store. Gossip then doesn't
// announce the end here, and the items would run until their time is up.
func (m *Manager) checkEnd(ctx context.Context, j *job) {
	if j.finished() || j.isUnaccepted() || m.outage(time.Now()) {
		return
	}
	ended, err := m.isEndedInStore(ctx, j.spec.ID)
	if err != nil {
		m.log.Debug().Err(err).Str("request", j.spec.ID).Msg("could not check the store for the end of a batch job")
		return
	}
	if ended {
		m.log.Info().Str("request", j.spec.ID).Msg("end found in the store")
		m.markEnded(j.spec.ID)
	}
}

// nextPage returns the page to write now; false if none is due or another one is being written. It also gives up overdue items. An
// unaccepted job has no pages, and the time of its items begins with its acceptance.
func (j *job) nextPage(now time.Time, writing bool) (batch.Page, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.unaccepted {
		return batch.Page{}, false
	}
	j.progress.Expire(now)
	if writing {
		return batch.Page{}, false
	}
	if j.writeAtOnce {
		j.writeAtOnce = false
		if page, ok := j.progress.Flush(now); ok {
			return page, true
		}
	}
	return j.progress.NextPage(now)
}

// requirements are what the items of the job need of their servers.
func (j *job) requirements() backend.Requirements {
	return backend.Requirements{
		Pool: j.spec.Pool, Model: j.spec.Model, MinVersion: j.spec.MinVersion, Regions: j.spec.Regions, Deferrable: true,
	}
}

// startItems starts items as long as servers have free slots.
func (m *Manager) startItems(ctx context.Context, j *job) {
	passedOver := map[string]bool{}
	for m.startNext(ctx, j, passedOver) {
	}
}

// startNext starts the next item, or passes it over if it is a suspect and no server with a free slot may run it. It returns false if no
// item waits that was not passed over before, or no server has a free slot.
func (m *Manager) startNext(ctx context.Context, j *job, passedOver map[string]bool) bool {
	need := j.requirements()
	j.mu.Lock()
	defer j.mu.Unlock()
	item, ok := j.progress.NextExcept(passedOver)
	if !ok {
		return false
	}
	need.PreferAnswering = j.silences[item.ID].runs > 0
	suspect := j.progress.Suspect(item.ID)
	if suspect {
		need.Exclude = m.excludedServers(j, item.ID)
	}
	server, ok := m.balancer.Acquire(time.Now(), need)
	switch {
	case ok:
		r := m.newRunLocked(j, item, server)
		j.wg.Go(func() { m.runItem(ctx, r) })
		return true
	case suspect:
		passedOver[item.ID] = true
		return true
	default:
		return false
	}
}

// writePage retries the write of a page, with the results that come meanwhile, until the store holds a page under its number, this one or
// another process's. It returns false if the job stops first or the page can't be encoded.
func (m *Manager) writePage(ctx context.Context, j *job, page batch.Page) bool {
	for {
		value, err := json.Marshal(page)
		if err != nil {
			m.log.Error().Err(err).Str("request", j.spec.ID).Msg("page can't be encoded")
			return false
		}
		if m.tryWritePage(ctx, j, page, value) {
			return true
		}
		if !ticker.Sleep(ctx, writeRetryDelay) {
			return false
		}
		page = j.refreshPage(time.Now(), page)
	}
}

// refreshPage returns the page to write instead of one whose write failed.
func (j *job) refreshPage(now time.Time, failed batch.Page) batch.Page {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.progress.Refresh(now, failed)
}

// tryWritePage creates the page under the next number. A page that exists there is either this one, whose answer was lost, or one of
// another process, which takes precedence.
func (m *Manager) tryWritePage(ctx context.Context, j *job, page batch.Page, value json.RawMessage) bool {
	j.mu.Lock()
	number := j.progress.Pages() + 1
	j.mu.Unlock()
	name := pageName(j.spec.ID, number)
	_, err := m.store.Create(ctx, KindPages, name, value)
	m.metrics.countPageWrite(err == nil)
	switch {
	case err == nil:
		j.applyOwnPage(number, page)
	case errors.Is(err, product.ErrConflict):
		if !m.resolveConflict(ctx, j, page, number, err) {
			return false
		}
	default:
		m.log.Warn().Err(err).Str("request", j.spec.ID).Int("page", number).Msg("page not written yet")
		return false
	}
	m.log.Info().Str("request", j.spec.ID).Int("page", number).Int("results", len(page.Results)).
		Int("partials", len(page.Partials)).AnErr("store", err).Msg("page write resolved")
	return true
}

// resolveConflict applies the page that the store already has under the number; false if that page can't be read.
func (m *Manager) resolveConflict(ctx context.Context, j *job, page batch.Page, number int, conflict error) bool {
	value, err := m.existingValue(ctx, KindPages, pageName(j.spec.ID, number), conflict)
	if err != nil {
		return false
	}
	var existing batch.Page
	if err := json.Unmarshal(value, &existing); err != nil {
		m.log.Error().Err(err).Str("request", j.spec.ID).Int("page", number).Msg("page can't be read")
		return false
	}
	if existing.SameWrite(page) {
		j.applyOwnPage(number, page)
		return true
	}
	j.applyPage(number, existing)
	return true
}

// applyOwnPage records that the store has this process's page under the number.
func (j *job) applyOwnPage(number int, page batch.Page) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.progress.Pages()+1 != number {
		return
	}
	j.progress.ConfirmPage(time.Now(), page)
	j.notifyReaders()
}

// flushResults writes the finished items of a stopped job before the process leaves.
func (m *Manager) flushResults(ctx context.Context, j *job) {
	j.awaitEnd()
	j.mu.Lock()
	page, ok := j.progress.Flush(time.Now())
	j.mu.Unlock()
	if ok && !m.writePage(ctx, j, page) {
		m.log.Warn().Str("request", j.spec.ID).Msg("could not write finished items before leaving")
	}
}
