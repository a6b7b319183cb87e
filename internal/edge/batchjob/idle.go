package batchjob

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
)

const (
	// minIdleTime is how long an unfinished item has been at no server before it is reported.
	minIdleTime = 2 * time.Second
	// idleReportInterval is the shortest time between two reports of a job.
	idleReportInterval = 5 * time.Second
	// maxIdleNamed bounds the items that a report names.
	maxIdleNamed = 5
)

// idleReason says why a waiting item isn't started.
type idleReason string

// Values of idleReason.
const (
	// reasonHeld: the end of the job was requested, so that none of its items may start.
	reasonHeld idleReason = "held"
	// reasonOutOfMemory: unaccepted jobs may start no items because of their size.
	reasonOutOfMemory idleReason = "outOfMemory"
	// reasonNoFreeServer: no server that may run the items has a free slot.
	reasonNoFreeServer idleReason = "noFreeServer"
	// reasonNoWeights: servers have free slots, but none of them has the weights that the job requires.
	reasonNoWeights idleReason = "noWeights"
	// reasonExcluded: the item is a suspect and may run at none of the servers that have free slots.
	reasonExcluded idleReason = "excluded"
	// reasonNotChosen: a server has a free slot, and the item wasn't chosen for it.
	reasonNotChosen idleReason = "notChosen"
)

// idleReporter logs the items of a running job that are at no server. Its methods are called by the job's control loop only.
type idleReporter struct {
	manager    *Manager
	job        *job
	reportedAt time.Time
	// named are the items that a report named and that haven't started again, with the time since which they are at no server.
	named map[string]time.Time
}

func newIdleReporter(m *Manager, j *job) *idleReporter {
	return &idleReporter{manager: m, job: j, named: map[string]time.Time{}}
}

// stop ends the observation as the control loop ends.
func (r *idleReporter) stop() {
	r.manager.metrics.idle.set(r.job.spec.ID, 0)
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	r.job.progress.Stopped()
}

// observe records which items are at no server, and logs those that have been for minIdleTime and those that have started again.
func (r *idleReporter) observe(now time.Time) {
	j := r.job
	j.mu.Lock()
	j.progress.ObserveIdle(now, func(item string) (batch.IdleState, bool) {
		state, ok := j.betweenRuns[item]
		return state, ok
	})
	items := j.progress.IdleItems(now, minIdleTime)
	reason := j.holdReasonLocked()
	j.mu.Unlock()
	longest := time.Duration(0)
	if len(items) > 0 {
		longest = now.Sub(items[0].Since)
	}
	r.manager.metrics.idle.set(j.spec.ID, longest)
	r.logStarted(now, items)
	if len(items) > 0 && now.Sub(r.reportedAt) >= idleReportInterval {
		r.reportedAt = now
		r.report(now, items, reason)
	}
}

// holdReasonLocked returns why no item of the job may start; empty if items may start. The caller holds the job's lock.
func (j *job) holdReasonLocked() idleReason {
	switch {
	case j.endRequested:
		return reasonHeld
	case j.unaccepted && j.outOfMemory:
		return reasonOutOfMemory
	default:
		return ""
	}
}

// logStarted logs the named items that are no longer at no server.
func (r *idleReporter) logStarted(now time.Time, items []batch.IdleItem) {
	for _, id := range slices.Sorted(maps.Keys(r.named)) {
		since := r.named[id]
		if slices.ContainsFunc(items, func(item batch.IdleItem) bool { return item.ID == id && item.Since.Equal(since) }) {
			continue
		}
		delete(r.named, id)
		r.job.mu.Lock()
		running, finished := r.job.progress.Phase(id)
		r.job.mu.Unlock()
		r.manager.log.Info().Str("request", r.job.spec.ID).Str("item", id).Dur("idle", now.Sub(since)).Bool("running", running).
			Bool("finished", finished).Msg("item is no longer without a server")
	}
}

