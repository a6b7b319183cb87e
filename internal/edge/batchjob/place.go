package batchjob

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/dispatch"
)

// rankInterval is how often a job's items are ranked at most, and how often moves are planned while no item waits. An event takes 25 to
// 150 ms, so that hardly more is known after a shorter time, and a job has some hundred items.
const rankInterval = 100 * time.Millisecond

// maxPlans is how often slots are planned again at once because a server didn't take an item or an item couldn't move. Otherwise a slot
// would stay free while items wait.
const maxPlans = 4

// placer is what a control loop keeps to place the items of its job in a pool whose servers differ in speed.
type placer struct {
	ranking  dispatch.Ranking
	rankedAt time.Time
	// fastest is the shortest expected time between events seen at any server that may run the items.
	fastest time.Duration
}

// placeItems starts and moves items as package dispatch plans it.
func (m *Manager) placeItems(ctx context.Context, j *job, p *placer) {
	now := time.Now()
	j.mu.Lock()
	_, waits := j.progress.Next()
	stale := j.rankingStale
	j.mu.Unlock()
	due := now.Sub(p.rankedAt) >= rankInterval
	if !waits && !due {
		return
	}
	need := j.requirements()
	var refused refusals
	candidates := m.balancer.Candidates(now, need)
	if len(candidates) == 0 {
		return
	}
	if due || stale {
		m.rank(now, j, p, m.slots(candidates))
	}
	for range maxPlans {
		j.retain(p)
		p.ranking.Restrict(m.restrictions(j, candidates, refused))
		if m.carryOut(ctx, j, p, dispatch.Plan(p.ranking, m.slots(candidates)), &refused) {
			return
		}
		candidates = slices.DeleteFunc(m.balancer.Candidates(now, need), func(c backend.Candidate) bool { return refused.servers[c.Server.ID] })
	}
}

// slots returns the free slots of the servers as they are planned.
func (m *Manager) slots(candidates []backend.Candidate) []dispatch.Slot {
	zone := m.members.Self().AvailabilityZone
	slots := make([]dispatch.Slot, 0, len(candidates))
	for _, c := range candidates {
		slots = append(slots, dispatch.Slot{
			Server: c.Server.ID, Free: c.Free, Interval: c.Estimate.Interval, Present: c.Estimate.Present, OtherZone: c.Server.AvailabilityZone != zone,
		})
	}
	return slots
}

// refusals are the planned actions that could not be carried out in one pass over the free slots. The next plan of the pass avoids them.
type refusals struct {
	// servers refused an item of the job.
	servers map[string]bool
	// actions were refused for the sake of the item.
	actions []dispatch.Action
}

func (r *refusals) add(action dispatch.Action, err error) {
	if !errors.Is(err, errServerRefused) {
		r.actions = append(r.actions, action)
		return
	}
	if r.servers == nil {
		r.servers = map[string]bool{}
	}
	r.servers[action.To] = true
}

// restrictions returns which of the candidates may not run an item of the job now.
func (m *Manager) restrictions(j *job, candidates []backend.Candidate, refused refusals) dispatch.Restrictions {
	var restrictions dispatch.Restrictions
	for _, action := range refused.actions {
		restrictions.Exclude(action.Item, action.To)
	}
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, item := range j.progress.SuspectItems() {
		restrictions.AddSuspect(item, j.progress.KeepsApart(now, item))
		if j.progress.NeedsIdleServer(now, item) {
			restrictions.AddNeedIdle(item)
		}
		for server := range m.excludedServers(j, item) {
			restrictions.Exclude(item, server)
		}
	}
	for item := range j.stalledItems {
		excludeSilent(&restrictions, item, candidates)
	}
	for item, r := range j.runs {
		for _, candidate := range candidates {
			if r.wouldDiscardText(candidate.Server) {
				restrictions.Exclude(item, candidate.Server.ID)
			}
		}
	}
	return restrictions
}

// excludeSilent excludes the candidates that have not answered lately, if one that has may run the item.
func excludeSilent(restrictions *dispatch.Restrictions, item string, candidates []backend.Candidate) {
	answers := slices.ContainsFunc(candidates, func(c backend.Candidate) bool { return c.Answers && !restrictions.Excludes(item, c.Server.ID) })
	if !answers {
		return
	}
	for _, candidate := range candidates {
		if !candidate.Answers {
			restrictions.Exclude(item, candidate.Server.ID)
		}
	}
}

