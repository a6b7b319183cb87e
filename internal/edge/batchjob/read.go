package batchjob

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// readTimeout bounds a read in addition to its wait. Trainers give up 1.5 s after the wait that they allow.
const readTimeout = 1200 * time.Millisecond

// Results returns the number of items and the listed results of a job from a position on. It waits up to wait if no result is listed there yet.
func (m *Manager) Results(ctx context.Context, id, organisation string, from int, wait time.Duration, maxBytes int) (int, []batch.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	received := time.Now()
	q := ReadRequest{Job: id, Organisation: organisation, From: from, Wait: wait, MaxBytes: maxBytes}
	if j, ok := m.find(id); ok && j.canAnswer(from) {
		if j.spec.Organisation != organisation {
			return 0, nil, notFound(id)
		}
		return m.answerRead(ctx, j, q, received)
	}
	if answer, ok := m.readFromHolder(ctx, q); ok {
		return answer.Total, answer.Results, nil
	}
	if m.outage(time.Now()) {
		return 0, nil, outageRefusal()
	}
	q.Wait -= time.Since(received)
	if answer, ok := m.readFromStoreReader(ctx, q, received); ok {
		return answer.Total, answer.Results, nil
	}
	j, err := m.loadAndEnsureRun(ctx, id, organisation)
	if err != nil {
		return 0, nil, err
	}
	q.Wait = wait - time.Since(received)
	return m.answerRead(ctx, j, q, received)
}

// readFromHolder has a read answered by the entry that has the job in memory; false if there is none, or its answer may not be passed on.
func (m *Manager) readFromHolder(ctx context.Context, q ReadRequest) (ReadAnswer, bool) {
	holder, ok := m.holder(q.Job)
	if !ok {
		return ReadAnswer{}, false
	}
	answer, known, err := m.requestRead(ctx, holder, q)
	if known {
		return answer, true
	}
	m.log.Debug().Err(err).Str("request", q.Job).Str("entry", holder.HostID).
		Msg("could not get results from the entry that holds the job in memory")
	if err == nil && !answer.Known {
		m.forgetOwner(q.Job, holder.HostID)
	}
	return ReadAnswer{}, false
}

// readFromStoreReader sends a read to the job's store reader. It returns false if this entry is the reader, if too little time is left, or
// if the answer may not be passed on.
func (m *Manager) readFromStoreReader(ctx context.Context, q ReadRequest, received time.Time) (ReadAnswer, bool) {
	reader := m.storeReader(q.Job)
	if reader.HostID == m.members.Self().HostID || time.Since(received) > peerTimeout/2 {
		return ReadAnswer{}, false
	}
	q.Load = true
	answer, known, err := m.requestRead(ctx, reader, q)
	if !known {
		m.log.Debug().Err(err).Str("request", q.Job).Str("entry", reader.HostID).Msg("could not get results from the job's store reader")
	}
	return answer, known
}

// requestRead sends a read to another entry and reports whether the answer may be passed on.
func (m *Manager) requestRead(ctx context.Context, from gossip.Member, q ReadRequest) (ReadAnswer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+peerTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := peer.Call[ReadRequest, ReadAnswer](ctx, m.peers, from.Address, MethodRead, q)
	return answer, err == nil && answer.Known && answer.isCurrent(time.Since(sent)), err
}

// maxRelayedAge is how old an empty list of another entry may be when it is passed on.
const maxRelayedAge = 900 * time.Millisecond

// isCurrent reports whether an answer that took that long may be passed on. Listed results never change, so that only an empty list can be
// outdated.
//
// The entry that runs a job may read in the store that nothing is listed and be suspended before it answers, while a result is listed and
// returned by another entry. An answer with Waited was confirmed after the full wait, so it can't be older than the rest of the timeout.
func (a ReadAnswer) isCurrent(took time.Duration) bool {
	return len(a.Results) > 0 || a.Waited || took <= maxRelayedAge
}

// handleRead answers a read for another entry if the job runs here or is finished, or if the request asks to load it from the store.
func (m *Manager) handleRead(ctx context.Context, q ReadRequest) (ReadAnswer, error) {
	received := time.Now()
	j, ok := m.find(q.Job)
	if q.Load && (!ok || !j.canAnswer(q.From)) {
		return m.loadAndAnswer(ctx, q, received)
	}
	if !ok || j.spec.Organisation != q.Organisation || !j.canAnswer(q.From) && !j.finished() {
		return ReadAnswer{}, nil
	}
	total, results, err := m.answerRead(ctx, j, q, received)
	waited := q.Wait > 0 && time.Since(received) >= q.Wait
	return ReadAnswer{Known: err == nil, Total: total, Results: results, Waited: waited}, err
}

