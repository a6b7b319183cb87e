package batchjob

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/earlystart"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform"
)

// Submit accepts a job by writing it to the store, so that it survives any failure of entries. A repeated submission is accepted again.
//
// Without the store this entry can't distinguish a first submission from a repeat of one that another entry accepted and whose job runs.
// For a repeat the answer "not run" would be wrong, so the refusal says MayHaveRun, and is sent at once with the time to retry.
func (m *Manager) Submit(ctx context.Context, spec *batch.Job) error {
	if known, ok := m.find(spec.ID); ok {
		return checkOrganisation(known.spec, spec.Organisation)
	}
	if m.early != nil {
		return m.submitEarly(spec)
	}
	if m.outage(time.Now()) {
		// A call to the store would delay the trainer for seconds, and leave open whether the job was accepted.
		return refuseUnknownOutcome(outageRetryAfter, "no entry reaches the store")
	}
	runner := m.preferredRunner(spec)
	spec.Owner, spec.OwnerRun = runner.HostID, runner.Incarnation
	value, err := json.Marshal(spec)
	if err != nil {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "job %s: %v", spec.ID, err)
	}
	_, err = m.store.Create(ctx, KindJobs, spec.ID, value)
	return m.handleCreated(ctx, spec, value, err)
}

// handleCreated answers a submission as the store answered the create of its job.
func (m *Manager) handleCreated(ctx context.Context, spec *batch.Job, value json.RawMessage, err error) error {
	m.log.Info().Str("request", spec.ID).Str("organisation", spec.Organisation).Str("model", spec.Model).
		Int("step", spec.Step).Int("items", len(spec.Items)).Int("minVersion", spec.MinVersion).
		AnErr("store", err).Msg("batch job submitted")
	if m.early != nil && answerOf(err) == earlystart.AnswerDecided {
		m.storeAnswered()
	}
	switch {
	case err == nil:
		m.assign(spec, value)
		return nil
	case errors.Is(err, product.ErrConflict):
		return m.handleDuplicate(ctx, spec, err)
	case errors.Is(err, product.ErrOutcomeUnknown):
		m.wg.Go(func() { m.resolveLostAnswer(spec) })
		return refuseUnknownOutcome(storeRetryAfter, "the store's answer was lost")
	case errors.Is(err, product.ErrUnavailable):
		return refuseUnknownOutcome(storeRetryAfter, "the store can't be reached")
	case m.early != nil && len(value) <= earlystart.MaxStoredBytes:
		// An earlier submission of the job may have begun.
		return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonTooLarge, 0, "job %s: %v", spec.ID, err)
	default:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonTooLarge, 0, "job %s: %v", spec.ID, err)
	}
}

// handleDuplicate answers a submission whose job exists: created by this entry, whose answer was lost, or submitted before.
func (m *Manager) handleDuplicate(ctx context.Context, spec *batch.Job, conflict error) error {
	existing, err := m.existingValue(ctx, KindJobs, spec.ID, conflict)
	if err != nil {
		return refuseUnknownOutcome(storeRetryAfter, "the job exists, and can't be read: "+err.Error())
	}
	var known batch.Job
	if err := json.Unmarshal(existing, &known); err != nil {
		return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonInternal, storeRetryAfter, "the job exists, and can't be read: %v", err)
	}
	if err := checkOrganisation(&known, spec.Organisation); err != nil {
		return err
	}
	if _, runs := m.livingOwner(known.ID); !runs && known.Owner == spec.Owner {
		m.assign(&known, nil)
	}
	return nil
}

// refuseUnknownOutcome returns the refusal of a submission of which it isn't known whether the job was accepted, with the time to retry.
func refuseUnknownOutcome(retry time.Duration, detail string) error {
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonPlatformUnavailable, retry, "%s", detail)
}

// existingValue returns the value of the object that made a create fail.
func (m *Manager) existingValue(ctx context.Context, kind, name string, err error) (json.RawMessage, error) {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && len(conflict.Object.Value) > 0 {
		return conflict.Object.Value, nil
	}
	object, err := m.store.Get(ctx, kind, name)
	return object.Value, err
}

// checkOrganisation refuses a repeated submission by another organisation than the one that the job belongs to.
func checkOrganisation(known *batch.Job, organisation string) error {
	if known.Organisation != organisation {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonForbidden, 0, "the job's id is taken")
	}
	return nil
}

// resolveLostAnswer polls the store for a job whose create had no answer, and has it run if it was accepted. One poll per job is enough,
// however often its submission is repeated; a repeat prolongs it, as its own create may be carried out late as well.
func (m *Manager) resolveLostAnswer(spec *batch.Job) {
	m.mu.Lock()
	_, polled := m.lostAnswers[spec.ID]
	m.lostAnswers[spec.ID] = time.Now().Add(lostAnswerTimeout)
	m.mu.Unlock()
	if polled {
		return
	}
	defer m.forgetLostAnswer(spec.ID)
	for m.isAnswerLost(spec.ID) && ticker.Sleep(m.ctx, lostAnswerPollInterval) {
		if m.isEndedOrRunning(spec.ID) {
			return
		}
		if m.outage(time.Now()) {
			continue
		}
		object, err := m.store.Get(m.ctx, KindJobs, spec.ID)
		if err == nil {
			if _, ok := m.findUnaccepted(spec.ID); ok && (!m.acceptExisting(m.ctx, spec.ID, object.Value) || m.isEndedOrRunning(spec.ID)) {
				continue
			}
			var stored batch.Job
			if err := json.Unmarshal(object.Value, &stored); err != nil {
				m.log.Error().Err(err).Str("request", spec.ID).Msg("batch job can't be read")
				return
			}
			m.log.Info().Str("request", spec.ID).Msg("batch job was accepted though the store's answer was lost")
			// The stored job may be another submission's, whose terms differ.
			m.assign(&stored, nil)
			return
		}
	}
}

// isAnswerLost reports whether the store is to be polled for a job.
func (m *Manager) isAnswerLost(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.lostAnswers[id])
}

func (m *Manager) forgetLostAnswer(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.lostAnswers, id)
}
