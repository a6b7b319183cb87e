package batchjob

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

const (
	// copyPause is how often copies of unfinished output go to another entry; that much of an item is made again at least after a death.
	copyPause = 500 * time.Millisecond
	// copyTimeout bounds a call with copies, and the question for them, for which a step waits.
	copyTimeout = 300 * time.Millisecond
	// copyTime is how long copies are kept after the last one of their job came: longer than any item runs.
	copyTime = 30 * time.Second
)

// copies are the unfinished outputs of a job that another entry runs.
type copies struct {
	at    time.Time
	items map[string]batch.Partial
}

// backup returns the entry that keeps copies of a job's unfinished output: the one that would be its home if this one weren't there.
func (m *Manager) backup(spec *batch.Job) (gossip.Member, bool) {
	home := m.homeAmong(spec, false)
	return home, home.HostID != m.members.Self().HostID
}

// copyOutput gives copies of what the job's items received lately to the backup.
func (m *Manager) copyOutput(ctx context.Context, j *job) {
	j.mu.Lock()
	partials := j.progress.Copies()
	j.mu.Unlock()
	if len(partials) == 0 {
		return
	}
	member, ok := m.backup(j.spec)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	q := KeepRequest{Job: j.spec.ID, Partials: partials}
	if _, err := peer.Ask[KeepRequest, KeepAnswer](ctx, m.peers, member.Address, MethodKeep, q); err != nil {
		// They go again with the next events; without them the items would only begin anew.
		m.log.Debug().Err(err).Str("request", j.spec.ID).Str("entry", member.HostID).Msg("copies of unfinished output not given")
	}
}

// keepCopies takes in copies of a job's unfinished output, and drops those of jobs that are not heard of any more.
func (m *Manager) keepCopies(now time.Time, q KeepRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.copies, func(_ string, kept *copies) bool { return now.Sub(kept.at) > copyTime })
	kept, ok := m.copies[q.Job]
	if !ok {
		kept = &copies{items: map[string]batch.Partial{}}
		m.copies[q.Job] = kept
	}
	kept.at = now
	for _, each := range q.Partials {
		if each.Last > kept.items[each.Item].Last {
			kept.items[each.Item] = each
		}
	}
}

// keptCopies returns the copies of a job's unfinished output that are here.
func (m *Manager) keptCopies(id string) []batch.Partial {
	m.mu.Lock()
	defer m.mu.Unlock()
	if kept, ok := m.copies[id]; ok {
		return slices.Collect(maps.Values(kept.items))
	}
	return nil
}

// resume lets items of a job that is taken over go on from copies: those that came with the request, those here, and those at the
// backup, which has them if this entry ran the job before it was started again.
func (m *Manager) resume(ctx context.Context, j *job, given []batch.Partial) {
	partials := append(slices.Clone(given), m.keptCopies(j.spec.ID)...)
	if len(partials) == 0 {
		partials = m.askCopies(ctx, j.spec)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.progress.Resume(partials)
	if len(partials) > 0 {
		m.log.Info().Str("request", j.spec.ID).Int("items", len(partials)).Int("given", len(given)).Msg("unfinished items go on")
	}
}

func (m *Manager) askCopies(ctx context.Context, spec *batch.Job) []batch.Partial {
	member, ok := m.backup(spec)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	answer, err := peer.Ask[KeptRequest, KeptAnswer](ctx, m.peers, member.Address, MethodKept, KeptRequest{Job: spec.ID})
	if err != nil {
		m.log.Debug().Err(err).Str("request", spec.ID).Str("entry", member.HostID).Msg("copies of unfinished output not had")
	}
	return answer.Partials
}
