package batchjob

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// End ends a job: what isn't listed need not be run any more. Repeats are harmless.
func (m *Manager) End(ctx context.Context, id, organisation string) error {
	owner, owned := m.reader(id)
	known, ok := m.find(id)
	if !ok && owned {
		if err := m.askEnd(ctx, owner, EndRequest{Job: id, Organisation: organisation}); err == nil {
			return nil
		}
	}
	if !ok {
		var err error
		if known, err = m.peek(ctx, id); err != nil {
			return err
		}
	}
	if err := m.endKnown(ctx, known, organisation); err != nil {
		return err
	}
	if ok && owned {
		// It would hear of the end from others only, which takes longer the more entries there are.
		m.work.Go(func() { _ = m.askEnd(m.ctx, owner, EndRequest{Job: id, Organisation: organisation, Written: true}) })
	}
	return nil
}

// askEnd has the entry that runs a job end it.
func (m *Manager) askEnd(ctx context.Context, owner gossip.Member, q EndRequest) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	answer, err := peer.Ask[EndRequest, EndAnswer](ctx, m.peers, owner.Address, MethodEnd, q)
	if err == nil && !answer.Known {
		err = errors.Errorf("job %s is not known there", q.Job)
	}
	if err != nil {
		m.log.Info().Err(err).Str("request", q.Job).Str("entry", owner.HostID).Msg("end not carried out by the entry that runs the job")
	}
	return err
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
		return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonInternal, 0, "end of %s: %v", id, err)
	}
	_, err = m.store.Create(ctx, KindEnds, id, value)
	m.log.Info().Str("request", id).AnErr("store", err).Msg("batch job ended by its trainer")
	if err != nil && !errors.Is(err, product.ErrConflict) {
		return storeRefusal(err)
	}
	m.endHere(id)
	return nil
}

// endFor ends a job that is known here for another entry.
func (m *Manager) endFor(ctx context.Context, q EndRequest) (EndAnswer, error) {
	j, ok := m.find(q.Job)
	if !ok {
		return EndAnswer{}, nil
	}
	if q.Written {
		m.endHere(q.Job)
		return EndAnswer{Known: true}, nil
	}
	return EndAnswer{Known: true}, m.endKnown(ctx, j, q.Organisation)
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
	j, ok := m.jobs[id]
	m.mu.Unlock()
	if ok {
		j.end()
	}
}
