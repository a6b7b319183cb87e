package backend

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleandershelf/oleandershelf/internal/core/placement"
)

// Figures of the choice.
const (
	// reportTime is how long the load in an answer counts; requests take some hundred milliseconds.
	reportTime = 500 * time.Millisecond
	// otherZone is what a server in another availability zone counts as fuller, so that equal servers are chosen near:
	// bytes between zones are paid for, and a twentieth of a server's places is worth less than the way there.
	otherZone = 0.05
	// refusedTime is how long a server that refused for want of a place is asked last, or, by work that can wait, not at all. It
	// doubles with each refusal in a row up to refusedMost: an engine refuses all while it loads weights, for about a second, and
	// items that ask it again at once would be most of what reaches the engines.
	refusedTime = 80 * time.Millisecond
	refusedMost = 320 * time.Millisecond
	// lostTime is how long a server is asked last after a connection to it failed; one that crashed disappears from
	// the list after seconds.
	lostTime = time.Second
	// moveFactor is how much slower than at the median server a stream must be to go on elsewhere: above what a full engine is slower than an
	// empty one, and below what an engine in trouble is.
	moveFactor = 1.9
	// leastPaces is how many other servers must be known to call one slow.
	leastPaces = 2
	// subsetSize is how many servers that may run a request an entry looks at first, in an order of its own by hash, and leastFit how many
	// of them must have a place to look no further. It bounds the connections of an entry and of a server, and the work of a choice, which
	// among thousands of servers would take longer than the request.
	subsetSize = 32
	leastFit   = 4
	// paceShare is the part of a new span of a stream in the pace of its server: the last few spans count.
	paceShare = 0.2
)

// Need is what a request needs of its server.
type Need struct {
	Pool string
	// Model and MinVersion are set for engines: the server must hold that version of the model or a newer one.
	Model      string
	MinVersion int
	// Within is set for work that can wait: it isn't sent to servers that have as many requests of all known callers as slots, or that
	// just refused.
	Within bool
	// Spare is how many places of a server work that can wait leaves free for others.
	Spare int
	// Avoid are servers that this request isn't sent to again.
	Avoid map[string]bool
}

// serverState is what an entry knows of a server beside its registration.
type serverState struct {
	server Server
	// running counts the requests of this entry, others those that other entries said they run there.
	running, others int
	reported        int
	reportedAt      time.Time
	// lastUntil is when the server is asked as others are again, and refusals how often it refused in a row.
	lastUntil time.Time
	refusals  int
	// versions are the weight versions that the server's answers showed, which are newer than its list entry.
	versions map[string]int
	// pace is the usual time between two pieces of a stream.
	pace time.Duration
	// order is the server's place in the order of this entry.
	order uint64
}

func (s *serverState) version(model string) int {
	return max(s.server.Models[model], s.versions[model])
}

// Book holds the servers of all pools with what this entry runs at each. It is safe for concurrent use.
type Book struct {
	host    string
	zone    string
	mu      sync.Mutex
	tracker *placement.Tracker
	servers map[string]*serverState
	// pools holds the servers of each pool in this entry's order.
	pools   map[string][]*serverState
	changed chan struct{}
}

// NewBook returns an empty book of the entry at the host in the availability zone.
func NewBook(host, zone string) *Book {
	return &Book{
		host: host,
		zone: zone,
		// All servers are weighed, since nothing has to be asked for it.
		tracker: placement.NewTracker(placement.WithChoices(1<<20), placement.WithCacheSaving(0)),
		servers: map[string]*serverState{},
		changed: make(chan struct{}),
	}
}

// Changed is closed when a server came, went or has a place again.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Book) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Sync takes over the list of servers. What is known of a server is kept while it is the same run.
func (b *Book) Sync(servers []Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[string]*serverState, len(servers))
	for _, server := range servers {
		state, known := b.servers[server.ID]
		if !known || state.server.Key() != server.Key() {
			state = &serverState{versions: map[string]int{}, order: xxhash.Sum64String(b.host + "\x00" + server.ID)}
		}
		state.server = server
		next[server.ID] = state
	}
	b.servers = next
	b.pools = map[string][]*serverState{}
	for _, state := range next {
		b.pools[state.server.Pool] = append(b.pools[state.server.Pool], state)
	}
	for _, pool := range b.pools {
		slices.SortFunc(pool, func(x, y *serverState) int {
			return cmp.Or(cmp.Compare(x.order, y.order), cmp.Compare(x.server.ID, y.server.ID))
		})
	}
	b.wake()
}

// Servers returns all servers, sorted by id.
func (b *Book) Servers() []Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := make([]Server, 0, len(b.servers))
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		servers = append(servers, b.servers[id].server)
	}
	return servers
}

// Others takes in how many requests other entries run at each of the servers named; nothing changes at servers that aren't.
func (b *Book) Others(running map[string]int) {
	if len(running) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, count := range running {
		if state, ok := b.servers[id]; ok {
			state.others = count
		}
	}
	b.wake()
}

// Running returns how many requests this entry runs at each server that has any.
func (b *Book) Running() map[string]int {
	return b.count(func(s *serverState) int { return s.running })
}

// RunningAnywhere returns how many requests all entries are known to run at each server that has any.
func (b *Book) RunningAnywhere() map[string]int {
	return b.count(func(s *serverState) int { return s.running + s.others })
}

// count returns the servers with their counts, but for those that have none.
func (b *Book) count(of func(*serverState) int) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int{}
	for id, state := range b.servers {
		if count := of(state); count > 0 {
			counts[id] = count
		}
	}
	return counts
}

// Release ends the count of a request that Acquire began.
func (b *Book) Release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[id]; ok {
		state.running = max(0, state.running-1)
		b.wake()
	}
}

// Reported takes in the number of requests that the server said it has.
func (b *Book) Reported(now time.Time, id string, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[id]; ok {
		state.reported = requests
		state.reportedAt = now
	}
}

// Served takes in the time that a unit of work took at the server: a whole call, or one event of a stream.
func (b *Book) Served(now time.Time, id string, took time.Duration) {
	b.tracker.ObserveRequest(now, id, took, false)
}

// Failed takes in that the server failed a request.
func (b *Book) Failed(now time.Time, id string) {
	b.tracker.ObserveRequest(now, id, 0, true)
}

// Refused takes in that the server had no place.
func (b *Book) Refused(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.servers[id]
	if !ok || now.Before(state.lastUntil) {
		return
	}
	state.lastUntil = now.Add(min(refusedTime<<state.refusals, refusedMost))
	state.refusals = min(state.refusals+1, 4)
}

// Accepted takes in that the server took a request on.
func (b *Book) Accepted(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[id]; ok {
		state.refusals = 0
	}
}

// Unreachable takes in that no connection to the server could be made or that it broke.
func (b *Book) Unreachable(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[id]; ok {
		state.lastUntil = now.Add(lostTime)
	}
}

// Shows takes in the weight version that an answer of the server showed.
func (b *Book) Shows(id, model string, version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.servers[id]; ok {
		state.versions[model] = version
	}
}

// Pace takes in the time between pieces of a stream of the server, the mean of a span.
func (b *Book) Pace(id string, gap time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.servers[id]
	switch {
	case !ok:
	case state.pace == 0:
		state.pace = gap
	default:
		state.pace += time.Duration(paceShare * float64(gap-state.pace))
	}
}