// carryOut carries out a plan. It returns false if that failed in part, so that slots may be free for other items.
func (m *Manager) carryOut(ctx context.Context, j *job, p *placer, actions []dispatch.Action, refused *refusals) bool {
	whole := true
	for _, action := range actions {
		var err error
		if action.From == "" {
			err = m.startItem(ctx, j, action)
		} else if err = m.moveItem(j, action); err != nil {
			p.ranking.DropRunning(action.Item)
		}
		if err != nil {
			whole = false
			refused.add(action, err)
			m.log.Debug().Err(err).Str("request", j.spec.ID).Str("item", action.Item).Str("from", action.From).Str("to", action.To).
				Msg("planned action not carried out")
		}
	}
	return whole
}

var (
	errItemChanged   = errors.New("the item no longer waits, or runs where it did")
	errItemExcluded  = errors.New("the item may not run at the server now")
	errServerRefused = errors.New("the server may not take an item of the job now")
)

// startItem starts a waiting item at a server.
func (m *Manager) startItem(ctx context.Context, j *job, action dispatch.Action) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if ctx.Err() != nil || !j.progress.IsWaiting(action.Item) {
		return errItemChanged
	}
	if !m.mayRunAt(j, action.Item, action.To) {
		return errItemExcluded
	}
	server, ok := m.balancer.AcquireServer(time.Now(), j.requirements(), action.To)
	if !ok {
		return errServerRefused
	}
	r := m.newRunLocked(j, j.progress.Item(action.Item), server)
	j.wg.Go(func() { m.runItem(ctx, r) })
	return nil
}

// retain removes from the ranking what has changed since.
func (j *job) retain(p *placer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p.ranking.Retain(j.progress.IsWaiting, func(item, server string) bool {
		r, ok := j.runs[item]
		return ok && r.server.ID == server && r.next == nil
	})
}

// rank ranks the job's items.
func (m *Manager) rank(now time.Time, j *job, p *placer, slots []dispatch.Slot) {
	j.mu.Lock()
	waiting, running := j.progress.Work()
	servers := make(map[string]string, len(running))
	for item, r := range j.runs {
		if r.next == nil {
			servers[item] = r.server.ID
		}
	}
	groups, complete := j.progress.GroupCounts()
	due := j.spec.Accepted.Add(j.spec.ResultDeadline)
	j.rankingStale = false
	j.mu.Unlock()
	intervals := map[string]time.Duration{}
	for _, slot := range slots {
		intervals[slot.Server] = slot.Interval
	}
	for _, server := range servers {
		if _, known := intervals[server]; !known {
			estimate, _ := m.balancer.Estimate(now, server)
			intervals[server] = estimate.Interval
		}
	}
	fastest, usual := paces(intervals)
	if p.fastest == 0 || fastest < p.fastest {
		p.fastest = fastest
	}
	state := dispatch.State{
		Now: now, Due: due, Fastest: p.fastest, Usual: usual,
		Groups: groups, Complete: complete, Wanted: j.spec.WantedGroups,
	}
	for _, work := range waiting {
		state.Waiting = append(state.Waiting, m.dispatchItem(j, work))
	}
	for _, work := range running {
		item := m.dispatchItem(j, work)
		item.Server = servers[item.ID]
		item.Interval = intervals[item.Server]
		state.Running = append(state.Running, item)
	}
	p.ranking, p.rankedAt = dispatch.Rank(state), now
}

// dispatchItem returns an item as it is ranked.
func (m *Manager) dispatchItem(j *job, work batch.Work) dispatch.Item {
	return dispatch.Item{
		ID:              work.Item.ID,
		Group:           work.Item.Group,
		GroupUnfinished: work.GroupUnfinished,
		Produced:        work.Produced,
		Remaining:       m.lengths.Remaining(j.spec.Model, work.Item.ExpectedTokens, work.Produced),
		Moves:           work.Moves,
	}
}

// paces returns the shortest and the median interval of servers that are known.
func paces(intervals map[string]time.Duration) (fastest, usual time.Duration) {
	sorted := make([]time.Duration, 0, len(intervals))
	for _, interval := range intervals {
		if interval > 0 {
			sorted = append(sorted, interval)
		}
	}
	if len(sorted) == 0 {
		return 0, 0
	}
	slices.Sort(sorted)
	return sorted[0], sorted[len(sorted)/2]
}
