package batchjob

import (
	"context"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// leftRun is a run that this entry cut off because it leaves.
type leftRun struct {
	item   string
	server backend.Key
	began  time.Time
}

// leaveRuns stops running the job, and returns the runs that are cut off of items under which servers have ended.
func (j *job) leaveRuns() []leftRun {
	var left []leftRun
	j.mu.Lock()
	for id, r := range j.runs {
		if ends, _ := j.progress.ServerEnds(id).Uncleared(); ends == 0 {
			continue
		}
		left = append(left, leftRun{item: id, server: r.server.Key(), began: r.began})
	}
	j.mu.Unlock()
	j.stopRunning()
	return left
}

func leftRunMessages(now time.Time, left []leftRun) []LeftRun {
	messages := make([]LeftRun, 0, len(left))
	for _, run := range left {
		messages = append(messages, LeftRun{Item: run.item, Server: run.server.ID, Started: run.server.Started, Age: now.Sub(run.began)})
	}
	return messages
}

// watchLeftRuns counts the servers of runs that a leaving entry cut off, until it is known whether they end all the same.
func (m *Manager) watchLeftRuns(j *job, left []LeftRun) {
	now := time.Now()
	for _, message := range left {
		j.mu.Lock()
		j.progress.MergeItemServerEnds(message.Item, m.serverEnds.Get(now, message.Item))
		_, until := j.progress.ServerEnds(message.Item).WatchTime(m.poolEnds(now, j, message.Item))
		use := serverUse{
			item: message.Item, server: backend.Key{ID: message.Server, Started: message.Started}, pool: j.spec.Pool, lasted: until, cutOff: true,
		}
		run := interruptedRun{serverUse: use, at: now.Add(max(0, until-message.Age)), silent: true}
		j.interruptedRuns = append(j.interruptedRuns, run)
		j.updatePendingLocked(message.Item)
		j.mu.Unlock()
		m.wg.Go(func() { m.settleLeftRun(m.ctx, j, run) })
	}
}

// settleLeftRun finds out whether the server of a run that was cut off has ended once it has been watched.
func (m *Manager) settleLeftRun(ctx context.Context, j *job, run interruptedRun) {
	if !ticker.Sleep(ctx, time.Until(run.at)) {
		return
	}
	servers := m.balancer.Servers()
	at := slices.IndexFunc(servers, func(server backend.Server) bool { return server.Key() == run.server })
	if at < 0 {
		m.countServerEnd(j, run, evidenceRegistration)
		return
	}
	j.mu.Lock()
	j.interruptedRuns = slices.DeleteFunc(j.interruptedRuns, func(other interruptedRun) bool { return other.identity() == run.identity() })
	j.mu.Unlock()
	run.address = servers[at].Address
	if !m.checkWatched(ctx, j, run.serverUse) {
		j.mu.Lock()
		j.updatePendingLocked(run.item)
		j.mu.Unlock()
		j.wake()
	}
}
