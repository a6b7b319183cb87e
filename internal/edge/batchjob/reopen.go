package batchjob

import (
	"maps"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// reopenPause is the time in which an entry that has just started hears from the living ones who runs which job.
	reopenPause = 400 * time.Millisecond
	// openMost bounds the jobs that are named to entries that start later; eighteen trainers have two or three each.
	openMost = 128
	// freshTime is how long after its start an entry believes what others know of jobs that were open before.
	freshTime = 5 * time.Second
)

// Open returns the jobs that some entry is known to run, sorted, for entries that start later.
func (m *Manager) Open() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := map[string]bool{}
	for id, j := range m.jobs {
		if j.running() && !j.over() {
			open[id] = true
		}
	}
	for id := range m.owners {
		if _, ended := m.ended[id]; !ended {
			open[id] = true
		}
	}
	ids := slices.Sorted(maps.Keys(open))
	return ids[:min(openMost, len(ids))]
}

// Reopen has jobs run again that were open a moment before this process was started, unless a living entry runs them.
//
// Guard: all entries are killed at once, and nobody is left who knows what ran. Each job stood still until its trainer asked for results, a
// second or so later, and the trainer was late by as much from then on.
func (m *Manager) Reopen(ids []string) {
	for _, id := range ids {
		m.reopen(id, func() {
			if ticker.Sleep(m.ctx, reopenPause) {
				m.rerunInTurn(id, "")
			}
		})
	}
}

// rerunOwn has a job run again that others say this entry runs, though it was started a moment ago: its former run did.
func (m *Manager) rerunOwn(id string) {
	m.reopen(id, func() { m.rerun(id, m.members.Self().HostID) })
}

// reopen has work begin on a job that was open before this process was started, once, unless somebody cares for the job. Later on such word is
// older than what this process knows itself.
func (m *Manager) reopen(id string, work func()) {
	if time.Since(m.started) > freshTime || m.isCaredFor(id) {
		return
	}
	m.mu.Lock()
	again := m.reopened[id]
	m.reopened[id] = true
	m.mu.Unlock()
	if !again {
		m.work.Go(work)
	}
}
