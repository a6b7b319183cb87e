package batchjob

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/dispatch"
)

// move is a move of an item from one server to another.
type move struct {
	from   string
	reason moveReason
	// remaining is the expected number of events still to come.
	remaining float64
	// intervalFrom and intervalTo are the expected times between events at the two servers.
	intervalFrom, intervalTo time.Duration
}

// destination is where an item moves to.
type destination struct {
	server backend.Server
	move   move
}

// newRunLocked marks an item as running at a server whose slot was acquired, and returns the run. The caller holds the job's lock.
func (m *Manager) newRunLocked(j *job, item *batch.Item, server backend.Server) *itemRun {
	r := &itemRun{
		manager: m, job: j, item: item, output: j.progress.Start(item.ID), server: server, silence: j.silences[item.ID],
		began: time.Now(),
	}
	slow, ok := j.slowMoves[item.ID]
	delete(j.slowMoves, item.ID)
	// An item that resumes where it was, because no other server is free, has not moved.
	if ok && slow.from != server.ID {
		slow.remaining = m.lengths.Remaining(j.spec.Model, item.ExpectedTokens, r.output.LastEvent).Mean
		if estimate, ok := m.balancer.Estimate(time.Now(), server.ID); ok {
			slow.intervalTo = estimate.Interval
		}
		r.move = &slow
	}
	j.runs[item.ID] = r
	delete(j.betweenRuns, item.ID)
	ends := j.progress.ServerEnds(item.ID)
	r.survived = ends.SurvivedAfter()
	if ends.Suspect() {
		r.limit = ends.RunLimit(m.poolEnds(time.Now(), j, item.ID))
		if m.serverEnds.SuspectServers(item.ID)[server.ID] {
			m.log.Info().Str("request", j.spec.ID).Str("item", item.ID).Str("server", server.ID).
				Object("counts", endCounts(j.progress.ServerEnds(item.ID))).Msg("suspect item started beside another one")
		}
		m.serverEnds.Started(server.ID, item.ID)
	}
	return r
}

// setCancel makes the run one that can move.
func (r *itemRun) setCancel(cancel context.CancelCauseFunc) {
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	r.cancel = cancel
}

// moveItem moves a running item: it acquires a slot at the destination and ends the run, which continues there once it has ended.
func (m *Manager) moveItem(j *job, action dispatch.Action) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	r, ok := j.runs[action.Item]
	if !ok || r.server.ID != action.From || action.From == action.To || r.cancel == nil || r.next != nil || j.progress.Ended() {
		return errItemChanged
	}
	if !m.mayRunAt(j, action.Item, action.To) {
		return errItemExcluded
	}
	server, ok := m.balancer.AcquireServer(time.Now(), j.requirements(), action.To)
	if !ok {
		return errServerRefused
	}
	if r.wouldDiscardText(server) {
		m.balancer.Release(server.ID)
		return errItemExcluded
	}
	r.next = &destination{server: server, move: move{
		from: action.From, reason: moveFaster, remaining: action.Remaining, intervalFrom: action.IntervalFrom, intervalTo: action.IntervalTo,
	}}
	j.progress.RecordMove(action.Item)
	r.cancel(errMoved)
	return nil
}

// wouldDiscardText reports whether the text received so far would be discarded at the server: the job allows a single weight version, and
// the server has another one. The caller holds the job's lock.
func (r *itemRun) wouldDiscardText(server backend.Server) bool {
	return r.job.spec.SingleVersion && len(r.output.Versions) > 0 && server.Models[r.job.spec.Model] != r.output.Versions[0]
}

// continueMove returns the run at the server that the item moves to, now that the former run has ended; nil if it doesn't move. The slot
// at the destination is released if the item doesn't need it any more.
//
// The run may have ended by itself in the meantime. An item that has its whole text or can't have one doesn't move, and one that its
// server failed is queued, which counts the failure.
func (m *Manager) continueMove(ctx context.Context, r *itemRun, result outcome) *itemRun {
	j := r.job
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.runs, r.item.ID)
	if r.next == nil {
		return nil
	}
	moves := result == outcomeMoved || result == outcomeInterrupted || result == outcomeEndless || result == outcomeMalformed ||
		result == outcomeRefused
	if ctx.Err() == nil && moves && m.mayRunAt(j, r.item.ID, r.next.server.ID) {
		j.progress.Requeue(r.item.ID)
		if j.progress.IsWaiting(r.item.ID) {
			next := m.newRunLocked(j, r.item, r.next.server)
			next.move = &r.next.move
			return next
		}
	}
	m.balancer.Release(r.next.server.ID)
	return nil
}

// countMove counts the move that led to the run, if any, by how the run went.
func (r *itemRun) countMove(result outcome, from int) {
	if r.move == nil {
		return
	}
	how := moveInterrupted
	switch {
	case result == outcomeCompleted || r.output.LastEvent > from:
		how = moveResumed
	case result == outcomeRefused:
		how = moveRefused
	}
	r.manager.metrics.countMove(r.move.reason, how)
}

// logStart logs the start of a run, and the move that led to it.
func (m *Manager) logStart(r *itemRun, from int) {
	if r.move != nil {
		line := m.log.Info().Str("request", r.job.spec.ID).Str("item", r.item.ID).Str("group", r.item.Group).Str("from", r.move.from).
			Str("to", r.server.ID).Int("event", from).Float64("expectedRemaining", r.move.remaining).Dur("intervalFrom", r.move.intervalFrom)
		if r.move.intervalTo > 0 {
			line.Dur("intervalTo", r.move.intervalTo)
		}
		line.Str("reason", string(r.move.reason)).Msg("item moved")
	}
	line := m.log.Debug()
	if !line.Enabled() {
		return
	}
	estimate, _ := m.balancer.Estimate(time.Now(), r.server.ID)
	line.Str("request", r.job.spec.ID).Str("item", r.item.ID).Str("group", r.item.Group).Str("server", r.server.ID).Int("fromEvent", from).
		Float64("expectedRemaining", m.lengths.Remaining(r.job.spec.Model, r.item.ExpectedTokens, from).Mean).
		Dur("interval", estimate.Interval).Float64("lasting", estimate.Lasting).Float64("present", estimate.Present).Dur("age", estimate.Age).
		Msg("item started")
}
