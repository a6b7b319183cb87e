package batchjob

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// handoverTimeout bounds each attempt to have another entry run a job, or to load a job and run it here.
const handoverTimeout = 2 * time.Second

// HandOverJobs writes the finished items of the jobs that run here and asks other entries to run the rest. Unaccepted jobs are dropped: the
// trainer's repeated submission begins them elsewhere.
//
// Without a handover no entry would run these jobs until the trainers' connections end: the trainers stay connected to the leaving entry
// and read no new results there, and no other entry receives a read that would make it run the job.
func (m *Manager) HandOverJobs(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	var running []*job
	for _, j := range m.jobs {
		if j.isRunning() {
			running = append(running, j)
		}
	}
	m.mu.Unlock()
	m.dropUnaccepted()
	var handovers conc.WaitGroup
	for _, j := range running {
		handovers.Go(func() {
			j.stopRunning()
			m.flushResults(ctx, j)
			m.handOverJob(ctx, j)
		})
	}
	handovers.Wait()
}

// handOverJob asks the other entries, the job's preferred runner first and then in the order of rankedPeers, until one runs the job.
func (m *Manager) handOverJob(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	preferred := m.preferredRunner(j.spec).HostID
	candidates := slices.DeleteFunc(m.rankedPeers(j.spec.ID), func(member gossip.Member) bool { return !m.mayKeep(j.spec.Regions, member) })
	if at := slices.IndexFunc(candidates, func(member gossip.Member) bool { return member.HostID == preferred }); at > 0 {
		first := candidates[at]
		candidates = slices.Insert(slices.Delete(candidates, at, at+1), 0, first)
	}
	q := m.newRunRequest(j.spec)
	j.mu.Lock()
	q.Partials = j.progress.Partials()
	q.EndRequested = q.EndRequested || j.endRequested
	j.mu.Unlock()
	refusals := zerolog.Dict()
	for _, member := range candidates {
		_, err := peer.Call[RunRequest, RunAnswer](ctx, m.peers, member.Address, MethodRun, q)
		if err == nil {
			m.log.Info().Str("request", j.spec.ID).Str("entry", member.HostID).Int("partials", len(q.Partials)).Msg("batch job handed over")
			m.mergeOwners(m.members.Self(), map[string]string{j.spec.ID: member.HostID})
			return
		}
		refusals.AnErr(member.HostID, err)
	}
	state := j.state()
	m.log.Warn().Str("request", j.spec.ID).Int("candidates", len(candidates)).Dict("refusals", refusals).Int("unfinished", state.unfinished()).
		Msg("no entry takes a batch job of this leaving entry")
}

// rankedPeers returns the other entries that are not leaving, in an order that differs between jobs and is the same at all entries.
func (m *Manager) rankedPeers(id string) []gossip.Member {
	members := slices.DeleteFunc(slices.Clone(m.members.Alive(time.Now())), func(member gossip.Member) bool { return member.Leaving })
	slices.SortFunc(members, func(a, b gossip.Member) int {
		return cmp.Compare(xxhash.Sum64String(id+a.HostID), xxhash.Sum64String(id+b.HostID))
	})
	return members
}

// RerunJobsOf restarts the jobs that ran in a lost process of an entry, here or at their preferred runners. It doesn't wait for a trainer
// to read results: a trainer that is connected to the lost entry may take seconds to connect to another one.
//
// All living entries try one after the other, in an order that depends on the job, until the job is known to run. If only the first entry
// tried, the job could stall until its trainer reads: when several entries die at once and restart a moment later, the first may be one of
// them and know nothing of the job.
func (m *Manager) RerunJobsOf(lost gossip.Member) {
	for _, id := range m.jobsOwnedBy(lost.HostID) {
		m.log.Info().Str("request", id).Str("entry", lost.HostID).Int("rank", m.ownRank(id)).Dur("lastAnnounced", m.announcedAgo(id)).
			Msg("batch job lost its entry")
		m.forgetOwner(id, lost.HostID)
		m.wg.Go(func() { m.rerunInTurn(id, lost.HostID) })
	}
}

