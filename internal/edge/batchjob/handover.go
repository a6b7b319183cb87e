package batchjob

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// handoverTime bounds the search for an entry that runs a job which this one leaves, and the taking over of an orphan.
const handoverTime = 2 * time.Second

// Leave hands the jobs that run here over: what is finished is written, and other entries run the rest.
//
// Guard: a trainer's connection stays with the entry that leaves until its end, and reads there find nothing new; without being
// asked nobody else would run the job until then.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	var running []*job
	for _, j := range m.jobs {
		if j.running() {
			running = append(running, j)
		}
	}
	m.mu.Unlock()
	var leaves conc.WaitGroup
	for _, j := range running {
		leaves.Go(func() {
			j.yield()
			m.flush(ctx, j)
			m.handOver(ctx, j)
		})
	}
	leaves.Wait()
}

// handOver asks the other entries until one runs the job: its home first, then in the order for the job.
func (m *Manager) handOver(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	home := m.home(j.spec).HostID
	candidates := m.ranked(j.spec.ID)
	if at := slices.IndexFunc(candidates, func(member gossip.Member) bool { return member.HostID == home }); at > 0 {
		first := candidates[at]
		candidates = slices.Insert(slices.Delete(candidates, at, at+1), 0, first)
	}
	q := m.runRequest(j.spec)
	j.mu.Lock()
	q.Partials = j.progress.Partials()
	j.mu.Unlock()
	for _, member := range candidates {
		_, err := peer.Ask[RunRequest, RunAnswer](ctx, m.peers, member.Address, MethodRun, q)
		m.log.Info().Str("request", j.spec.ID).Str("entry", member.HostID).AnErr("answer", err).Msg("batch job handed over")
		if err == nil {
			m.hearOwners(m.members.Self(), map[string]string{j.spec.ID: member.HostID})
			return
		}
	}
}

// ranked returns the other entries that stay, in an order that differs from job to job and is the same at all entries.
func (m *Manager) ranked(id string) []gossip.Member {
	members := slices.DeleteFunc(m.members.Alive(time.Now()), func(member gossip.Member) bool { return member.Leaving })
	slices.SortFunc(members, func(a, b gossip.Member) int {
		return cmp.Compare(xxhash.Sum64String(id+a.HostID), xxhash.Sum64String(id+b.HostID))
	})
	return members
}

// Orphaned has jobs run that an entry ran whose run is over. The trainer's own entry may be the one that is silent, so that nobody
// asks for results elsewhere for seconds.
//
// Guard: several entries die at once and are back in a moment. The first in the order for a job may be one of them, which knows nothing of
// it, and the step stood still until its trainer asked. So the living entries try one after the other, until the job is known to run.
func (m *Manager) Orphaned(gone gossip.Member) {
	for _, id := range m.ownedBy(gone.HostID) {
		m.forgetOwner(id, gone.HostID)
		m.work.Go(func() { m.rerunInTurn(id, gone.HostID) })
	}
}

const (
	// orphanPause is the time that each entry in the order for a job has to see that it runs again: a question and a beat.
	orphanPause = 300 * time.Millisecond
	// orphanTurns bounds the wait of the later ones; by then they have all heard of it.
	orphanTurns = 7
)

const (
	// rerunTries and rerunPause bound how long it is tried to have a job run again; outages of the store take some seconds.
	rerunTries = 5
	rerunPause = 500 * time.Millisecond
)

// rerun has a job run again whose entry was gone.
func (m *Manager) rerun(id, gone string) {
	for range rerunTries {
		err := m.tryRerun(id)
		m.log.Info().Err(err).Str("request", id).Str("entry", gone).Msg("batch job of an entry that is gone")
		if err == nil || isNotFound(err) || !ticker.Sleep(m.ctx, rerunPause) || m.isCaredFor(id) {
			return
		}
	}
}

func (m *Manager) tryRerun(id string) error {
	ctx, cancel := context.WithTimeout(m.ctx, handoverTime)
	defer cancel()
	_, err := m.load(ctx, id, "")
	return err
}

// isCaredFor says that a job has ended, runs here, or is known to run elsewhere.
func (m *Manager) isCaredFor(id string) bool {
	if m.isEnded(id) {
		return true
	}
	if _, runs := m.owner(id); runs {
		return true
	}
	j, ok := m.find(id)
	return ok && j.running()
}

// rerunInTurn has a job run again that nobody is known to run, once the entries that come before this one in its order had their turn.
func (m *Manager) rerunInTurn(id, gone string) {
	turn := time.Duration(min(m.place(id), orphanTurns)) * orphanPause
	if ticker.Sleep(m.ctx, turn) && !m.isCaredFor(id) {
		m.rerun(id, gone)
	}
}

func (m *Manager) isEnded(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ended := m.ended[id]
	return ended
}

// ownedBy returns the jobs that an entry was known to run.
func (m *Manager) ownedBy(hostID string) []string {
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

// place is how many living entries come before this one in the order for the job.
func (m *Manager) place(id string) int {
	own := xxhash.Sum64String(id + m.members.Self().HostID)
	return slices.IndexFunc(append(m.ranked(id), m.members.Self()), func(member gossip.Member) bool {
		return xxhash.Sum64String(id+member.HostID) >= own
	})
}
