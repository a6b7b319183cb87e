package backend

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleandershelf/oleandershelf/internal/core/pace"
	"github.com/oleandershelf/oleandershelf/internal/core/placement"
	"github.com/oleandershelf/oleandershelf/internal/core/readiness"
)

// Parameters of the server choice.
const (
	// loadReportTTL is how long the load in an answer is used; requests take some hundred milliseconds.
	loadReportTTL = 500 * time.Millisecond
	// crossZonePenalty is added to the utilization of a server in another availability zone, so that a server of
	// the entry's own zone is chosen if both are equally loaded. Traffic between zones costs money and adds latency,
	// which outweighs a difference of a twentieth of a server's slots.
	crossZonePenalty = 0.05
	// minRefusalBackoff is how long a server that refused for lack of a free slot is chosen last, or not at all for
	// work that can wait. It doubles with each consecutive refusal up to maxRefusalBackoff. An engine refuses
	// everything while it loads weights, for about a second, and items that are retried at once would be most of the
	// requests that reach the engines.
	minRefusalBackoff = 80 * time.Millisecond
	maxRefusalBackoff = 320 * time.Millisecond
	// unreachableBackoff is how long a server is chosen last after a connection to it failed. A crashed server
	// disappears from the list of servers after some seconds.
	unreachableBackoff = time.Second
	// answerTTL is for how long a server counts as answering after an answer, a report or some events of a stream, which come every second at
	// the latest.
	answerTTL = 1500 * time.Millisecond
	// minInvalidBackoff is how long a server is chosen last, or not at all for work that can wait, after an answer without end. It doubles with
	// each consecutive one up to maxInvalidBackoff, which leaves an item time to start within the five seconds that it may be at no server.
	minInvalidBackoff = 250 * time.Millisecond
	maxInvalidBackoff = 4 * time.Second
	// failureTTL is for how long a server counts as failing after a failed connection, unless it answers. Until then the other servers of the pool
	// are tried first, each of which may take a timeout.
	failureTTL = 10 * time.Second
	// slowIntervalFactor is how many times the median event interval of other servers a stream must reach to be
	// moved. It lies above the slowdown of a full engine against an empty one, and below that of a
	// faulty engine.
	slowIntervalFactor = 1.9
	// minPeerIntervals is how many other servers must have a known event interval before one counts as slow.
	minPeerIntervals = 2
	// subsetSize is how many servers that can run a request an entry considers first, in an order of its own by
	// hash, and minAvailable is how many of them must be available to consider no more. This bounds the connections
	// of an entry and of a server, and the cost of a choice, which among thousands of servers would take longer than
	// the request.
	subsetSize   = 32
	minAvailable = 4
	// intervalWeight is the weight of a new measurement in the moving average of a server's event interval: the last
	// few measurements count.
	intervalWeight = 0.2
)

// Requirements are what a request needs of its server.
type Requirements struct {
	Pool string
	// Model and MinVersion are set for engines: the server must hold that version of the model or a newer one.
	Model      string
	MinVersion int
	// Deferrable is set for work that can wait. It isn't sent to servers whose slots are all taken by the known requests
	// of all entries, or that refused recently.
	Deferrable bool
	// ReservedSlots is the number of slots of each server that work that can wait has to leave free for other requests.
	ReservedSlots int
	// Regions are the regions whose servers may run the request; nil allows all.
	Regions []string
	// Exclude holds the IDs of servers that must not get this request again.
	Exclude map[string]bool
	// PreferAnswering is set if servers that have answered lately are chosen first, and those to which connections failed last. Otherwise a
	// request that waited in vain at a server that became silent would go to the next one, and to the first again: of all servers they have
	// the fewest known requests.
	PreferAnswering bool
}

// serverState is what an entry knows of a server beside its registration.
type serverState struct {
	server Server
	// readiness is the guard's state of the server.
	readiness *readiness.Server
	// running counts the requests of this entry, peerRunning those that other entries reported.
	running, peerRunning int
	// load is the server's last load report.
	load receivedLoad
	// sentSinceLoad and releasedSinceLoad count the requests of this entry that began and ended since that report.
	sentSinceLoad, releasedSinceLoad int
	// backoffUntil is when the server's backoff ends; until then it is chosen last. Refusals counts its consecutive
	// refusals.
	backoffUntil time.Time
	refusals     int
	// invalidAnswers counts the invalid answers since the last complete one; invalidUntil is when the backoff for them ends.
	invalidAnswers int
	invalidUntil   time.Time
	// versions are the weight versions that the server's answers showed, which are newer than its registration.
	versions map[string]int
	// answeredAt is when the server last answered a request or brought events, failedAt when a connection to it last failed.
	answeredAt, failedAt time.Time
	// eventInterval is the moving average of the time between two events of a stream; 0 if unknown.
	eventInterval time.Duration
	// key is the server's key.
	key Key
	// rank is the hash by which this entry orders servers.
	rank uint64
}

