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
	ctx, cancel := context.WithTimeout(ctx, q.Wait+askTime)
	defer cancel()
	asked := time.Now()
	answer, err := peer.Ask[ReadRequest, ReadAnswer](ctx, m.peers, owner.Address, MethodRead, q)
	if err == nil && answer.Known {
		return answer, answer.current(time.Since(asked))
	}
	m.log.Debug().Err(err).Str("request", q.Job).Str("entry", owner.HostID).Msg("results not had from the entry that runs the job")
	if err == nil {
		m.forgetOwner(q.Job, owner.HostID)
	}
	return ReadAnswer{}, false
}

// passTime is how old an empty list of another entry may be when it is passed on.
const passTime = 900 * time.Millisecond

// current says whether an answer that took so long may be passed on. Results never change.
//
// Guard: the entry that runs a job was told by the store that nothing is listed, and stood still before it answered. Meanwhile a result was listed
// and shown. An answer that was confirmed after the wait can't be older than the rest of the time for the question.
func (a ReadAnswer) current(took time.Duration) bool {
	return len(a.Results) > 0 || a.Waited || took <= passTime
}

// readFor answers a read for another entry, if the job is known here and runs here or is over.
func (m *Manager) readFor(ctx context.Context, q ReadRequest) (ReadAnswer, error) {
	came := time.Now()
	j, ok := m.find(q.Job)
	if !ok || j.spec.Organisation != q.Organisation || !j.shows(q.From) && !j.over() {
		return ReadAnswer{}, nil
	}
	total, results, err := m.answer(ctx, j, q, came)
	waited := q.Wait > 0 && time.Since(came) >= q.Wait
	return ReadAnswer{Known: err == nil, Total: total, Results: results, Waited: waited}, err
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
	if err := m.confirm(ctx, j, q, came); err != nil {
		m.noteRead(j, q.From, basisUnsure)
		return 0, nil, err
	}
	total, results, _ := j.show(came, q.From, q.MaxBytes)
	if len(results) == 0 {
		m.noteRead(j, q.From, basisStore)
	} else {
		m.metrics.read(basisListed)
	}
	return total, results, nil
}

// confirm has the store asked for pages that follow those known, unless the read can be answered without. Readers of a job that come together
// wait for one question. In an outage it is not tried: they would wait for nothing.
func (m *Manager) confirm(ctx context.Context, j *job, q ReadRequest, came time.Time) error {
	if _, _, ok := j.show(came, q.From, q.MaxBytes); ok {
		return nil
	}
	if m.outage(time.Now()) {
		return outageRefusal()
	}
	select {
	case j.asking <- struct{}{}:
		defer func() { <-j.asking }()
	case <-ctx.Done():
		return storeRefusal(ctx.Err())
	}
	if _, _, ok := j.show(came, q.From, q.MaxBytes); ok {
		return nil
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

// Body returns the body of an item. It is part of the job and never changes, so that it is taken from wherever it is had first.
func (m *Manager) Body(ctx context.Context, id, organisation, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	if _, ok := m.find(id); !ok {
		if body, ok := m.askBody(ctx, id, organisation, item); ok {
			return body, nil
		}
	}
	j, err := m.known(ctx, id)
	if err != nil {
		return nil, err
	}
	body, found := j.body(item)
	if !found || j.spec.Organisation != organisation {
		return nil, notFound(item)
	}
	return body, nil
}

// askBody has the body of an item from the entry that runs the job or keeps its results.
func (m *Manager) askBody(ctx context.Context, id, organisation, item string) ([]byte, bool) {
	owner, ok := m.reader(id)
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	q := BodyRequest{Job: id, Organisation: organisation, Item: item}
	answer, err := peer.Ask[BodyRequest, BodyAnswer](ctx, m.peers, owner.Address, MethodBody, q)
	return answer.Body, err == nil && answer.Known && answer.Found
}
