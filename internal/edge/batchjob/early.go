package batchjob

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/earlystart"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// createTimeout bounds the create of a job in the background. The store client tries several paths, each for up to 0.8 s.
const createTimeout = 4 * time.Second

// earlyJobs are the unaccepted jobs of an entry: their items run, and the store isn't known to hold them. They are separate from the
// accepted jobs, so that no read, announcement or handover includes one. The manager's lock guards them.
type earlyJobs struct {
	jobs map[string]*job
	book *earlystart.Book
	// routeInForce reports whether the configuration in force has the route of a job; nil if it is not to be checked.
	routeInForce func(spec *batch.Job) bool
	// settling is set while settleUnaccepted runs.
	settling bool
	// creates are the creates of submitted jobs that are under way.
	creates map[createKey]*pendingCreate
	// ends are the ends that were requested and aren't known to be stored, with the time until which each is kept.
	ends map[createKey]time.Time
}

func newEarlyJobs(routeInForce func(spec *batch.Job) bool) *earlyJobs {
	return &earlyJobs{
		jobs: map[string]*job{}, book: earlystart.NewBook(), routeInForce: routeInForce, creates: map[createKey]*pendingCreate{},
		ends: map[createKey]time.Time{},
	}
}

// unacceptedLocked returns the unaccepted jobs. The caller holds the lock and must not change the map.
func (m *Manager) unacceptedLocked() map[string]*job {
	if m.early == nil {
		return nil
	}
	return m.early.jobs
}

func (m *Manager) findUnaccepted(id string) (*job, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j, ok := m.unacceptedLocked()[id]
	return j, ok
}

// takeUnacceptedLocked removes a job from the unaccepted ones and returns it. The caller holds the lock.
func (m *Manager) takeUnacceptedLocked(id string) (*job, bool) {
	j, ok := m.unacceptedLocked()[id]
	if !ok {
		return nil, false
	}
	delete(m.early.jobs, id)
	m.early.book.Remove(id)
	m.metrics.setEarly(len(m.early.jobs))
	close(j.settled)
	return j, true
}

func (j *job) isUnaccepted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.unaccepted
}

// countEarlyEvent counts an event of an unaccepted job. The caller holds the lock.
func (j *job) countEarlyEvent(event batch.Event) {
	if j.unaccepted {
		j.earlyEvents++
		j.earlyBytes += len(event.Data) + 1
	}
}

// submitEarly accepts a job like Submit. If the store doesn't answer in time, it has the job begin, and refuses the submission with an
// unknown outcome unless the job turns out to be accepted; the create continues and may settle the job.
func (m *Manager) submitEarly(spec *batch.Job) error {
	if j, ok := m.findUnaccepted(spec.ID); ok {
		return m.answerUnaccepted(j, spec)
	}
	if m.outage(time.Now()) {
		return m.beginAndRefuse(spec, refuseUnknownOutcome(outageRetryAfter, "no entry reaches the store"))
	}
	runner := m.preferredRunner(spec)
	spec.Owner, spec.OwnerRun = runner.HostID, runner.Incarnation
	value, err := json.Marshal(spec)
	if err != nil {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "job %s: %v", spec.ID, err)
	}
	started := time.Now()
	created := m.createShared(spec, value)
	timer := time.NewTimer(earlystart.AnswerWait)
	defer timer.Stop()
	answer := earlystart.AnswerPending
	select {
	case <-created.done:
		answer = created.answer
	case <-timer.C:
	}
	if earlystart.NextAction(time.Since(started), false, answer) == earlystart.ActionSettle {
		return created.refusal
	}
	if answer == earlystart.AnswerNone {
		return m.beginAndRefuse(spec, created.refusal)
	}
	begun := m.requestBegin(spec)
	done := created.done
	for {
		select {
		case <-done:
			if created.answer == earlystart.AnswerDecided {
				return created.refusal
			}
			done = nil
		case answer := <-begun:
			if answer.Accepted {
				return nil
			}
			return refuseUnknownOutcome(outageRetryAfter, "the store hasn't answered yet")
		}
	}
}

// pendingCreate is a create of a job that is under way. The answer and the refusal of the submission are set before done is closed.
type pendingCreate struct {
	done    chan struct{}
	answer  earlystart.Answer
	refusal error
}

// createKey identifies the submissions that share a create, and the requests to end a job. Organisations share none, as only one of them
// may use the id.
type createKey struct{ id, organisation string }

