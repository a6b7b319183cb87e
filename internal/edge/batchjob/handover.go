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

const (
	// handoverTimeout bounds each attempt to load a job and run it here.
	handoverTimeout = 2 * time.Second
	// candidateTimeout bounds each request to another entry to run a job of this one, which leaves.
	candidateTimeout = time.Second
	// handoverRetryDelay is the pause after all of some entries refused a job.
	handoverRetryDelay = 300 * time.Millisecond
	// maxCandidates is how many entries are asked to run a job before that pause; others follow after it.
	maxCandidates = 4
	// flushTimeout is how long a handover waits for the finished items to be written; the write goes on beside it.
	flushTimeout = time.Second
)

// HandOverJobs writes the finished items of the jobs that run here and asks other entries to run the rest. Unaccepted jobs are dropped: the
// trainer's repeated submission begins them elsewhere. Jobs that no entry takes at once are offered again until ctx ends; see AwaitHandovers.
//
// Without a handover no entry would run these jobs until the trainers' connections end: the trainers stay connected to the leaving entry
// and read no new results there, and no other entry receives a read that would make it run the job.
func (m *Manager) HandOverJobs(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(m.ctx, cancel)
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
			left := j.leaveRuns()
			m.flushBriefly(ctx, j)
			if !m.handOverJob(ctx, j, left, 0) {
				m.handovers.Go(func() { m.retryHandover(ctx, j, left) })
			}
		})
	}
	handovers.Wait()
}

// AwaitHandovers blocks until the finished items of all jobs are written and the jobs handed over, no entry is left to take them, or the
// context of HandOverJobs has ended.
func (m *Manager) AwaitHandovers() { m.handovers.Wait() }

// flushBriefly writes the finished items of a stopped job, and waits up to flushTimeout for it.
func (m *Manager) flushBriefly(ctx context.Context, j *job) {
	written := make(chan struct{})
	m.handovers.Go(func() {
		defer close(written)
		m.flushResults(ctx, j)
	})
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// retryHandover goes on to offer a job to other entries.
func (m *Manager) retryHandover(ctx context.Context, j *job, left []leftRun) {
	for round := 1; ticker.Sleep(ctx, handoverRetryDelay) && !j.finished(); round++ {
		if m.handOverJob(ctx, j, left, round) {
			return
		}
	}
}

// handOverJob asks some of the other entries, the job's preferred runner first and then in the order of rankedPeers, until one runs the job.
// Each round begins with other entries. It returns true if one runs the job or none is left to ask.
func (m *Manager) handOverJob(ctx context.Context, j *job, left []leftRun, round int) bool {
	candidates := m.handoverCandidates(j, round)
	q := m.newRunRequest(j.spec)
	q.Leaving = true
	q.LeftRuns = leftRunMessages(time.Now(), left)
	j.mu.Lock()
	q.Partials = j.progress.HandoverPartials()
	q.EndRequested = q.EndRequested || j.endRequested
	j.mu.Unlock()
	refusals := zerolog.Dict()
	for _, member := range candidates {
		err := m.requestHandover(ctx, member, q)
		if err == nil {
			m.log.Info().Str("request", j.spec.ID).Str("entry", member.HostID).Int("partials", len(q.Partials)).Int("round", round).
				Msg("batch job handed over")
			m.mergeOwners(m.members.Self(), map[string]string{j.spec.ID: member.HostID})
			return true
		}
		refusals.AnErr(member.HostID, err)
	}
	m.log.Warn().Str("request", j.spec.ID).Int("candidates", len(candidates)).Dict("refusals", refusals).Int("round", round).
		Int("unfinished", j.state().unfinished()).Msg("no entry takes a batch job of this leaving entry")
	return len(candidates) == 0
}

func (m *Manager) requestHandover(ctx context.Context, to gossip.Member, q RunRequest) error {
	ctx, cancel := context.WithTimeout(ctx, candidateTimeout)
	defer cancel()
	_, err := peer.Call[RunRequest, RunAnswer](ctx, m.peers, to.Address, MethodRun, q)
	return err
}

// handoverCandidates returns the entries to ask in a round to run a job of this leaving entry.
func (m *Manager) handoverCandidates(j *job, round int) []gossip.Member {
	candidates := slices.DeleteFunc(m.rankedPeers(j.spec.ID), func(member gossip.Member) bool { return !m.mayKeep(j.spec.Regions, member) })
	if len(candidates) == 0 {
		return nil
	}
	preferred := m.preferredRunner(j.spec).HostID
	if at := slices.IndexFunc(candidates, func(member gossip.Member) bool { return member.HostID == preferred }); at > 0 {
		first := candidates[at]
		candidates = slices.Insert(slices.Delete(candidates, at, at+1), 0, first)
	}
	first := round * maxCandidates % len(candidates)
	candidates = slices.Concat(candidates[first:], candidates[:first])
	return candidates[:min(maxCandidates, len(candidates))]
}

// rankedPeers returns the other entries that are not leaving, in an order that differs between jobs and is the same at all entries.
func (m *Manager) rankedPeers(id string) []gossip.Member {
	members := slices.DeleteFunc(slices.Clone(m.members.Alive(time.Now())), func(member gossip.Member) bool { return member.Leaving })
	slices.SortFunc(members, func(a, b gossip.Member) int {
		return cmp.Compare(xxhash.Sum64String(id+a.HostID), xxhash.Sum64String(id+b.HostID))
	})
	return members
}
