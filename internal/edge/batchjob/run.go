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
	// checkPause is how often a runner looks at what the time decides: pages that wait, and items to give up.
	checkPause = 100 * time.Millisecond
	// writePause is the pause before a page is written again after a failure.
	writePause = 300 * time.Millisecond
	// endPause is how often a runner asks the store whether its job has ended; nothing of it may begin three seconds after the end.
	endPause = 2 * time.Second
)

// run runs a job here.
func (m *Manager) run(spec *batch.Job) {
	m.runJob(newJob(spec))
}

// runJob runs a job.
//
// Guard: the request to run a job may be overtaken by its end, which was heard of before the job was known here. Its items would
// then run at servers until their time was up, long after the trainer was told that nothing of it runs.
func (m *Manager) runJob(j *job) *job {
	m.mu.Lock()
	defer m.mu.Unlock()
	j = m.keepLocked(j)
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ended := m.ended[j.spec.ID]; ended {
		j.endLocked()
	}
	if j.runs || m.leaving || j.progress.Ended() || m.ctx.Err() != nil {
		return j
	}
	ctx, stop := context.WithCancel(m.ctx)
	j.runs = true
	j.ran = true
	j.stop = stop
	m.work.Go(func() { m.control(ctx, j) })
	return j
}

// control is the one goroutine that starts a job's items and has its pages written.
func (m *Manager) control(ctx context.Context, j *job) {
	timer := time.NewTicker(checkPause)
	defer timer.Stop()
	checked := time.Now()
	writing := false
	written := make(chan bool, 1)
	for ctx.Err() == nil {
		changed := m.book.Changed()
		m.startItems(ctx, j)
		m.startRewards(ctx, j)
		if page, ok := j.commit(time.Now(), writing); ok {
			writing = true
			j.work.Go(func() { written <- m.write(ctx, j, page) })
		}
		if j.over() {
			break
		}
		if now := time.Now(); now.Sub(checked) >= endPause {
			checked = now
			j.work.Go(func() { m.checkEnd(ctx, j) })
		}
		select {
		case <-ctx.Done():
		case <-j.poke:
		case <-changed:
		case <-timer.C:
		case <-written:
			writing = false
		}
	}
	j.mu.Lock()
	j.runs = false
	j.stop()
	j.mu.Unlock()
	j.work.Wait()
	m.log.Info().Str("request", j.spec.ID).Interface("job", j.state()).Msg("batch job not run any more here")
}

// checkEnd ends a job here whose end stands in the store.
//
// Guard: the entry at which a job was ended is cut off from the one that runs it, and both reach the store. No news of the end comes, and its items
// would run on until their time is up.
func (m *Manager) checkEnd(ctx context.Context, j *job) {
	if j.over() || m.outage(time.Now()) {
		return
	}
	ended, err := m.endInStore(ctx, j.spec.ID)
	if err != nil {
		m.log.Debug().Err(err).Str("request", j.spec.ID).Msg("end not looked for")
		return
	}
	if ended {
		m.log.Info().Str("request", j.spec.ID).Msg("end found in the store")
		m.endHere(j.spec.ID)
	}
}

// commit returns the page to write now.
func (j *job) commit(now time.Time, writing bool) (batch.Page, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.progress.GiveUp(now)
	if writing {
		return batch.Page{}, false
	}
	return j.progress.Commit(now)
}

// startItems starts items as long as servers have places.
func (m *Manager) startItems(ctx context.Context, j *job) {
	need := backend.Need{Pool: j.spec.Pool, Model: j.spec.Model, MinVersion: j.spec.MinVersion, Within: true}
	for {
		j.mu.Lock()
		item, ok := j.progress.Next()
		if !ok {
			j.mu.Unlock()
			return
		}
		server, ok := m.book.Acquire(time.Now(), need)
		if !ok {
			j.mu.Unlock()
			return
		}
		output := j.progress.Start(item.ID)
		j.mu.Unlock()
		j.work.Go(func() { m.runItem(ctx, j, item, output, server) })
	}
}

// write writes a page until it is known which page stands at its number. It returns false if the job stopped first.
func (m *Manager) write(ctx context.Context, j *job, page batch.Page) bool {
	value, err := json.Marshal(page)
	if err != nil {
		m.log.Error().Err(err).Str("request", j.spec.ID).Msg("page can't be encoded")
		return false
	}
	for {
		if m.tryWrite(ctx, j, page, value) {
			return true
		}
		if !ticker.Sleep(ctx, writePause) {
			return false
		}
	}
}

// tryWrite creates the page under the next number. A page that is there already is either this one, whose answer was lost, or
// another process's, which goes first.
func (m *Manager) tryWrite(ctx context.Context, j *job, page batch.Page, value json.RawMessage) bool {
	j.mu.Lock()
	number := j.progress.Pages() + 1
	j.mu.Unlock()
	name := pageName(j.spec.ID, number)
	_, err := m.store.Create(ctx, KindPages, name, value)
	m.metrics.written(err == nil)
	switch {
	case err == nil:
		j.wrote(number, page)
	case errors.Is(err, product.ErrConflict):
		if !m.afterConflict(ctx, j, page, number, err) {
			return false
		}
	default:
		m.log.Warn().Err(err).Str("request", j.spec.ID).Int("page", number).Msg("page not written yet")
		return false
	}
	m.log.Info().Str("request", j.spec.ID).Int("page", number).Int("results", len(page.Results)).Int("partials", len(page.Partials)).AnErr("store", err).Msg("page settled")
	return true
}

func (m *Manager) afterConflict(ctx context.Context, j *job, page batch.Page, number int, conflict error) bool {
	value, err := m.conflicting(ctx, KindPages, pageName(j.spec.ID, number), conflict)
	if err != nil {
		return false
	}
	var kept batch.Page
	if err := json.Unmarshal(value, &kept); err != nil {
		m.log.Error().Err(err).Str("request", j.spec.ID).Int("page", number).Msg("page can't be read")
		return false
	}
	if kept.Same(page) {
		j.wrote(number, page)
		return true
	}
	j.absorb(number, kept)
	return true
}

// wrote takes in that the page is the one with the number.
func (j *job) wrote(number int, page batch.Page) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.progress.Pages()+1 != number {
		return
	}
	j.progress.Wrote(time.Now(), page)
	j.tell()
}

// flush writes what is finished when the process leaves.
func (m *Manager) flush(ctx context.Context, j *job) {
	j.work.Wait()
	j.mu.Lock()
	page, ok := j.progress.Flush(time.Now())
	j.mu.Unlock()
	if ok && !m.write(ctx, j, page) {
		m.log.Warn().Str("request", j.spec.ID).Msg("finished items not written at the end")
	}
}
