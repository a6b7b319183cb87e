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
