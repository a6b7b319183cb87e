package batchjob

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform"
)

// Submit accepts a job: it is kept whole from then on, whatever fails. A repeated submission is accepted again.
//
// Guard: without the store this entry can't tell a first submission from a repeat of one that another entry accepted, and whose job
// runs. "Not run" would be untrue for the second, so that the answer leaves it open, at once and with the time to come back.
func (m *Manager) Submit(ctx context.Context, spec *batch.Job) error {
	if known, ok := m.find(spec.ID); ok {
		return accepted(known.spec, spec.Organisation)
	}
	if m.outage(time.Now()) {
		// To try would hold the trainer for seconds, and leave open whether the job was accepted.
		return leftOpen(outageRetry, "no entry reaches the store")
	}
	home := m.home(spec)
	spec.Owner, spec.OwnerRun = home.HostID, home.Incarnation
	value, err := json.Marshal(spec)
	if err != nil {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "job %s: %v", spec.ID, err)
	}
	_, err = m.store.Create(ctx, KindJobs, spec.ID, value)
	m.log.Info().Str("request", spec.ID).Str("organisation", spec.Organisation).Str("model", spec.Model).
		Int("step", spec.Step).Int("items", len(spec.Items)).Int("minVersion", spec.MinVersion).
		AnErr("store", err).Msg("batch job submitted")
	switch {
	case err == nil:
		m.begin(spec, value)
		return nil
	case errors.Is(err, product.ErrConflict):
		return m.submittedBefore(ctx, spec, err)
	case errors.Is(err, product.ErrUnsettled):
		m.work.Go(func() { m.settle(spec) })
		return leftOpen(storeRetry, "the store's answer was lost")
	case errors.Is(err, product.ErrUnavailable):
		return leftOpen(storeRetry, "the store can't be reached")
	default:
		return verdict.Refuse(verdict.NotRun, verdict.ReasonTooLarge, 0, "job %s: %v", spec.ID, err)
	}
}

// submittedBefore answers a submission whose job exists: this entry's own whose answer was lost, or another's.
func (m *Manager) submittedBefore(ctx context.Context, spec *batch.Job, conflict error) error {
	kept, err := m.conflicting(ctx, KindJobs, spec.ID, conflict)
	if err != nil {
		return leftOpen(storeRetry, "the job exists, and can't be read: "+err.Error())
	}
	var known batch.Job
	if err := json.Unmarshal(kept, &known); err != nil {
		return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonInternal, storeRetry, "the job exists, and can't be read: %v", err)
	}
	if err := accepted(&known, spec.Organisation); err != nil {
		return err
	}
	if _, runs := m.owner(known.ID); !runs && known.Owner == spec.Owner {
		m.begin(&known, nil)
	}
	return nil
}

// leftOpen tells a trainer that it isn't known whether the job was accepted, and when to come back.
func leftOpen(retry time.Duration, detail string) error {
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonPlatformUnavailable, retry, "%s", detail)
}

// conflicting returns the value of the object that stood in the way of a create.
func (m *Manager) conflicting(ctx context.Context, kind, name string, err error) (json.RawMessage, error) {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && len(conflict.Object.Value) > 0 {
		return conflict.Object.Value, nil
	}
	object, err := m.store.Get(ctx, kind, name)
	return object.Value, err
}

// accepted says whether a repeated submission is of the organisation that the job belongs to.
func accepted(known *batch.Job, organisation string) error {
	if known.Organisation != organisation {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonForbidden, 0, "the job's id is taken")
	}
	return nil
}

// settle finds out whether a job was accepted whose answer from the store was lost, and runs it if so.
func (m *Manager) settle(spec *batch.Job) {
	end := time.Now().Add(settleTime)
	for time.Now().Before(end) && ticker.Sleep(m.ctx, settlePause) {
		if m.isCaredFor(spec.ID) {
			return
		}
		_, err := m.store.Get(m.ctx, KindJobs, spec.ID)
		if err == nil {
			m.log.Info().Str("request", spec.ID).Msg("batch job was accepted though the store's answer was lost")
			m.begin(spec, nil)
			return
		}
	}
}
