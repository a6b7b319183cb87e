package batchjob

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

const (
	// serverProbeTimeout bounds the probe of a server after a run broke off there. The item waits for it.
	serverProbeTimeout = 500 * time.Millisecond
	// probeReuse is how long the result of a probe serves other runs at the same server: all that run at a server that ends break off
	// within some milliseconds.
	probeReuse = 50 * time.Millisecond
	// endConfirmTime is how long after a run broke off a missing or new registration of its server shows that the server ended. A
	// registration expires after three missed heartbeats.
	endConfirmTime = 5 * time.Second
	// serverEndRetention is how long counts of ended servers are kept. Items of a step that was not completed come again with later steps.
	serverEndRetention = 5 * time.Minute
	// maxSharedServerEnds bounds how many counts a heartbeat carries, to some 500 bytes.
	maxSharedServerEnds = 16
)

// serverEndTracker keeps, for the items of all jobs, how many servers ended under them, and where suspects run. It is safe for concurrent
// use.
//
// The same items come again in later jobs, and jobs move from one entry to another. A count that each job began anew would let an item end
// three servers in each of them.
type serverEndTracker struct {
	mu     sync.Mutex
	counts map[string]serverEndCount
	// suspects maps servers to the suspect item that runs there.
	suspects map[string]string
}

type serverEndCount struct {
	ends batch.ServerEnds
	// changedAt is when the counts last increased.
	changedAt time.Time
}

func newServerEndTracker() *serverEndTracker {
	return &serverEndTracker{counts: map[string]serverEndCount{}, suspects: map[string]string{}}
}

// get returns the counts of an item.
func (t *serverEndTracker) get(item string) batch.ServerEnds {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[item].ends
}

// merge raises the counts of an item to the given ones, and reports whether they increased.
func (t *serverEndTracker) merge(now time.Time, item string, ends batch.ServerEnds) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.counts[item].ends
	if ends.Item <= known.Item && ends.Reward <= known.Reward {
		return false
	}
	maps.DeleteFunc(t.counts, func(_ string, c serverEndCount) bool { return now.Sub(c.changedAt) > serverEndRetention })
	t.counts[item] = serverEndCount{
		ends:      batch.ServerEnds{Item: max(known.Item, ends.Item), Reward: max(known.Reward, ends.Reward)},
		changedAt: now,
	}
	return true
}

// shared returns the counts of suspects to send to other entries, the highest and latest ones if there are many.
func (t *serverEndTracker) shared(now time.Time) map[string]batch.ServerEnds {
	t.mu.Lock()
	defer t.mu.Unlock()
	var items []string
	for item, count := range t.counts {
		if count.ends.Suspect() && now.Sub(count.changedAt) <= serverEndRetention {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(x, y string) int {
		a, b := t.counts[x], t.counts[y]
		return cmp.Or(cmp.Compare(b.ends.Item+b.ends.Reward, a.ends.Item+a.ends.Reward), b.changedAt.Compare(a.changedAt), cmp.Compare(x, y))
	})
	shared := map[string]batch.ServerEnds{}
	for _, item := range items[:min(len(items), maxSharedServerEnds)] {
		shared[item] = t.counts[item].ends
	}
	return shared
}

// suspectServers returns the servers at which a suspect other than the item runs, as a set.
func (t *serverEndTracker) suspectServers(item string) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := make(map[string]bool, len(t.suspects))
	for server, suspect := range t.suspects {
		if suspect != item {
			servers[server] = true
		}
	}
	return servers
}

// started records that a suspect runs at the server, ended that the item no longer does.
func (t *serverEndTracker) started(server, item string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects[server] = item
}

func (t *serverEndTracker) ended(server, item string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects[server] == item {
		delete(t.suspects, server)
	}
}

// ServerEnds returns the counts of ended servers to send to other entries, by item.
func (m *Manager) ServerEnds(now time.Time) map[string]batch.ServerEnds {
	return m.serverEnds.shared(now)
}

// MergeServerEnds applies the counts that another entry sent.
func (m *Manager) MergeServerEnds(now time.Time, counts map[string]batch.ServerEnds) {
	increased := false
	for item, ends := range counts {
		increased = m.serverEnds.merge(now, item, ends) || increased
	}
	if !increased {
		return
	}
	for _, j := range m.runningJobs() {
		j.mu.Lock()
		j.progress.MergeServerEnds(m.serverEnds.get)
		j.mu.Unlock()
	}
}

// runningJobs returns the jobs that run here, unaccepted ones included.
func (m *Manager) runningJobs() []*job {
	m.mu.Lock()
	defer m.mu.Unlock()
	jobs := slices.AppendSeq(slices.Collect(maps.Values(m.jobs)), maps.Values(m.unacceptedLocked()))
	return slices.DeleteFunc(jobs, func(j *job) bool { return !j.isRunning() })
}

