package batchjob

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// End ends a job: what isn't listed need not be run any more. Repeats are harmless.
func (m *Manager) End(ctx context.Context, id, organisation string) error {
	if known, ok := m.find(id); ok {
		return m.endKnown(ctx, known, organisation)
	}
	if owner, ok := m.reader(id); ok {
		q := EndRequest{Job: id, Organisation: organisation}
		answer, err := peer.Ask[EndRequest, EndAnswer](ctx, m.peers, owner.Address, MethodEnd, q)
		if err == nil && answer.Known {
			return nil
		}
		m.log.Info().Err(err).Str("request", id).Str("entry", owner.HostID).Msg("end not carried out by the entry that runs the job")
	}
	known, err := m.peek(ctx, id)
	if err != nil {
		return err
	}
	return m.endKnown(ctx, known, organisation)
}

// endKnown ends a job whose description is known. What ended once has ended for good, so that repeats need no call.
func (m *Manager) endKnown(ctx context.Context, known *job, organisation string) error {
	id := known.spec.ID
	if known.spec.Organisation != organisation {
		return notFound(id)
	}
	if m.isEnded(id) {
		return nil
	}
	value, err := json.Marshal(end{Accepted: known.spec.Accepted})
	if err != nil {
		return verdict.New(verdict.MayHaveRun, 0, verdict.ReasonInternal, 0, "end of %s: %v", id, err)
	}
	_, err = m.store.Create(ctx, KindEnds, id, value)
	m.log.Info().Str("request", id).AnErr("store", err).Msg("batch job ended by its trainer")
	if err != nil && !errors.Is(err, product.ErrConflict) {
		return storeRefusal(err)
	}
	m.endHere(id)
	return nil
}

func (m *Manager) endHere(id string) {
	m.mu.Lock()
	if _, known := m.ended[id]; !known {
		m.ended[id] = time.Now()
	}
	if known, ran := m.owners[id]; ran {
		// It has the results in memory for a while, which saves calls to the store.
		m.keepers[id] = owner{hostID: known.hostID, since: time.Now()}
		delete(m.owners, id)
	}
	delete(m.copies, id)
	j, ok := m.jobs[id]
	m.mu.Unlock()
	if ok {
		j.end()
	}
}
