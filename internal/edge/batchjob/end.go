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

// End ends a job: items that aren't listed yet need not run any more. It may be repeated.
//
// If jobs may begin without the store, the entry that runs the job starts no further items of it while the end can't be stored.
func (m *Manager) End(ctx context.Context, id, organisation string) error {
	if m.early == nil {
		return m.tryEnd(ctx, id, organisation)
	}
	down := m.outage(time.Now())
	if down {
		m.requestHold(id, organisation)
	}
	err := m.tryEnd(ctx, id, organisation)
	if err != nil && !down {
		m.requestHold(id, organisation)
	}
	return err
}

// tryEnd ends a job if the store takes the end.
func (m *Manager) tryEnd(ctx context.Context, id, organisation string) error {
	holder, held := m.holder(id)
	known, ok := m.find(id)
	if !ok && held {
		if err := m.requestEnd(ctx, holder, EndRequest{Job: id, Organisation: organisation}); err == nil {
			return nil
		}
	}
	if !ok {
		var err error
		if known, err = m.readSpec(ctx, id); err != nil {
			return err
		}
	}
	if err := m.endJob(ctx, known, organisation); err != nil {
		return err
	}
	if ok && held {
		// Otherwise that entry learns of the end by gossip only, which takes longer the more entries there are.
		m.wg.Go(func() { _ = m.requestEnd(m.ctx, holder, EndRequest{Job: id, Organisation: organisation, Stored: true}) })
	}
	return nil
}

// requestEnd asks the entry that holds a job in memory to end it.
func (m *Manager) requestEnd(ctx context.Context, holder gossip.Member, q EndRequest) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := peer.Call[EndRequest, EndAnswer](ctx, m.peers, holder.Address, MethodEnd, q)
	if err == nil && !answer.Known {
		err = errors.Errorf("job %s is not in memory there", q.Job)
	}
	if err != nil {
		m.log.Info().Err(err).Str("request", q.Job).Str("entry", holder.HostID).
			Msg("could not have the job ended by the entry that holds it in memory")
	}
	return err
}

// endJob ends a job whose description is known. An end is final, so that a repeat needs no call to the store.
func (m *Manager) endJob(ctx context.Context, known *job, organisation string) error {
	id := known.spec.ID
	if known.spec.Organisation != organisation {
		return notFound(id)
	}
	if m.isEnded(id) {
		return nil
	}
	value, err := json.Marshal(endRecord{Accepted: known.spec.Accepted})
	if err != nil {
		return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonInternal, 0, "end of %s: %v", id, err)
	}
	_, err = m.store.Create(ctx, KindEnds, id, value)
	m.log.Info().Str("request", id).AnErr("store", err).Msg("batch job ended by its trainer")
	if err != nil && !errors.Is(err, product.ErrConflict) {
		return storeRefusal(err)
	}
	m.markEnded(id)
	return nil
}

// handleEnd ends a job that is in memory here for another entry.
func (m *Manager) handleEnd(ctx context.Context, q EndRequest) (EndAnswer, error) {
	if q.Requested {
		return EndAnswer{Known: m.hold(q.Job, q.Organisation)}, nil
	}
	if q.Stored {
		// The job may be unaccepted here.
		m.markEnded(q.Job)
		return EndAnswer{Known: true}, nil
	}
	j, ok := m.find(q.Job)
	if !ok {
		return EndAnswer{}, nil
	}
	err := m.endJob(ctx, j, q.Organisation)
	if err != nil {
		m.hold(q.Job, q.Organisation)
	}
	return EndAnswer{Known: true}, err
}

// markEnded records that a job has ended, and stops it if it is in memory.
func (m *Manager) markEnded(id string) {
	m.mu.Lock()
	if _, known := m.ended[id]; !known {
		m.ended[id] = time.Now()
	}
	m.forgetRequestedEndsLocked(id)
	if known, ok := m.owners[id]; ok {
		// The owner keeps the results in memory for a while; reading them there saves calls to the store.
		m.lastOwners[id] = owner{hostID: known.hostID, learnedAt: time.Now()}
		delete(m.owners, id)
	}
	j, ok := m.jobs[id]
	m.mu.Unlock()
	if ok {
		j.end()
	}
	m.giveUp(id, earlyEnded)
}