// report logs how many items are at no server, and names those that have been for longest. It is a warning if a server has a free slot
// that an item might use.
func (r *idleReporter) report(now time.Time, items []batch.IdleItem, held idleReason) {
	m, j := r.manager, r.job
	free := m.balancer.Candidates(now, j.requirements())
	counts, begun := map[batch.IdleState]int{}, 0
	for _, item := range items {
		counts[item.State]++
		if item.Starts > 0 {
			begun++
		}
	}
	named := items[:min(maxIdleNamed, len(items))]
	level, array := zerolog.InfoLevel, zerolog.Arr()
	for _, item := range named {
		r.named[item.ID] = item.Since
		entry := zerolog.Dict().Str("item", item.ID).Str("state", string(item.State)).Dur("idle", now.Sub(item.Since)).
			Dur("inState", now.Sub(item.StateSince)).Int("starts", item.Starts)
		if item.State == batch.IdleWaiting {
			reason, excluded := held, 0
			if reason == "" {
				reason, excluded = r.waitReason(now, item, freeServers(free))
			}
			entry.Str("reason", string(reason)).Int("excluded", excluded)
		}
		array.Dict(entry)
	}
	if len(free) > 0 || counts[batch.IdleWaiting] < len(items) {
		level = zerolog.WarnLevel
	}
	states := zerolog.Dict()
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		states.Int(string(state), counts[state])
	}
	running := j.state().Running
	m.log.WithLevel(level).Str("request", j.spec.ID).Int("items", len(items)).Int("begun", begun).Dict("states", states).
		Int("running", running).Str("pool", j.spec.Pool).Int("minVersion", j.spec.MinVersion).Int("freeServers", len(free)).
		Bool("uneven", m.balancer.Uneven(j.spec.Pool)).Dur("sinceAccepted", now.Sub(j.spec.Accepted)).Array("longest", array).
		Msg("items are at no server")
}

// waitReason returns why a waiting item wasn't started, and how many servers it may not run at because it is a suspect.
func (r *idleReporter) waitReason(now time.Time, item batch.IdleItem, free []string) (idleReason, int) {
	if len(free) == 0 {
		need := r.job.requirements()
		need.MinVersion = 0
		if len(r.manager.balancer.Candidates(now, need)) > 0 {
			return reasonNoWeights, 0
		}
		return reasonNoFreeServer, 0
	}
	if !item.Suspect {
		return reasonNotChosen, 0
	}
	r.job.mu.Lock()
	excluded := r.manager.excludedServers(r.job, item.ID)
	r.job.mu.Unlock()
	if slices.ContainsFunc(free, func(server string) bool { return !excluded[server] }) {
		return reasonNotChosen, len(excluded)
	}
	return reasonExcluded, len(excluded)
}

func freeServers(free []backend.Candidate) []string {
	ids := make([]string, 0, len(free))
	for _, candidate := range free {
		ids = append(ids, candidate.Server.ID)
	}
	return ids
}

// recordEnd records why the item is at no server now that its run has ended.
func (r *itemRun) recordEnd() {
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	state := batch.IdlePaused
	switch {
	case r.connectionLost:
		state = batch.IdleProbing
	case r.next != nil:
		state = batch.IdleMoving
	}
	r.job.betweenRuns[r.item.ID] = state
}

// setBetweenRuns records why an item whose run has ended is at no server.
func (j *job) setBetweenRuns(item string, state batch.IdleState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.betweenRuns[item] = state
}

// idleMetrics holds for each running job the longest time for which an unfinished item has been at no server.
type idleMetrics struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

func newIdleMetrics(registry prometheus.Registerer) *idleMetrics {
	m := &idleMetrics{longest: map[string]time.Duration{}}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oleandershelf_batch_item_idle_seconds",
		Help: "Longest time for which an unfinished item of a job that runs here has been at no server; 0 if below two seconds.",
	}, m.max))
	return m
}

// set records the time for a job; 0 removes it.
func (m *idleMetrics) set(job string, longest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if longest == 0 {
		delete(m.longest, job)
		return
	}
	m.longest[job] = longest
}

func (m *idleMetrics) max() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := time.Duration(0)
	for _, each := range m.longest {
		longest = max(longest, each)
	}
	return longest.Seconds()
}
