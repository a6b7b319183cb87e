package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// Parameters of the choice; the package comment gives the reasons.
const (
	defaultChoices = 3
	// reportTTL is how long a load report is used.
	reportTTL = 5 * time.Second
	// hostTTL is how long the state of a server is kept after its last use.
	hostTTL = 10 * time.Minute
	// evaluationInterval is the minimum time between two comparisons of the servers while requests succeed.
	evaluationInterval = 500 * time.Millisecond
	// defaultCacheSaving is how much sooner a request starts on a server that has its prefix cached.
	defaultCacheSaving = 200 * time.Millisecond
	// fullUtilisationPenalty is added to the estimated start at a server whose slots are all taken, and in proportion
	// at lower utilisation: requests slow each other down, and the next one finds no free slot.
	fullUtilisationPenalty = 100 * time.Millisecond
	// unprobedPenalty ranks a server whose load is known from an earlier report behind one that answered its probe.
	unprobedPenalty = 50 * time.Millisecond
)

// Option configures a Tracker.
type Option func(*Tracker)

// WithChoices sets how many random servers are candidates for a request.
func WithChoices(choices int) Option {
	return func(t *Tracker) { t.choices = choices }
}

// WithCacheSaving sets how much sooner a request starts on a server that has its prefix cached.
func WithCacheSaving(saving time.Duration) Option {
	return func(t *Tracker) { t.cacheSaving = saving }
}

// WithSeed makes the random choices reproducible.
func WithSeed(seed uint64) Option {
	return func(t *Tracker) { t.random = rand.New(rand.NewPCG(seed, seed)) }
}

// Tracker holds what an entry knows about backend servers, and chooses among them. It is safe for concurrent use.
type Tracker struct {
	mu              sync.Mutex
	choices         int
	cacheSaving     time.Duration
	random          *rand.Rand
	hosts           map[string]*hostState
	prefixLocations prefixLocations
	// evaluatedAt is when the servers were last compared.
	evaluatedAt time.Time
}

// NewTracker returns a tracker without any knowledge of servers.
func NewTracker(opts ...Option) *Tracker {
	t := &Tracker{
		choices:         defaultChoices,
		cacheSaving:     defaultCacheSaving,
		random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		hosts:           map[string]*hostState{},
		prefixLocations: newPrefixLocations(),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Candidates returns the servers to probe for a request, in this order: an ejected server whose trial is due, the
// server that last held the prefix, the server that rendezvous hashing assigns to the prefix, and random ones.
// Leaving servers and those in exclude, which were already tried, are left out; so are ejected ones, except for a
// trial, unless there are no others. prefix is the hash of the prompt's prefix, 0 for none.
func (t *Tracker) Candidates(now time.Time, servers []Server, prefix uint64, exclude map[string]bool) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable, ejected := t.partition(now, servers, exclude)
	if len(usable) == 0 {
		usable = ejected
	}
	out := make([]Server, 0, min(t.choices, len(usable))+3)
	out = t.addTrial(now, out, ejected)
	out = t.addPrefixServers(now, out, usable, prefix)
	return t.addRandom(out, usable)
}

// Usable returns the servers that Candidates may return when all are candidates, without beginning a trial: those that aren't ejected, or all
// if there are no others, and those whose trial is due. Admit begins the trial.
func (t *Tracker) Usable(now time.Time, servers []Server) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable, ejected := t.partition(now, servers, nil)
	if len(usable) == 0 {
		return ejected
	}
	for _, server := range ejected {
		if t.hosts[server.HostID].trialDue(now) {
			usable = append(usable, server)
		}
	}
	return usable
}

// Admit reports whether the server may get a request although there are others: it isn't ejected, or its trial is due, which begins with that.
func (t *Tracker) Admit(now time.Time, hostID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	host, ok := t.hosts[hostID]
	if !ok || !host.ejected {
		return true
	}
	if !host.trialDue(now) {
		return false
	}
	host.onTrial = true
	host.scheduleTrial(now)
	return true
}

// partition returns the servers that accept requests, separated into usable and ejected ones.
func (t *Tracker) partition(now time.Time, servers []Server, exclude map[string]bool) (usable, ejected []Server) {
	usable = make([]Server, 0, len(servers))
	for _, server := range servers {
		if server.Leaving || exclude[server.HostID] {
			continue
		}
		host := t.hosts[server.HostID]
		switch {
		case host == nil:
			usable = append(usable, server)
		case host.load.Draining && now.Sub(host.reportedAt) < reportTTL:
		case host.ejected:
			ejected = append(ejected, server)
		default:
			usable = append(usable, server)
		}
	}
	return usable, ejected
}

