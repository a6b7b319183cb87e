package batchjob

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// readTime is the time for a read beside its wait. Trainers give an answer up 1.5 s after the wait that they allow.
const readTime = 1200 * time.Millisecond

// Results returns the number of items and the listed results of a job from a position on. It waits up to wait if there is none yet.
func (m *Manager) Results(ctx context.Context, id, organisation string, from int, wait time.Duration, maxBytes int) (int, []batch.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTime)
	defer cancel()
	came := time.Now()
	q := ReadRequest{Job: id, Organisation: organisation, From: from, Wait: wait, MaxBytes: maxBytes}
	if j, ok := m.find(id); ok && j.shows(from) {
		if j.spec.Organisation != organisation {
			return 0, nil, notFound(id)
		}
		return m.answer(ctx, j, q, came)
	}
	if answer, ok := m.askReader(ctx, q); ok {
		return answer.Total, answer.Results, nil
	}
	if m.outage(time.Now()) {
		return 0, nil, outageRefusal()
	}
	j, err := m.load(ctx, id, organisation)
	if err != nil {
		return 0, nil, err
	}
	q.Wait -= time.Since(came)
	return m.answer(ctx, j, q, came)
}

// askReader has a read answered by the entry that runs the job or keeps its results; false if there is none, or it can't be sure.
func (m *Manager) askReader(ctx context.Context, q ReadRequest) (ReadAnswer, bool) {
	owner, ok := m.reader(q.Job)
	if !ok {
		return ReadAnswer{}, false
	}
	answer, err := peer.Ask[ReadRequest, ReadAnswer](ctx, m.peers, owner.Address, MethodRead, q)
	if err == nil && answer.Known {
		return answer, true
	}
	m.log.Debug().Err(err).Str("request", q.Job).Str("entry", owner.HostID).Msg("results not had from the entry that runs the job")
	if err == nil {
		m.forgetOwner(q.Job, owner.HostID)
	}
	return ReadAnswer{}, false
}

// readFor answers a read for another entry, if the job is known here and runs here or is over.
func (m *Manager) readFor(ctx context.Context, q ReadRequest) (ReadAnswer, error) {
	came := time.Now()
	j, ok := m.find(q.Job)
	if !ok || j.spec.Organisation != q.Organisation || !j.shows(q.From) && !j.over() {
		return ReadAnswer{}, nil
	}
	total, results, err := m.answer(ctx, j, q, came)
	return ReadAnswer{Known: err == nil, Total: total, Results: results}, err
}

// confirmedTime is how long an answer of the store that no page follows is good for: another entry may list more at any time.
const confirmedTime = 200 * time.Millisecond

// answer returns the results from a position on, once there are some or the wait is over. All answers to readers are given here.
//
// Guard: whether this entry runs the job or has only read it, others may have listed and shown more; batch.Progress.Show tells how that
// looks. So the store is asked after the wait, right before nothing is shown, and the read is refused if it can't be asked.
func (m *Manager) answer(ctx context.Context, j *job, q ReadRequest, came time.Time) (int, []batch.Result, error) {
	j.await(ctx, q.From, q.Wait)
	if recent := time.Now().Add(-confirmedTime); recent.After(came) {
		came = recent
	}
	total, results, ok := j.show(came, q.From, q.MaxBytes)
	if !ok {
		if err := m.ask(ctx, j); err != nil {
			m.noteRead(j, q.From, basisUnsure)
			return 0, nil, err
		}
		total, results, _ = j.show(came, q.From, q.MaxBytes)
	}
	if len(results) == 0 {
		m.noteRead(j, q.From, basisStore)
	} else {
		m.metrics.read(basisListed)
	}
	return total, results, nil
}

// ask has the store asked for pages that follow those known. In an outage it is not tried: the reader would wait for nothing.
func (m *Manager) ask(ctx context.Context, j *job) error {
	if m.outage(time.Now()) {
		return outageRefusal()
	}
	if err := m.catchUp(ctx, j); err != nil {
		return storeRefusal(err)
	}
	return nil
}

// noteRead logs on what ground a read was told that nothing is listed, or that this entry can't be sure.
func (m *Manager) noteRead(j *job, from int, ground basis) {
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