// exchangeServerEnds applies known counts to a job that starts, and keeps those that its pages brought. The caller holds the job's lock.
func (m *Manager) exchangeServerEnds(now time.Time, j *job) {
	j.progress.MergeServerEnds(m.serverEnds.get)
	for i := range j.spec.Items {
		item := j.spec.Items[i].ID
		m.serverEnds.merge(now, item, j.progress.ServerEnds(item))
	}
}

// mayRunAt reports whether the item may run at the server: a suspect runs only where no other one does. The caller holds the job's lock.
func (m *Manager) mayRunAt(j *job, item, server string) bool {
	return !j.progress.Suspect(item) || !m.serverEnds.suspectServers(item)[server]
}

// serverUse is the use of a server by an item or, if reward is set, by its reward call.
type serverUse struct {
	item   string
	server backend.Key
	reward bool
}

// brokenRun is a run that broke off at a server that is not known to have ended.
type brokenRun struct {
	serverUse

	at time.Time
}

// checkServer finds out whether the server of a run that broke off has ended, and counts that for the item. If a probe can't tell, the
// registration of the server may tell later.
func (m *Manager) checkServer(ctx context.Context, j *job, item string, server backend.Server, reward bool) {
	broken := brokenRun{serverUse: serverUse{item: item, server: server.Key(), reward: reward}, at: time.Now()}
	if errors.Is(m.probes.probe(ctx, server.Address), exchange.ErrEnded) {
		m.countServerEnd(j, broken, "connectionRefused")
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.brokenRuns = append(j.brokenRuns, broken)
}

// confirmServerEnds counts the servers whose registration has been removed or replaced since a run of the job broke off there.
func (m *Manager) confirmServerEnds(now time.Time, j *job) {
	j.mu.Lock()
	broken := j.brokenRuns
	j.brokenRuns = nil
	j.mu.Unlock()
	for _, b := range broken {
		switch {
		case !m.balancer.Registered(b.server):
			m.countServerEnd(j, b, "registration")
		case now.Sub(b.at) < endConfirmTime:
			j.mu.Lock()
			j.brokenRuns = append(j.brokenRuns, b)
			j.mu.Unlock()
		}
	}
}

// countServerEnd counts a server that ended under an item or its reward call, once for each of these.
func (m *Manager) countServerEnd(j *job, b brokenRun, evidence string) {
	now := time.Now()
	j.mu.Lock()
	if j.endedUnder[b.serverUse] {
		j.mu.Unlock()
		return
	}
	j.endedUnder[b.serverUse] = true
	if b.reward {
		j.progress.RecordRewardServerEnd(b.item)
	} else {
		j.progress.RecordServerEnd(b.item)
	}
	ends := j.progress.ServerEnds(b.item)
	j.mu.Unlock()
	m.serverEnds.merge(now, b.item, ends)
	m.metrics.countServerEnd()
	line := m.log.Info()
	if max(ends.Item, ends.Reward) >= batch.MaxServerEnds {
		line = m.log.Warn().Bool("withheld", true)
	}
	line.Str("request", j.spec.ID).Str("item", b.item).Str("server", b.server.ID).Bool("reward", b.reward).Str("evidence", evidence).
		Int("ends", ends.Item).Int("rewardEnds", ends.Reward).Dur("after", now.Sub(b.at)).Msg("server ended under an item")
	j.wake()
}

// serverProbes shares probes of servers between the runs that broke off there at the same time. It is safe for concurrent use.
type serverProbes struct {
	client *exchange.Client
	mu     sync.Mutex
	recent map[netip.AddrPort]*serverProbe
}

type serverProbe struct {
	done    chan struct{}
	endedAt time.Time
	err     error
}

// probe probes the server at the address, or returns the result of another probe that runs or has just ended.
func (p *serverProbes) probe(ctx context.Context, address netip.AddrPort) error {
	p.mu.Lock()
	now := time.Now()
	maps.DeleteFunc(p.recent, func(_ netip.AddrPort, other *serverProbe) bool {
		return !other.endedAt.IsZero() && now.Sub(other.endedAt) > probeReuse
	})
	if other, ok := p.recent[address]; ok {
		p.mu.Unlock()
		select {
		case <-other.done:
			return other.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	own := &serverProbe{done: make(chan struct{})}
	p.recent[address] = own
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, serverProbeTimeout)
	defer cancel()
	own.err = p.client.Probe(ctx, address)
	p.mu.Lock()
	own.endedAt = time.Now()
	p.mu.Unlock()
	close(own.done)
	return own.err
}
