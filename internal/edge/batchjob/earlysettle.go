package batchjob

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/earlystart"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// settleInterval is how often an entry checks whether an unaccepted job is to be created or given up.
const settleInterval = 50 * time.Millisecond

// settleUnaccepted has unaccepted jobs created or given up when it is time. It returns when none is left.
func (m *Manager) settleUnaccepted() {
	for ticker.Sleep(m.ctx, settleInterval) {
		if !m.settleDue(time.Now()) {
			return
		}
	}
}

// settleDue settles the unaccepted jobs that are due; false if there are none any more.
func (m *Manager) settleDue(now time.Time) bool {
	down := m.outage(now)
	m.mu.Lock()
	if len(m.early.jobs) == 0 {
		m.early.settling = false
		m.mu.Unlock()
		return false
	}
	m.updateMemoryLocked()
	expired := m.early.book.Expired(now)
	var routeless []string
	for id, j := range m.early.jobs {
		if m.early.routeInForce != nil && !m.early.routeInForce(j.spec) {
			routeless = append(routeless, id)
		}
	}
	for _, create := range m.early.book.Creates(now, down) {
		j := m.early.jobs[create.ID]
		m.wg.Go(func() { m.createUnaccepted(j, create) })
	}
	m.mu.Unlock()
	for _, id := range expired {
		m.giveUp(id, earlyExpired)
	}
	for _, id := range routeless {
		m.giveUp(id, earlyDropped)
	}
	return true
}

// updateMemoryLocked records the size of the text of the unaccepted jobs, and whether they may start further items. The caller holds the
// lock.
func (m *Manager) updateMemoryLocked() {
	for id, j := range m.early.jobs {
		j.mu.Lock()
		m.early.book.SetText(id, j.earlyBytes)
		j.mu.Unlock()
	}
	full := m.early.book.Full()
	for _, j := range m.early.jobs {
		j.mu.Lock()
		j.outOfMemory = full
		j.mu.Unlock()
	}
}

