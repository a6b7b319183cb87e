package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// Figures of the choice; the package comment gives the grounds.
const (
	defaultChoices = 3
	reportTime     = 5 * time.Second
	// forgetTime is how long a server that isn't mentioned any more is remembered.
	forgetTime = 10 * time.Minute
	// judgeInterval is how often the servers are compared with each other.
	judgeInterval = 500 * time.Millisecond
	// defaultCacheSaving is the time that a cached prefix saves, in terms of the start.
	defaultCacheSaving = 200 * time.Millisecond
	// useTime is what a server with all slots taken counts later than an empty one while none has a
	// queue: requests slow each other down, and the next one finds no slot.
	useTime = 100 * time.Millisecond
	// unprobedPenalty puts a server known by an older report behind one that answered its probe.
	unprobedPenalty = 50 * time.Millisecond
)

// Option changes a Tracker.
type Option func(*Tracker)

// WithChoices sets how many random servers are probed for a request.
func WithChoices(choices int) Option {
	return func(t *Tracker) { t.choices = choices }
}

// WithCacheSaving sets the time that a cached prefix saves.
func WithCacheSaving(saving time.Duration) Option {
	return func(t *Tracker) { t.cacheSaving = saving }
}

// WithSeed makes the random choices repeatable.
func WithSeed(seed uint64) Option {
	return func(t *Tracker) { t.random = rand.New(rand.NewPCG(seed, seed)) }
}

// Tracker remembers what an entry knows about backend servers. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	choices     int
	cacheSaving time.Duration
	random      *rand.Rand
	hosts       map[string]*hostState
	beliefs     beliefs
	judged      time.Time
}