// createShared creates the object of a job, or returns the create of an earlier submission of it that is under way here. A trainer repeats
// a submission every half second, and each create sends the whole job to a store that is slow already.
func (m *Manager) createShared(spec *batch.Job, value json.RawMessage) *pendingCreate {
	key := createKey{id: spec.ID, organisation: spec.Organisation}
	m.mu.Lock()
	defer m.mu.Unlock()
	if pending, ok := m.early.creates[key]; ok {
		return pending
	}
	pending := &pendingCreate{done: make(chan struct{})}
	m.early.creates[key] = pending
	m.wg.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, createTimeout)
		defer cancel()
		_, err := m.store.Create(ctx, KindJobs, spec.ID, value)
		pending.answer = answerOf(err)
		pending.refusal = m.handleCreated(m.ctx, spec, value, err)
		m.mu.Lock()
		delete(m.early.creates, key)
		m.mu.Unlock()
		close(pending.done)
	})
	return pending
}

// answerOf returns what an error of a create says of the store's answer.
func answerOf(err error) earlystart.Answer {
	if errors.Is(err, product.ErrOutcomeUnknown) || errors.Is(err, product.ErrUnavailable) {
		return earlystart.AnswerNone
	}
	return earlystart.AnswerDecided
}

// storeAnswered records that the store answered a create, so that the unaccepted jobs here needn't wait for their next try.
func (m *Manager) storeAnswered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.early.book.StoreAnswered(time.Now())
}

// answerUnaccepted answers a submission of a job that is unaccepted here. This entry creates its object, so that the submission needs no
// call to the store itself; unless the store is down, the answer waits a moment for that create, which becomes due.
func (m *Manager) answerUnaccepted(j *job, spec *batch.Job) error {
	if now := time.Now(); !m.outage(now) {
		m.mu.Lock()
		m.early.book.Hasten(now, spec.ID)
		m.mu.Unlock()
		timer := time.NewTimer(earlystart.AnswerWait)
		defer timer.Stop()
		select {
		case <-j.settled:
		case <-timer.C:
		case <-m.ctx.Done():
		}
	}
	if known, ok := m.find(spec.ID); ok {
		return checkOrganisation(known.spec, spec.Organisation)
	}
	return refuseUnknownOutcome(outageRetryAfter, "the job has begun and isn't stored yet")
}

// beginAndRefuse has a job begin and returns the refusal of its submission, or nil if the job turns out to be accepted.
func (m *Manager) beginAndRefuse(spec *batch.Job, refusal error) error {
	timer := time.NewTimer(earlystart.AnswerWait)
	defer timer.Stop()
	select {
	case answer := <-m.requestBegin(spec):
		if answer.Accepted {
			return nil
		}
	case <-timer.C:
	}
	return refusal
}

// requestBegin has a job begin at its preferred runner, or here if that entry doesn't answer. The channel returns what became of it.
//
// Every entry asks the same runner, so that a submission that is repeated at another entry finds the job there and doesn't begin it twice.
// If another living entry is known to run the job, that entry is asked instead, since it knows whether the job is accepted.
func (m *Manager) requestBegin(spec *batch.Job) <-chan BeginAnswer {
	answers := make(chan BeginAnswer, 1)
	self := m.members.Self().HostID
	runner, owned := m.livingOwner(spec.ID)
	owned = owned && runner.HostID != self
	if !owned {
		runner = m.preferredRunner(spec)
	}
	switch {
	case m.isEnded(spec.ID):
		answers <- BeginAnswer{}
	case !owned && runner.HostID == self:
		answers <- m.begin(spec)
	default:
		m.wg.Go(func() {
			answer, err := m.callBegin(spec, runner)
			if err != nil && !owned {
				answer = m.begin(spec)
			}
			answers <- answer
		})
	}
	return answers
}

// callBegin asks another entry to begin a job.
func (m *Manager) callBegin(spec *batch.Job, runner gossip.Member) (BeginAnswer, error) {
	ctx, cancel := context.WithTimeout(m.ctx, preferredRunnerTimeout)
	defer cancel()
	value, err := json.Marshal(spec)
	var answer BeginAnswer
	if err == nil {
		answer, err = peer.Call[BeginRequest, BeginAnswer](ctx, m.peers, runner.Address, MethodBegin, BeginRequest{SpecJSON: value})
	}
	m.log.Info().Str("request", spec.ID).Str("entry", runner.HostID).Bool("begun", answer.Begun).Bool("accepted", answer.Accepted).
		AnErr("answer", err).Msg("asked another entry to begin a batch job without the store")
	return answer, err
}

// handleBegin begins a job for an entry that could not store it.
func (m *Manager) handleBegin(_ context.Context, q BeginRequest) (BeginAnswer, error) {
	if m.isLeaving() {
		return BeginAnswer{}, errors.New("this entry is leaving")
	}
	var spec batch.Job
	if err := json.Unmarshal(q.SpecJSON, &spec); err != nil {
		return BeginAnswer{}, errors.Wrap(err, "job")
	}
	return m.begin(&spec), nil
}