// createUnaccepted tries to create the object of an unaccepted job.
func (m *Manager) createUnaccepted(j *job, create earlystart.Create) {
	ctx, cancel := context.WithTimeout(m.ctx, createTimeout)
	defer cancel()
	j.mu.Lock()
	spec := *j.spec
	j.mu.Unlock()
	answered := true
	value, err := json.Marshal(spec)
	if err == nil {
		_, err = m.store.Create(ctx, KindJobs, spec.ID, value)
	}
	m.log.Info().Str("request", spec.ID).AnErr("store", err).Msg("tried to store a batch job begun without the store")
	switch {
	case err == nil:
		// A job that was dropped meanwhile, because this process leaves, runs elsewhere.
		if !m.accept(&spec, earlyAccepted) && m.isLeaving() {
			m.assign(&spec, value)
		}
	case errors.Is(err, product.ErrConflict):
		answered = m.resolveExisting(ctx, j, err)
	case answerOf(err) == earlystart.AnswerNone:
		answered = false
	default:
		m.giveUp(spec.ID, earlyDropped)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.early.book.CreateEnded(time.Now(), create, answered)
}

// resolveExisting accepts an unaccepted job whose object exists, or gives it up if that is another job or has ended. It returns false if
// the store can't be read.
func (m *Manager) resolveExisting(ctx context.Context, j *job, conflict error) bool {
	value, err := m.existingValue(ctx, KindJobs, j.spec.ID, conflict)
	if err != nil {
		return false
	}
	return m.acceptExisting(ctx, j.spec.ID, value)
}

// acceptExisting is resolveExisting for an object whose value was read.
func (m *Manager) acceptExisting(ctx context.Context, id string, value json.RawMessage) bool {
	var stored batch.Job
	if err := json.Unmarshal(value, &stored); err != nil {
		m.log.Error().Err(err).Str("request", id).Msg("batch job can't be read")
		m.giveUp(id, earlyDropped)
		return true
	}
	ended, err := m.isEndedInStore(ctx, id)
	if err != nil {
		return false
	}
	if ended {
		m.markEnded(id)
		return true
	}
	m.accept(&stored, earlyFound)
	return true
}

// acceptFromStore accepts a job that is unaccepted here and that another entry says is accepted; false if it isn't unaccepted here, or its
// object can't be read.
func (m *Manager) acceptFromStore(ctx context.Context, id string) bool {
	if _, ok := m.findUnaccepted(id); !ok {
		return false
	}
	object, err := m.store.Get(ctx, KindJobs, id)
	if err != nil || !m.acceptExisting(ctx, id, object.Value) {
		return false
	}
	j, ok := m.find(id)
	return ok && j.isRunning() || m.isEnded(id)
}

// accept makes an unaccepted job an accepted one that runs here, under the terms of the stored object. It returns false if there is no
// such job here or its content differs.
//
// Whichever entry the object names as the owner, the job runs here, where its output is. If another entry runs it too, the rule for two
// runners applies as soon as each has announced the job, and what was received here passes to the other entry with the pages, which are
// written at once.
func (m *Manager) accept(stored *batch.Job, outcome earlyOutcome) bool {
	j, ok := m.findUnaccepted(stored.ID)
	if !ok {
		return false
	}
	if !sameContent(j.spec, stored) {
		m.giveUp(stored.ID, earlyDropped)
		return false
	}
	if m.isEnded(stored.ID) {
		m.giveUp(stored.ID, earlyEnded)
		return true
	}
	if m.isLeaving() {
		m.giveUp(stored.ID, earlyDropped)
		return false
	}
	if m.join(j, stored) {
		m.recordSettled(j, outcome)
		j.wake()
		return true
	}
	// The job is in memory as accepted, or its terms differ from those under which its items run.
	return m.startJob(newJob(stored)).isRunning()
}

// join adds an unaccepted job with its runs to the accepted jobs; false if another job is in memory under the id or the terms differ.
func (m *Manager) join(j *job, stored *batch.Job) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, cached := m.jobs[stored.ID]
	_, ended := m.ended[stored.ID]
	if cached || ended || m.leaving || m.early.jobs[stored.ID] != j || !reflect.DeepEqual(j.spec.Terms, stored.Terms) {
		return false
	}
	m.takeUnacceptedLocked(stored.ID)
	j.mu.Lock()
	// Items run meanwhile. The ranking reads the time of acceptance under the job's lock, and the runs of items read none of these fields. All
	// others of the stored object are the same.
	j.spec.Accepted, j.spec.Owner, j.spec.OwnerRun = stored.Accepted, stored.Owner, stored.OwnerRun
	j.unaccepted = false
	j.writeAtOnce = true
	j.lastUse = time.Now()
	if m.isEndRequestedLocked(j.spec) {
		m.holdJobLocked(j)
	}
	j.mu.Unlock()
	m.jobs[stored.ID] = j
	m.evictIdle(time.Now())
	return true
}

// mergeEarly ends the runs of a job that was unaccepted, and takes its output over to the accepted job.
func (m *Manager) mergeEarly(j, early *job) {
	early.stopRunning()
	early.awaitEnd()
	if !sameContent(early.spec, j.spec) {
		m.recordSettled(early, earlyDropped)
		return
	}
	early.mu.Lock()
	results, partials := early.progress.Unwritten()
	early.mu.Unlock()
	outcome := earlyFound
	j.mu.Lock()
	if j.progress.Ended() {
		outcome = earlyEnded
	} else {
		j.progress.Merge(time.Now(), results, partials)
		j.writeAtOnce = true
	}
	j.mu.Unlock()
	m.recordSettled(early, outcome)
	j.wake()
}

// sameContent reports whether two jobs of the same id are the same submission of the same organisation.
func sameContent(a, b *batch.Job) bool {
	return a.Organisation == b.Organisation && submissionHash(a) == submissionHash(b)
}

// submissionHash returns the hash of a submission in its stored form. One that can't be encoded was never stored, and equals no other.
func submissionHash(spec *batch.Job) [sha256.Size]byte {
	value, err := json.Marshal(spec.Submission)
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(value)
}
