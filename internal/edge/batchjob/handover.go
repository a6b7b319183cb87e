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
	candidates := m.ranked(j.spec.ID)
	if home := m.home(j.spec); home.HostID != m.members.Self().HostID {
		candidates = append([]gossip.Member{home}, candidates...)
	}
	q := m.runRequest(j.spec)
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

// Orphaned takes jobs over that an entry ran which isn't heard of any more. Of the living entries the first in the order for
// a job does; the trainer's own entry may be the one that is silent, so that nobody asks for results elsewhere for seconds.
func (m *Manager) Orphaned(gone gossip.Member) {
	m.shareAll()
	for _, id := range m.ownedBy(gone.HostID) {
		if !m.first(id) {
			continue
		}
		m.work.Go(func() {
			ctx, cancel := context.WithTimeout(m.ctx, handoverTime)
			defer cancel()
			_, err := m.load(ctx, id, "")
			m.log.Info().Err(err).Str("request", id).Str("entry", gone.HostID).Msg("batch job of a silent entry")
		})
	}
}

// shareAll notes that an entry which can't be heard may take over what runs here.
func (m *Manager) shareAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range m.jobs {
		j.share()
	}
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

// first says whether this entry comes first for the job among those that live.
func (m *Manager) first(id string) bool {
	own := xxhash.Sum64String(id + m.members.Self().HostID)
	for _, member := range m.ranked(id) {
		if xxhash.Sum64String(id+member.HostID) < own {
			return false
		}
	}
	return true
}