// backOff makes the server be chosen last until the given time, or longer if it already is.
func (s *serverState) backOff(until time.Time) {
	if until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// weightVersion returns the newest weight version of the model that the server is known to hold.
func (s *serverState) weightVersion(model string) int {
	return max(s.server.Models[model], s.versions[model])
}

// Balancer tracks the servers of all pools and the requests at each, and chooses servers for requests. It is safe for
// concurrent use.
type Balancer struct {
	host    string
	zone    string
	mu      sync.Mutex
	guard   *readiness.Guard
	tracker *placement.Tracker
	servers map[string]*serverState
	// pools holds the servers of each pool, ordered by rank.
	pools map[string][]*serverState
	// denials counts the servers that were passed over because they may not get a request, by reason.
	denials map[readiness.Denial]uint64
	// pace estimates the speed of the servers; nil unless speed placement is on.
	pace *pace.Estimator
	// ends remembers the servers that have ended.
	ends endHistory
	// changed is closed and replaced by notifyChanged.
	changed chan struct{}
}

// Option changes a new Balancer.
type Option func(*Balancer)

// WithRegions sets the region of each availability zone. Without it no server runs requests that are restricted to regions.
func WithRegions(regions map[string]string) Option {
	return func(b *Balancer) { b.guard = readiness.NewGuard(b.host, regions) }
}

// NewBalancer returns a Balancer without servers, for the entry at the host in the availability zone.
func NewBalancer(host, zone string, options ...Option) *Balancer {
	b := &Balancer{
		host: host,
		zone: zone,
		// The tracker considers all servers, since none has to be probed.
		tracker: placement.NewTracker(placement.WithChoices(1<<20), placement.WithCacheSaving(0)),
		guard:   readiness.NewGuard(host, nil),
		servers: map[string]*serverState{},
		denials: map[readiness.Denial]uint64{},
		ends:    endHistory{pools: map[string]map[Key]time.Time{}},
		changed: make(chan struct{}),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// Changed returns a channel that is closed when the list of servers is replaced or a slot may have become free.
func (b *Balancer) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// notifyChanged wakes the goroutines that wait on the channel of Changed. The caller holds the lock.
func (b *Balancer) notifyChanged() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetConditions replaces what the store says about evacuated availability zones and the limits of cold servers.
func (b *Balancer) SetConditions(now time.Time, c readiness.Conditions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.guard.SetConditions(now, c)
	b.notifyChanged()
}

// SetEntries replaces the list of living entries, this one included. Runners holds, by model, those that run the model's batch jobs.
func (b *Balancer) SetEntries(now time.Time, alive []string, runners map[string][]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.guard.SetEntries(now, alive, runners)
}

// Sync replaces the list of servers. It preserves the state of each server whose process has not restarted.
func (b *Balancer) Sync(now time.Time, servers []Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[string]*serverState, len(servers))
	for _, server := range servers {
		state, known := b.servers[server.ID]
		if !known || state.server.Key() != server.Key() {
			state = &serverState{versions: map[string]int{}, rank: xxhash.Sum64String(b.host + "\x00" + server.ID)}
			b.ends.remove(server.Pool, server.Key())
		}
		if state.readiness == nil || state.server.Revision != server.Revision {
			state.readiness = b.guard.PutServer(now, server.readinessRecord())
		}
		state.server, state.key = server, server.Key()
		next[server.ID] = state
	}
	for id, former := range b.servers {
		current, listed := next[id]
		if !listed {
			b.guard.RemoveServer(id)
		}
		if !listed || current.key != former.key {
			b.recordEnd(now, former)
		}
	}
	b.servers = next
	b.pools = map[string][]*serverState{}
	for _, state := range next {
		b.pools[state.server.Pool] = append(b.pools[state.server.Pool], state)
	}
	for _, pool := range b.pools {
		slices.SortFunc(pool, func(x, y *serverState) int {
			return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.server.ID, y.server.ID))
		})
	}
	b.retainSpeeds(servers)
	b.notifyChanged()
}

// Servers returns all servers, sorted by ID.
func (b *Balancer) Servers() []Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := make([]Server, 0, len(b.servers))
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		servers = append(servers, b.servers[id].server)
	}
	return servers
}

// Registered reports whether this run of a server is still registered.
func (b *Balancer) Registered(key Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.servers[key.ID]
	return ok && state.key == key
}

// RecordPeerRequests records how many requests other entries run at each of the given servers; other servers keep their counts.
func (b *Balancer) RecordPeerRequests(running map[string]int) {
	if len(running) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, count := range running {
		if state, ok := b.servers[id]; ok {
			state.peerRunning = count
		}
	}
	b.notifyChanged()
}

