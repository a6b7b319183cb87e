package batchjob

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// Results returns the number of items and the listed results of a job from a position on. It waits up to wait if there is none yet.
func (m *Manager) Results(ctx context.Context, id, organisation string, from int, wait time.Duration, maxBytes int) (int, []batch.Result, error) {
	if j, ok := m.find(id); ok && j.shows(from) {
		if j.spec.Organisation != organisation {
			return 0, nil, notFound(id)
		}
		return m.answer(ctx, j, from, wait, maxBytes)
	}
	if owner, ok := m.reader(id); ok {
		q := ReadRequest{Job: id, Organisation: organisation, From: from, Wait: wait, MaxBytes: maxBytes}
		answer, err := peer.Ask[ReadRequest, ReadAnswer](ctx, m.peers, owner.Address, MethodRead, q)
		if err == nil && answer.Known {
			return answer.Total, answer.Results, nil
		}
		m.log.Debug().Err(err).Str("request", id).Str("entry", owner.HostID).Msg("results not had from the entry that runs the job")
		if err == nil {
			m.forgetOwner(id, owner.HostID)
		}
	}
	j, err := m.load(ctx, id, organisation)
	if err != nil {
		return 0, nil, err
	}
	return m.answer(ctx, j, from, wait, maxBytes)
}

// readFor answers a read for another entry, if the job is known here and runs here or is over.
func (m *Manager) readFor(ctx context.Context, q ReadRequest) (ReadAnswer, error) {
	j, ok := m.find(q.Job)
	if !ok || j.spec.Organisation != q.Organisation || !m.readable(ctx, j, q.From) {
		return ReadAnswer{}, nil
	}
	total, results, err := m.answer(ctx, j, q.From, q.Wait, q.MaxBytes)
	return ReadAnswer{Known: err == nil, Total: total, Results: results}, err
}

// answer returns the results from a position on, from what is known here.
//
// Guard: two entries run one job after they lost sight of each other, and one of them has yet to learn of the other's pages. It
// would show an empty list at a position that a trainer has read at the other. So where another may run the job as well,
// the store is asked before an empty list is shown.
func (m *Manager) answer(ctx context.Context, j *job, from int, wait time.Duration, maxBytes int) (int, []batch.Result, error) {
	total, results := j.results(ctx, from, wait, maxBytes)
	if len(results) > 0 {
		m.metrics.read(basisListed)
		return total, results, nil
	}
	if !j.isShared() {
		m.noteNothing(j, from, basisMemory)
		return total, results, nil
	}
	if err := m.catchUp(ctx, j); err != nil {
		m.noteNothing(j, from, basisUnsure)
		return 0, nil, storeRefusal(err)
	}
	total, results = j.results(ctx, from, 0, maxBytes)
	if len(results) == 0 {
		m.noteNothing(j, from, basisStore)
	}
	return total, results, nil
}

// noteNothing logs on what ground a read was told that nothing is listed, or that this entry can't be sure.
func (m *Manager) noteNothing(j *job, from int, ground basis) {
	m.metrics.read(ground)
	state := j.state()
	m.log.Info().Str("request", state.ID).Int("from", from).Str("basis", string(ground)).Bool("runs", state.Runs).
		Bool("ended", state.Ended).Int("listed", state.Listed).Int("pages", state.Pages).Msg("nothing to show at the position")
}

// Body returns the body of an item.
func (m *Manager) Body(ctx context.Context, id, organisation, item string) ([]byte, error) {
	if owner, ok := m.reader(id); ok {
		q := BodyRequest{Job: id, Organisation: organisation, Item: item}
		answer, err := peer.Ask[BodyRequest, BodyAnswer](ctx, m.peers, owner.Address, MethodBody, q)
		if err == nil && answer.Known && answer.Found {
			return answer.Body, nil
		}
	}
	j, ok := m.find(id)
	if !ok {
		var err error
		if j, err = m.load(ctx, id, organisation); err != nil {
			return nil, err
		}
	}
	body, found := j.body(item)
	if !found || j.spec.Organisation != organisation {
		return nil, notFound(item)
	}
	return body, nil
}
