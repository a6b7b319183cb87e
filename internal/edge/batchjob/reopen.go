package batchjob

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
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

// Open returns a note for each job that some entry is known to run, sorted by job, for entries that start later.
func (m *Manager) Open() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := map[string]string{}
	for id, known := range m.owners {
		if _, ended := m.ended[id]; !ended {
			open[id] = known.hostID
		}
	}
	for id, j := range m.jobs {
		if j.running() && !j.over() {
			open[id] = m.members.Self().HostID
		}
	}
	var notes []string
	for _, id := range slices.Sorted(maps.Keys(open)) {
		notes = append(notes, formatOpenNote(open[id], id))
	}
	return notes[:min(openMost, len(notes))]
}

// formatOpenNote returns the note of an open job for the lease. The separator is unambiguous since host ids contain no spaces.
func formatOpenNote(hostID, id string) string { return hostID + " " + id }

// parseOpenNote returns the host and the job's id in a note. The host is empty in notes of earlier versions, which hold the id only.
func parseOpenNote(note string) (hostID, id string) {
	hostID, id, found := strings.Cut(note, " ")
	if !found {
		return "", note
	}
	return hostID, id
}

// Reopen has jobs run again that were open a moment before this process was started, unless a living entry runs them. Turn is the number
// of entries that read the same notes and precede this one.
//
// Guard: all entries are killed at once, and nobody is left who knows what ran. Each job stood still until its trainer asked for results, a
// second or so later, and the trainer was late by as much from then on.
func (m *Manager) Reopen(notes []string, turn int) {
	for _, note := range notes {
		hostID, id := parseOpenNote(note)
		m.reopen(id, func() {
			wait := reopenPause - time.Since(m.started) + time.Duration(turn)*orphanPause
			if ticker.Sleep(m.ctx, wait) && !m.isCaredFor(id) && !m.askFormerOwner(hostID, id) {
				m.rerun(id, "")
			}
		})
	}
}

// askFormerOwner asks the entry that ran the job before to run it again. It returns false if that entry is unavailable or refuses.
func (m *Manager) askFormerOwner(hostID, id string) bool {
	ctx, cancel := context.WithTimeout(m.ctx, handoverTime)
	defer cancel()
	self := m.members.Self().HostID
	q := RunRequest{Job: id, From: self, Sure: true}
	if hostID == self {
		return m.take(ctx, q) == nil
	}
	former, ok := m.members.Find(time.Now(), hostID)
	if !ok || former.Leaving {
		return false
	}
	_, err := peer.Ask[RunRequest, RunAnswer](ctx, m.peers, former.Address, MethodRun, q)
	m.log.Info().Str("request", id).Str("entry", hostID).AnErr("answer", err).Msg("asked the former owner to run an open batch job again")
	if err == nil {
		m.noteOwner(id, hostID)
	}
	return err == nil
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