// begin runs a job here as unaccepted, unless it is known already, the limits don't allow it, or it may not be in memory here.
func (m *Manager) begin(spec *batch.Job) BeginAnswer {
	if known, ok := m.find(spec.ID); ok {
		return BeginAnswer{Accepted: known.spec.Organisation == spec.Organisation}
	}
	if _, ok := m.findUnaccepted(spec.ID); ok {
		return BeginAnswer{Begun: true}
	}
	self := m.members.Self()
	if m.isEndedOrRunning(spec.ID) || !m.mayKeep(spec.Regions, self) {
		return BeginAnswer{}
	}
	own := *spec
	own.Owner, own.OwnerRun = self.HostID, self.Incarnation
	// A job that the store can never hold is refused as not run, so that it must not begin.
	value, err := json.Marshal(own)
	storable := err == nil && len(value) <= earlystart.MaxBegunBytes
	return BeginAnswer{Begun: m.startUnaccepted(newJob(&own), storable)}
}

// startUnaccepted starts an unaccepted job unless it is known by now. It returns whether an unaccepted job runs under the id.
func (m *Manager) startUnaccepted(j *job, storable bool) bool {
	id, now := j.spec.ID, time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	_, accepted := m.jobs[id]
	_, ended := m.ended[id]
	if _, known := m.early.jobs[id]; known || accepted || ended || m.isEndRequestedLocked(j.spec) || m.leaving || m.ctx.Err() != nil {
		return known
	}
	size := bodyBytes(j.spec)
	if !storable || !m.early.book.Begin(earlystart.Job{ID: id, Begun: now, Due: j.spec.ResultDeadline, Bytes: size}) {
		m.metrics.countEarly(earlyRefused, 0)
		m.log.Warn().Str("request", id).Str("entry", m.members.Self().HostID).Int("items", len(j.spec.Items)).Int("bytes", size).
			Bool("storable", storable).Int("jobs", len(m.early.jobs)).Int("bytesHeld", m.early.book.Bytes()).
			Str("outcome", string(earlyRefused)).Msg("batch job not begun without the store")
		return false
	}
	m.early.jobs[id] = j
	m.metrics.setEarly(len(m.early.jobs))
	m.log.Info().Str("request", id).Str("entry", m.members.Self().HostID).Str("model", j.spec.Model).Int("step", j.spec.Step).
		Int("items", len(j.spec.Items)).Int("completed", 0).Int("events", 0).Dur("age", 0).Msg("batch job begun without the store")
	j.mu.Lock()
	j.unaccepted = true
	j.settled = make(chan struct{})
	m.startRunLocked(j, nil)
	j.mu.Unlock()
	if !m.early.settling {
		m.early.settling = true
		m.wg.Go(m.settleUnaccepted)
	}
	return true
}

// bodyBytes returns the size of a job's request bodies.
func bodyBytes(spec *batch.Job) int {
	total := 0
	for i := range spec.Items {
		total += len(spec.Items[i].Body)
		if reward := spec.Items[i].Reward; reward != nil {
			total += len(reward.Body)
		}
	}
	return total
}

// dropUnaccepted gives up all unaccepted jobs because this process leaves.
func (m *Manager) dropUnaccepted() {
	m.mu.Lock()
	ids := slices.Collect(maps.Keys(m.unacceptedLocked()))
	m.mu.Unlock()
	for _, id := range ids {
		m.giveUp(id, earlyDropped)
	}
}

// giveUp cancels the runs of an unaccepted job and frees its memory. It does nothing if there is no such job.
func (m *Manager) giveUp(id string, outcome earlyOutcome) {
	m.mu.Lock()
	j, ok := m.takeUnacceptedLocked(id)
	m.mu.Unlock()
	if !ok {
		return
	}
	m.recordSettled(j, outcome)
	j.end()
}

// recordSettled logs and counts what became of an unaccepted job.
func (m *Manager) recordSettled(j *job, outcome earlyOutcome) {
	j.mu.Lock()
	results, _ := j.progress.Unwritten()
	events := j.earlyEvents
	begun := j.run.started
	j.mu.Unlock()
	m.metrics.countEarly(outcome, events)
	m.log.Info().Str("request", j.spec.ID).Str("entry", m.members.Self().HostID).Int("items", len(j.spec.Items)).
		Int("completed", len(results)).Int("events", events).Dur("age", time.Since(begun)).Str("outcome", string(outcome)).
		Msg("batch job begun without the store settled")
}