// addTrial adds the first ejected server whose trial is due.
func (t *Tracker) addTrial(now time.Time, out, ejected []Server) []Server {
	for _, server := range ejected {
		host := t.hosts[server.HostID]
		if host.trialDue(now) {
			host.onTrial = true
			host.scheduleTrial(now)
			return append(out, server)
		}
	}
	return out
}

// addPrefixServers adds the server that last held the prefix and the one that rendezvous hashing assigns to it. The
// latter is the same in all entries, so that requests with the same prefix reach the same server even though no
// entry knows of the others' requests.
func (t *Tracker) addPrefixServers(now time.Time, out, usable []Server, prefix uint64) []Server {
	if prefix == 0 || len(usable) == 0 {
		return out
	}
	if hostID, ok := t.prefixLocations.lookup(now, prefix); ok {
		i := slices.IndexFunc(usable, func(s Server) bool { return s.HostID == hostID })
		if i >= 0 {
			out = append(out, usable[i])
		}
	}
	return appendUnique(out, rendezvousServer(usable, prefix))
}

// rendezvousServer returns the server with the highest rendezvous weight for the prefix.
func rendezvousServer(usable []Server, prefix uint64) Server {
	best, weight := usable[0], uint64(0)
	for _, server := range usable {
		if w := mix(hashHostID(server.HostID) ^ prefix); w >= weight {
			best, weight = server, w
		}
	}
	return best
}

// addRandom adds up to t.choices random servers.
func (t *Tracker) addRandom(out, usable []Server) []Server {
	if t.choices >= len(usable) {
		return appendAll(out, usable)
	}
	want := min(len(out)+t.choices, len(usable))
	for draws := 0; len(out) < want && draws < 4*want; draws++ {
		out = appendUnique(out, usable[t.random.IntN(len(usable))])
	}
	// In a small pool all draws may fall on one server. If that one is leaving, the request would be refused although
	// another server has free slots.
	for _, server := range usable {
		if len(out) >= want {
			break
		}
		out = appendUnique(out, server)
	}
	return out
}

// appendAll appends all servers that out doesn't contain yet. Drawing several dozen servers one by one instead took as
// long as the rest of the placement decision.
func appendAll(out, usable []Server) []Server {
	existing := out
	for _, server := range usable {
		if !slices.ContainsFunc(existing, func(s Server) bool { return s.HostID == server.HostID }) {
			out = append(out, server)
		}
	}
	return out
}

func appendUnique(out []Server, server Server) []Server {
	if slices.ContainsFunc(out, func(s Server) bool { return s.HostID == server.HostID }) {
		return out
	}
	return append(out, server)
}

// ObserveLoad records a load report of a server.
func (t *Tracker) ObserveLoad(now time.Time, hostID string, load request.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.host(now, hostID)
	host.load = load
	host.reportedAt = now
}

// ObservePrefix records that a server holds a prefix, which a finished request or a cache event shows.
func (t *Tracker) ObservePrefix(now time.Time, prefix uint64, hostID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prefixLocations.record(now, prefix, hostID)
}

// ObserveRequest records the duration of a request that ended at a server and whether the server failed. Where costs are
// known, took is the duration divided by the cost of the request, so that a server with long jobs doesn't count as
// slow. Refusals must not be recorded: they are immediate, so that a full server would look fast.
func (t *Tracker) ObserveRequest(now time.Time, hostID string, took time.Duration, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.host(now, hostID)
	host.recordRequest(took, failed)
	if failed || host.ejected || now.Sub(t.evaluatedAt) >= evaluationInterval {
		t.updateEjections(now)
	}
}

// Ejected returns the sorted IDs of the ejected servers.
func (t *Tracker) Ejected() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, host := range t.hosts {
		if host.ejected {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// host returns the state of a server, which it creates if there is none, and marks the server as seen.
func (t *Tracker) host(now time.Time, hostID string) *hostState {
	host, ok := t.hosts[hostID]
	if !ok {
		host = &hostState{}
		t.hosts[hostID] = host
	}
	host.lastSeen = now
	return host
}

// updateEjections compares each server with the median of its pool, and drops the state of servers not seen for hostTTL.
func (t *Tracker) updateEjections(now time.Time) {
	t.evaluatedAt = now
	durations := map[string][]float64{}
	for id, host := range t.hosts {
		if now.Sub(host.lastSeen) > hostTTL {
			delete(t.hosts, id)
			continue
		}
		if host.samples >= minSamples {
			durations[host.pool] = append(durations[host.pool], host.meanLogDuration)
		}
	}
	for _, known := range durations {
		slices.Sort(known)
	}
	for _, host := range t.hosts {
		known := durations[host.pool]
		if len(known) < minPeers {
			host.updateEjected(now, 0, false)
			continue
		}
		host.updateEjected(now, known[(len(known)-1)/2], true)
	}
}