// loadAndAnswer loads the job from the store and answers a read for another entry.
func (m *Manager) loadAndAnswer(ctx context.Context, q ReadRequest, received time.Time) (ReadAnswer, error) {
	j, err := m.loadAndEnsureRun(ctx, q.Job, q.Organisation)
	if err != nil {
		return ReadAnswer{}, err
	}
	wait := q.Wait
	q.Wait -= time.Since(received)
	total, results, err := m.answerRead(ctx, j, q, received)
	waited := wait > 0 && time.Since(received) >= wait
	return ReadAnswer{Known: err == nil, Total: total, Results: results, Waited: waited}, err
}

// confirmationTTL is how long the store's answer that no page follows is used: another entry may list more at any time.
const confirmationTTL = 200 * time.Millisecond

// answerRead returns the results from a position on, once there are some or the wait is over. All reads are answered here.
//
// Whether this entry runs the job or has only read it, others may have listed and returned more; see batch.Progress.ReadResults. So the store is
// queried after the wait, right before an empty list is returned, and the read is refused if that fails.
func (m *Manager) answerRead(ctx context.Context, j *job, q ReadRequest, received time.Time) (int, []batch.Result, error) {
	j.awaitResults(ctx, q.From, q.Wait)
	if recent := time.Now().Add(-confirmationTTL); recent.After(received) {
		received = recent
	}
	if err := m.ensureCurrent(ctx, j, q, received); err != nil {
		m.logEmptyRead(j, q.From, basisUnsure)
		return 0, nil, err
	}
	total, results, _ := j.resultsFrom(received, q.From, q.MaxBytes)
	if len(results) == 0 {
		m.logEmptyRead(j, q.From, basisStore)
	} else {
		m.metrics.countRead(basisListed)
	}
	return total, results, nil
}

// ensureCurrent queries the store for pages that follow those known, unless the read can be answered without. Concurrent readers of a job
// share one query. In an outage the read is refused at once, as the readers would wait in vain.
func (m *Manager) ensureCurrent(ctx context.Context, j *job, q ReadRequest, received time.Time) error {
	if _, _, ok := j.resultsFrom(received, q.From, q.MaxBytes); ok {
		return nil
	}
	if m.outage(time.Now()) {
		return outageRefusal()
	}
	select {
	case j.storeQuery <- struct{}{}:
		defer func() { <-j.storeQuery }()
	case <-ctx.Done():
		return storeRefusal(ctx.Err())
	}
	if _, _, ok := j.resultsFrom(received, q.From, q.MaxBytes); ok {
		return nil
	}
	if err := m.readNewPages(ctx, j); err != nil {
		return storeRefusal(err)
	}
	return nil
}

// logEmptyRead logs and counts a read that found nothing listed, or was refused as that could not be confirmed.
func (m *Manager) logEmptyRead(j *job, from int, basis readBasis) {
	m.metrics.countRead(basis)
	state := j.state()
	m.log.Info().Str("request", state.ID).Int("from", from).Str("basis", string(basis)).Bool("runs", state.Runs).
		Bool("ended", state.Ended).Int("listed", state.Listed).Int("pages", state.Pages).Msg("no results at the requested position")
}

// Body returns the body of an item. It is part of the job and never changes, so that any entry's copy will do.
func (m *Manager) Body(ctx context.Context, id, organisation, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, ok := m.find(id); !ok {
		if body, ok := m.fetchBody(ctx, BodyRequest{Job: id, Organisation: organisation, Item: item}); ok {
			return body, nil
		}
	}
	j, err := m.findOrRead(ctx, id)
	if err != nil {
		return nil, err
	}
	body, found := j.body(item)
	if !found || j.spec.Organisation != organisation {
		return nil, notFound(item)
	}
	return body, nil
}

// fetchBody fetches the body of an item from the entry that has the job in memory, or else from the job's store reader.
func (m *Manager) fetchBody(ctx context.Context, q BodyRequest) ([]byte, bool) {
	from, ok := m.holder(q.Job)
	if !ok {
		from, q.Load = m.storeReader(q.Job), true
	}
	if from.HostID == m.members.Self().HostID {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := peer.Call[BodyRequest, BodyAnswer](ctx, m.peers, from.Address, MethodBody, q)
	return answer.Body, err == nil && answer.Known && answer.Found
}

// handleBody returns the body of an item for another entry.
func (m *Manager) handleBody(ctx context.Context, q BodyRequest) (BodyAnswer, error) {
	j, ok := m.find(q.Job)
	if !ok && q.Load {
		var err error
		if j, err = m.findOrRead(ctx, q.Job); err != nil {
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