const (
	// rerunTurn is how long each entry in the order for a job has to announce that it runs the job: a request and a gossip message.
	rerunTurn = 300 * time.Millisecond
	// maxRerunTurns bounds the wait of the last entries in the order; by then all of them have learned by gossip who runs the job.
	maxRerunTurns = 7
)

const (
	// maxRerunAttempts and rerunRetryDelay bound how long an entry tries to have a job run again; outages of the store take some seconds.
	maxRerunAttempts = 5
	rerunRetryDelay  = 500 * time.Millisecond
)

// rerun restarts a job whose entry was lost, and retries after failures. The host id of that entry is only logged.
func (m *Manager) rerun(id, lost string) {
	started := time.Now()
	for attempt := range maxRerunAttempts {
		err := m.tryRerun(id)
		m.log.Info().Err(err).Str("request", id).Str("entry", lost).Int("attempt", attempt+1).
			Msg("tried to have a batch job of a lost entry run again")
		if err == nil || isNotFound(err) || !ticker.Sleep(m.ctx, rerunRetryDelay) || m.isEndedOrRunning(id) {
			return
		}
	}
	line := m.log.Warn().Str("request", id).Str("entry", lost).Dur("after", time.Since(started))
	if j, ok := m.find(id); ok {
		line.Int("unfinished", j.state().unfinished())
	}
	line.Msg("gave up having a batch job of a lost entry run again")
}

func (m *Manager) tryRerun(id string) error {
	ctx, cancel := context.WithTimeout(m.ctx, handoverTimeout)
	defer cancel()
	_, err := m.loadAndEnsureRun(ctx, id, "")
	return err
}

// isEndedOrRunning reports whether a job has ended, runs here, or is known to run at another living entry.
func (m *Manager) isEndedOrRunning(id string) bool {
	if m.isEnded(id) {
		return true
	}
	if _, runs := m.livingOwner(id); runs {
		return true
	}
	j, ok := m.find(id)
	return ok && j.isRunning()
}

// rerunInTurn waits until the entries that precede this one in the job's order have had their turns, and then restarts the job unless it
// has ended or is known to run.
func (m *Manager) rerunInTurn(id, lost string) {
	turn := time.Duration(min(m.ownRank(id), maxRerunTurns)) * rerunTurn
	if !ticker.Sleep(m.ctx, turn) {
		return
	}
	if m.isEndedOrRunning(id) {
		m.logKnownOwner(id, lost)
		return
	}
	m.rerun(id, lost)
}

// logKnownOwner logs why this entry doesn't restart a job of a lost entry.
func (m *Manager) logKnownOwner(id, lost string) {
	if m.isEnded(id) {
		return
	}
	line := m.log.Info().Str("request", id).Str("entry", lost).Dur("learnedBefore", m.announcedAgo(id))
	if owner, ok := m.livingOwner(id); ok {
		line.Str("owner", owner.HostID)
	}
	line.Msg("batch job of a lost entry runs again")
}

func (m *Manager) isEnded(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ended := m.ended[id]
	return ended
}

// jobsOwnedBy returns the jobs that the entry is recorded as running and that haven't ended.
func (m *Manager) jobsOwnedBy(hostID string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for id, known := range m.owners {
		_, ended := m.ended[id]
		if known.hostID == hostID && !ended {
			ids = append(ids, id)
		}
	}
	return ids
}

// ownRank returns how many living entries precede this one in the order for the job.
func (m *Manager) ownRank(id string) int {
	own := xxhash.Sum64String(id + m.members.Self().HostID)
	return slices.IndexFunc(append(m.rankedPeers(id), m.members.Self()), func(member gossip.Member) bool {
		return xxhash.Sum64String(id+member.HostID) >= own
	})
}