// NewTracker returns a tracker that knows nothing.
func NewTracker(opts ...Option) *Tracker {
	t := &Tracker{
		choices:     defaultChoices,
		cacheSaving: defaultCacheSaving,
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		hosts:       map[string]*hostState{},
		beliefs:     newBeliefs(),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Candidates returns the servers to probe for a request, best first: a spared server whose trial is
// due, the one believed to hold the prefix, the prefix's home, and random ones. Leaving servers and
// those in exclude, which have already refused the request, are left out, and spared ones while there are
// others. prefix is the hash of the prompt's prefix, 0 for none.
func (t *Tracker) Candidates(now time.Time, servers []Server, prefix uint64, exclude map[string]bool) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable, spared := t.split(now, servers, exclude)
	if len(usable) == 0 {
		usable = spared
	}
	out := make([]Server, 0, min(t.choices, len(usable))+3)
	out = t.addTrial(now, out, spared)
	out = t.addBelieved(now, out, usable, prefix)
	return t.addRandom(out, usable)
}

// split parts the servers that may be used into good and spared ones.
func (t *Tracker) split(now time.Time, servers []Server, exclude map[string]bool) (usable, spared []Server) {
	usable = make([]Server, 0, len(servers))
	for _, server := range servers {
		if server.Leaving || exclude[server.HostID] {
			continue
		}
		host := t.hosts[server.HostID]
		switch {
		case host == nil:
			usable = append(usable, server)
		case host.load.Draining && now.Sub(host.reported) < reportTime:
		case host.spared:
			spared = append(spared, server)
		default:
			usable = append(usable, server)
		}
	}
	return usable, spared
}

// addTrial adds a spared server whose trial is due.
func (t *Tracker) addTrial(now time.Time, out, spared []Server) []Server {
	for _, server := range spared {
		host := t.hosts[server.HostID]
		if host.trial(now) {
			host.onTrial = true
			host.tryAgain(now)
			return append(out, server)
		}
	}
	return out
}

// addBelieved adds the server believed to hold the prefix and the prefix's home, where requests of the same
// prefix meet even if no entry knows of the others' requests.
func (t *Tracker) addBelieved(now time.Time, out, usable []Server, prefix uint64) []Server {
	if prefix == 0 || len(usable) == 0 {
		return out
	}
	if hostID, ok := t.beliefs.host(now, prefix); ok {
		at := slices.IndexFunc(usable, func(s Server) bool { return s.HostID == hostID })
		if at >= 0 {
			out = append(out, usable[at])
		}
	}
	return appendOnce(out, home(usable, prefix))
}

// home is the server with the highest rendezvous weight for the prefix.
func home(usable []Server, prefix uint64) Server {
	best, weight := usable[0], uint64(0)
	for _, server := range usable {
		if w := mix(hostHash(server.HostID) ^ prefix); w >= weight {
			best, weight = server, w
		}
	}
	return best
}

// addRandom adds random servers, until choices of them are there.
func (t *Tracker) addRandom(out, usable []Server) []Server {
	if t.choices >= len(usable) {
		return appendAll(out, usable)
	}
	want := min(len(out)+t.choices, len(usable))
	for tries := 0; len(out) < want && tries < 4*want; tries++ {
		out = appendOnce(out, usable[t.random.IntN(len(usable))])
	}
	// In a small pool the draws may all fall on one server; were that one leaving, the request would be refused though
	// another has room.
	for _, server := range usable {
		if len(out) >= want {
			break
		}
		out = appendOnce(out, server)
	}
	return out
}

// appendAll appends all servers that out doesn't hold yet; drawn one by one, some dozens took as long as all else of a choice.
func appendAll(out, usable []Server) []Server {
	first := out
	for _, server := range usable {
		if !slices.ContainsFunc(first, func(s Server) bool { return s.HostID == server.HostID }) {
			out = append(out, server)
		}
	}
	return out
}

func appendOnce(out []Server, server Server) []Server {
	if slices.ContainsFunc(out, func(s Server) bool { return s.HostID == server.HostID }) {
		return out
	}
	return append(out, server)
}

// Observe takes in a load that a server reported.
func (t *Tracker) Observe(now time.Time, hostID string, load request.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.host(now, hostID)
	host.load = load
	host.reported = now
}

// Cached says that a server holds a prefix, as after a request ran there or by a cache event.
func (t *Tracker) Cached(now time.Time, prefix uint64, hostID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beliefs.learn(now, prefix, hostID)
}

// Finished takes in a request that ended at a server: whether the server failed, and the time it took.
// Where costs are known the time is that of a unit of cost (the time divided by Ask.Cost), so
// that a server with long jobs isn't taken for a slow one. It isn't called for a refusal: that comes at
// once and would make a full server look fast.
func (t *Tracker) Finished(now time.Time, hostID string, took time.Duration, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.host(now, hostID)
	host.learn(took, failed)
	if failed || host.spared || now.Sub(t.judged) >= judgeInterval {
		t.judge(now)
	}
}

// Spared returns the hosts that are spared, sorted, for dumps.
func (t *Tracker) Spared() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, host := range t.hosts {
		if host.spared {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (t *Tracker) host(now time.Time, hostID string) *hostState {
	host, ok := t.hosts[hostID]
	if !ok {
		host = &hostState{}
		t.hosts[hostID] = host
	}
	host.seen = now
	return host
}

// judge compares the servers of each pool with their median, and forgets those that are long gone.
func (t *Tracker) judge(now time.Time) {
	t.judged = now
	times := map[string][]float64{}
	for id, host := range t.hosts {
		if now.Sub(host.seen) > forgetTime {
			delete(t.hosts, id)
			continue
		}
		if host.samples >= leastSamples {
			times[host.pool] = append(times[host.pool], host.logTime)
		}
	}
	for _, known := range times {
		slices.Sort(known)
	}
	for _, host := range t.hosts {
		known := times[host.pool]
		if len(known) < leastPeers {
			host.judge(now, 0, false)
			continue
		}
		host.judge(now, known[(len(known)-1)/2], true)
	}
}
