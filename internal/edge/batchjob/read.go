package batchjob

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
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
	q.Wait -= time.Since(came)
	if answer, ok := m.askStoreReader(ctx, q, came); ok {
		return answer.Total, answer.Results, nil
	}
	j, err := m.load(ctx, id, organisation)
	if err != nil {
		return 0, nil, err
	}
	q.Wait = wait - time.Since(came)
	return m.answer(ctx, j, q, came)
}

// askReader has a read answered by the entry that runs the job or keeps its results; false if there is none, or it can't be sure.
func (m *Manager) askReader(ctx context.Context, q ReadRequest) (ReadAnswer, bool) {
	owner, ok := m.reader(q.Job)
	if !ok {
		return ReadAnswer{}, false
	}
	answer, known, err := m.askRead(ctx, owner, q)
	if known {
		return answer, true
	}
	m.log.Debug().Err(err).Str("request", q.Job).Str("entry", owner.HostID).Msg("results not had from the entry that runs the job")
	if err == nil && !answer.Known {
		m.forgetOwner(q.Job, owner.HostID)
	}
	return ReadAnswer{}, false
}

// askStoreReader sends a read to the job's store reader. It returns false if this entry is the reader, if too little time is left, or if
// the answer may not be passed on.
func (m *Manager) askStoreReader(ctx context.Context, q ReadRequest, came time.Time) (ReadAnswer, bool) {
	reader := m.storeReader(q.Job)
	if reader.HostID == m.members.Self().HostID || time.Since(came) > askTime/2 {
		return ReadAnswer{}, false
	}
	q.Load = true
	answer, known, err := m.askRead(ctx, reader, q)
	if !known {
		m.log.Debug().Err(err).Str("request", q.Job).Str("entry", reader.HostID).Msg("could not get results from the job's store reader")
	}
	return answer, known
}

// askRead sends a read to another entry and reports whether the answer may be passed on.
func (m *Manager) askRead(ctx context.Context, from gossip.Member, q ReadRequest) (ReadAnswer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+askTime)
	defer cancel()
	asked := time.Now()
	answer, err := peer.Ask[ReadRequest, ReadAnswer](ctx, m.peers, from.Address, MethodRead, q)
	return answer, err == nil && answer.Known && answer.current(time.Since(asked)), err
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

// readFor answers a read for another entry if the job runs here or is over, or if the request asks to load it from the store.
func (m *Manager) readFor(ctx context.Context, q ReadRequest) (ReadAnswer, error) {
	came := time.Now()
	j, ok := m.find(q.Job)
	if q.Load && (!ok || !j.shows(q.From)) {
		return m.loadFor(ctx, q, came)
	}
	if !ok || j.spec.Organisation != q.Organisation || !j.shows(q.From) && !j.over() {
		return ReadAnswer{}, nil
	}
	total, results, err := m.answer(ctx, j, q, came)
	waited := q.Wait > 0 && time.Since(came) >= q.Wait
	return ReadAnswer{Known: err == nil, Total: total, Results: results, Waited: waited}, err
}

// loadFor loads the job from the store and answers a read for another entry.
func (m *Manager) loadFor(ctx context.Context, q ReadRequest, came time.Time) (ReadAnswer, error) {
	j, err := m.load(ctx, q.Job, q.Organisation)
	if err != nil {
		return ReadAnswer{}, err
	}
	wait := q.Wait
	q.Wait -= time.Since(came)
	total, results, err := m.answer(ctx, j, q, came)
	waited := wait > 0 && time.Since(came) >= wait
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
		if body, ok := m.askBody(ctx, BodyRequest{Job: id, Organisation: organisation, Item: item}); ok {
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

// askBody fetches the body of an item from the entry that runs the job or keeps its results, or else from the job's store reader.
func (m *Manager) askBody(ctx context.Context, q BodyRequest) ([]byte, bool) {
	from, ok := m.reader(q.Job)
	if !ok {
		from, q.Load = m.storeReader(q.Job), true
	}
	if from.HostID == m.members.Self().HostID {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	answer, err := peer.Ask[BodyRequest, BodyAnswer](ctx, m.peers, from.Address, MethodBody, q)
	return answer.Body, err == nil && answer.Known && answer.Found
}

// bodyFor returns the body of an item for another entry.
func (m *Manager) bodyFor(ctx context.Context, q BodyRequest) (BodyAnswer, error) {
	j, ok := m.find(q.Job)
	if !ok && q.Load {
		var err error
		if j, err = m.known(ctx, q.Job); err != nil {
			return BodyAnswer{}, err
		}
		ok = true
	}
	if !ok || j.spec.Organisation != q.Organisation {
		return BodyAnswer{}, nil
	}
	body, found := j.body(q.Item)
	return BodyAnswer{Known: true, Found: found, Body: body}, nil
}