// Running returns the number of this entry's requests at each server that has any.
func (b *Balancer) Running() map[string]int {
	return b.nonZeroCounts(func(s *serverState) int { return s.running })
}

// TotalRunning returns the known number of requests of all entries at each server that has any.
func (b *Balancer) TotalRunning() map[string]int {
	return b.nonZeroCounts(func(s *serverState) int { return s.running + s.peerRunning })
}

// nonZeroCounts returns the count of each server, without those that are 0.
func (b *Balancer) nonZeroCounts(counter func(*serverState) int) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int{}
	for id, state := range b.servers {
		if count := counter(state); count > 0 {
			counts[id] = count
		}
	}
	return counts
}

// Release ends the count of a request that Acquire began.
func (b *Balancer) Release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[id]; ok {
		state.running = max(0, state.running-1)
		state.releasedSinceLoad++
		b.notifyChanged()
	}
}

// AnsweredAfter reports whether the server is known to have answered a request or brought events after the time.
func (b *Balancer) AnsweredAfter(key Key, at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.servers[key.ID]
	return ok && state.key == key && state.answeredAt.After(at)
}

// RecordLoad records the load that the server reported.
func (b *Balancer) RecordLoad(now time.Time, id string, load LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[id]; ok {
		state.load, state.sentSinceLoad, state.releasedSinceLoad = receivedLoad{LoadReport: load, at: now}, 0, 0
		state.answeredAt = now
		b.guard.Answered(state.readiness)
		if b.pace != nil {
			b.pace.Report(now, state.key, load.Slowdown)
		}
	}
}

// RecordLatency records the time that a unit of work took at the server: a complete call, or one event of a stream.
func (b *Balancer) RecordLatency(now time.Time, id string, took time.Duration) {
	b.tracker.ObserveRequest(now, id, took, false)
}

// RecordFailure records that the server failed a request.
func (b *Balancer) RecordFailure(now time.Time, id string) {
	b.tracker.ObserveRequest(now, id, 0, true)
}

// RecordInvalidAnswer records that the server sent an answer that had to be ended, such as one without end. The server is chosen last for
// a while: without that it would send the next requests as much. Answers that end while the server is backed off for another one are
// ignored: they were requested before.
func (b *Balancer) RecordInvalidAnswer(now time.Time, id string) {
	b.RecordFailure(now, id)
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.servers[id]
	if !ok || now.Before(state.invalidUntil) {
		return
	}
	state.invalidUntil = now.Add(min(minInvalidBackoff<<state.invalidAnswers, maxInvalidBackoff))
	state.backOff(state.invalidUntil)
	state.invalidAnswers = min(state.invalidAnswers+1, 4)
}

// RecordCompleteAnswer records that the server answered a request completely, which ends a series of invalid answers.
func (b *Balancer) RecordCompleteAnswer(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[id]; ok {
		state.invalidAnswers = 0
	}
}

// RecordRefusal records that the server had no free slot. It is ignored while the server is backed off already.
func (b *Balancer) RecordRefusal(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.servers[id]
	if !ok {
		return
	}
	state.answeredAt = now
	if now.Before(state.backoffUntil) {
		return
	}
	state.backoffUntil = now.Add(min(minRefusalBackoff<<state.refusals, maxRefusalBackoff))
	state.refusals = min(state.refusals+1, 4)
}

// RecordAcceptance records that the server accepted a request, which ends a series of refusals.
func (b *Balancer) RecordAcceptance(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[id]; ok {
		state.refusals = 0
	}
}

// RecordConnectionFailure records that a connection to the server broke or, if unreachable is set, could not be made.
func (b *Balancer) RecordConnectionFailure(now time.Time, id string, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[id]; ok {
		state.backOff(now.Add(unreachableBackoff))
		state.failedAt = now
		b.guard.Failed(now, state.readiness, unreachable)
	}
}

// RecordVersion records the weight version that an answer of the server showed.
func (b *Balancer) RecordVersion(id, model string, version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[id]; ok {
		state.versions[model] = version
	}
}

// RecordEventInterval records the mean time between events of a stream at the server, measured over several events.
func (b *Balancer) RecordEventInterval(now time.Time, id string, interval time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.servers[id]
	if ok {
		state.answeredAt = now
	}
	if ok && b.pace != nil {
		b.pace.Observe(now, state.key, knownRequests(now, state), interval)
	}
	switch {
	case !ok:
	case state.eventInterval == 0:
		state.eventInterval = interval
	default:
		state.eventInterval += time.Duration(intervalWeight * float64(interval-state.eventInterval))
	}
}
