package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/admission"
	"github.com/oleandershelf/oleandershelf/internal/core/placement"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

const (
	serverCount = 10
	entryCount  = 4
	// meanCost is the mean cost of a short call in tokens.
	meanCost = 100.0
	// longCostThreshold is the cost from which a call counts as long.
	longCostThreshold = 10 * meanCost
	// longCostFactor is the cost of a long call divided by meanCost.
	longCostFactor = 12
	// callTimeout is how long a client waits for a short call; it waits four times as long for a long one.
	callTimeout = 20 * time.Second
	// measureStart is late enough for a backlog to grow as long as the clients wait.
	measureStart = 60 * time.Second
	measureEnd   = 160 * time.Second
	// arrivalsEnd is later than measureEnd, so that the load stays the same until the measured calls are answered.
	arrivalsEnd   = 280 * time.Second
	simulationEnd = 540 * time.Second
	// capacity is the capacity of the pool in tokens per second.
	capacity = serverCount * slotsPerServer * slotSpeed
)

// sim is one run of a scenario under a policy.
type sim struct {
	clock        *clock
	random       *rand.Rand
	policy       policy
	orgs         []ticket.Organisation
	entries      []*entry
	agents       []*agent
	agentsByName map[string]*agent
	// lostAt holds, by index in agents, when a server was lost; 0 for the others.
	lostAt []time.Duration
	// stats holds the results by index in orgs.
	stats []orgStats
}

// trafficSource describes the calls of one organisation.
type trafficSource struct {
	weight float64
	// load returns the offered work at a point in time as a share of the pool's capacity.
	load func(at time.Duration) float64
	// keyCount is the number of API keys; hotKeyShare of the calls use the first key, the others are spread over the rest.
	keyCount    int
	hotKeyShare float64
	// longShare is the share of long calls.
	longShare float64
	// rateLimit is the limit of the organisation in requests per second; 0 is none.
	rateLimit float64
}

// constant returns a function of time that always returns share.
func constant(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// newSim returns a simulation whose calls and periodic events are scheduled.
func newSim(seed uint64, p policy, sources []trafficSource) *sim {
	s := &sim{
		clock:        newClock(),
		random:       rand.New(rand.NewPCG(seed, 1)),
		policy:       p,
		agentsByName: map[string]*agent{},
		lostAt:       make([]time.Duration, serverCount),
		stats:        make([]orgStats, len(sources)),
	}
	for i, src := range sources {
		s.orgs = append(s.orgs, ticket.Organisation{Name: fmt.Sprintf("org%d", i), Weight: src.weight, RequestsPerSecond: src.rateLimit})
	}
	for i := range serverCount {
		a := newAgent(s, newServer(s.clock, fmt.Sprintf("server%d", i)))
		s.agents = append(s.agents, a)
		s.agentsByName[a.server.name] = a
	}
	for i := range entryCount {
		e := &entry{
			admission:   admission.New(),
			tracker:     placement.NewTracker(placement.WithSeed(seed*100 + uint64(i))),
			budget:      placement.NewRetryBudget(),
			outstanding: map[string]int{},
			nextServer:  i,
		}
		e.admission.Configure(s.orgs, entryCount)
		s.entries = append(s.entries, e)
	}
	for i, src := range sources {
		s.generateCalls(i, src, rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	for _, a := range s.agents {
		s.startQueuedPeriodically(a)
	}
	return s
}

// startQueuedPeriodically makes an agent handle expired calls every 100 ms.
func (s *sim) startQueuedPeriodically(a *agent) {
	a.startQueued()
	s.clock.after(100*time.Millisecond, func() { s.startQueuedPeriodically(a) })
}

// generateCalls schedules the calls of an organisation: a Poisson process with exponentially distributed costs.
func (s *sim) generateCalls(org int, src trafficSource, random *rand.Rand) {
	mean := meanCost * (1 + src.longShare*(longCostFactor-1))
	var submitNext func()
	submitNext = func() {
		at := s.clock.elapsed()
		if at > arrivalsEnd {
			return
		}
		rate := src.load(at) * capacity / mean
		if rate <= 0 {
			s.clock.after(100*time.Millisecond, submitNext)
			return
		}
		s.submit(newCall(org, src, random, at))
		s.clock.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), submitNext)
	}
	s.clock.after(time.Duration(random.ExpFloat64()*float64(time.Second)), submitNext)
}

// newCall returns a call with a random cost and API key.
func newCall(org int, src trafficSource, random *rand.Rand, at time.Duration) *call {
	c := &call{org: org, timeout: callTimeout, measured: at >= measureStart && at <= measureEnd}
	c.cost = math.Ceil(min(5, max(0.05, random.ExpFloat64())) * meanCost)
	if random.Float64() < src.longShare {
		c.cost = longCostFactor * meanCost
		c.timeout = 4 * callTimeout
	}
	if src.keyCount > 1 && random.Float64() > src.hotKeyShare {
		c.key = 1 + random.IntN(src.keyCount-1)
	}
	return c
}
