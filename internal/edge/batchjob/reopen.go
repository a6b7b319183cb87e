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
	// reopenDelay is the time in which an entry that has just started learns from the living ones who runs which job.
	reopenDelay = 400 * time.Millisecond
	// maxOpenNotes bounds the notes for entries that start later; eighteen trainers have two or three open jobs each.
	maxOpenNotes = 128
	// reopenWindow is how long after an entry has started and first reached the store it acts on what others know of jobs that were open before.
	reopenWindow = 5 * time.Second
)

// OpenNotes returns a note for each job that some entry is known to run, sorted by job, for entries that start later.
func (m *Manager) OpenNotes() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := map[string]string{}
	for id, known := range m.owners {
		if _, ended := m.ended[id]; !ended {
			open[id] = known.hostID
		}
	}
	for id, j := range m.jobs {
		if j.isRunning() && !j.finished() {
			open[id] = m.members.Self().HostID
		}
	}
	var notes []string
	for _, id := range slices.Sorted(maps.Keys(open)) {
		notes = append(notes, formatOpenNote(open[id], id))
	}
	return notes[:min(maxOpenNotes, len(notes))]
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

// Reopen restarts the jobs in the notes, which were open a moment before this process was started, unless a living entry runs them. Turn
// is the number of entries that read the same notes and precede this one.
//
// After all entries were killed at once, none of them knows which jobs ran. Without the notes each job stalled until its trainer read
// results, a second or so later, and the trainer stayed behind schedule by that time.
func (m *Manager) Reopen(notes []string, turn int) {
	for _, note := range notes {
		hostID, id := parseOpenNote(note)
		m.reopenOnce(id, func() {
			wait := reopenDelay - time.Since(m.started) + time.Duration(turn)*rerunTurn
			if ticker.Sleep(m.ctx, wait) && !m.isEndedOrRunning(id) && !m.requestFormerOwner(hostID, id) {
				m.rerun(id, "")
			}
		})
	}
}

// requestFormerOwner asks the entry that ran the job before to run it again. It returns false if that entry is unavailable or refuses.
func (m *Manager) requestFormerOwner(hostID, id string) bool {
	ctx, cancel := context.WithTimeout(m.ctx, handoverTimeout)
	defer cancel()
	self := m.members.Self().HostID
	q := RunRequest{Job: id, From: self, SkipOwnerCheck: true}
	if hostID == self {
		return m.takeOver(ctx, q) == nil
	}
	former, ok := m.members.Find(time.Now(), hostID)
	if !ok || former.Leaving {
		return false
	}
	_, err := peer.Call[RunRequest, RunAnswer](ctx, m.peers, former.Address, MethodRun, q)
	m.log.Info().Str("request", id).Str("entry", hostID).AnErr("answer", err).Msg("asked the former owner to run an open batch job again")
	if err == nil {
		m.recordOwner(id, hostID)
	}
	return err == nil
}

// rerunOwnJob restarts a job that others announce as running here: this entry's former process ran it before a restart a moment ago.
func (m *Manager) rerunOwnJob(id string) {
	m.reopenOnce(id, func() { m.rerun(id, m.members.Self().HostID) })
}

// reopenOnce calls work in a goroutine for a job that was open before this process was started, once and unless the job has ended or runs.
// After reopenWindow it does nothing, because what others announce is then older than what this process knows itself. An entry that is started
// in an outage of the store reads the notes only after it.
func (m *Manager) reopenOnce(id string, work func()) {
	if time.Since(m.informedAt()) > reopenWindow || m.isEndedOrRunning(id) {
		return
	}
	m.mu.Lock()
	again := m.reopened[id]
	m.reopened[id] = true
	m.mu.Unlock()
	if !again {
		m.wg.Go(work)
	}
}

// informedAt returns when this process could first know what runs: when it started or, if the store was down then, when it first reached it.
func (m *Manager) informedAt() time.Time {
	if m.storeReached == nil {
		return m.started
	}
	reached, ok := m.storeReached()
	if !ok {
		return time.Now()
	}
	return reached
}
