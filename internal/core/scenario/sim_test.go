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
	meanCost    = 100.0
	// longCost tells long calls from short ones.
	longCost   = 10 * meanCost
	longFactor = 12
	patience   = 20 * time.Second
	// begin leaves time for a backlog as long as the callers wait.
	begin = 60 * time.Second
	end   = 160 * time.Second
	// feedEnd is after end, so that the calls measured meet the same load until they are answered.
	feedEnd = 280 * time.Second
	drain   = 540 * time.Second
	// capacity of the pool in tokens a second.
	capacity = serverCount * knee * slotSpeed
)

// sim is one run of a scenario under a policy.
type sim struct {
	clock   *clock
	random  *rand.Rand
	policy  policy
	orgs    []ticket.Organisation
	entries []*entry
	agents  []*agent
	byName  map[string]*agent
	gone    []time.Duration
	tallies []tally
}

// source is the load of one organisation; load is its part of the pool's capacity at a time.
type source struct {
	weight    float64
	load      func(at time.Duration) float64
	keys      int
	hotKey    float64
	longShare float64
	limit     float64
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func newSim(seed uint64, p policy, sources []source) *sim {
	s := &sim{
		clock:   newClock(),
		random:  rand.New(rand.NewPCG(seed, 1)),
		policy:  p,
		byName:  map[string]*agent{},
		gone:    make([]time.Duration, serverCount),
		tallies: make([]tally, len(sources)),
	}
	for i, src := range sources {
		s.orgs = append(s.orgs, ticket.Organisation{Name: fmt.Sprintf("org%d", i), Weight: src.weight, RequestsPerSecond: src.limit})
	}
	for i := range serverCount {
		a := newAgent(s, newServer(s.clock, fmt.Sprintf("server%d", i)))
		s.agents = append(s.agents, a)
		s.byName[a.server.name] = a
	}
	for i := range entryCount {
		e := &entry{
			admission:   admission.New(),
			tracker:     placement.NewTracker(placement.WithSeed(seed*100 + uint64(i))),
			budget:      placement.NewRetryBudget(),
			outstanding: map[string]int{},
			next:        i,
		}
		e.admission.Configure(s.orgs, entryCount)
		s.entries = append(s.entries, e)
	}
	for i, src := range sources {
		s.feed(i, src, rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	for _, a := range s.agents {
		s.tick(a)
	}
	return s
}

// tick lets an agent look for expired calls.
func (s *sim) tick(a *agent) {
	a.pump()
	s.clock.after(100*time.Millisecond, func() { s.tick(a) })
}

// feed makes the calls of an organisation: a Poisson process with exponential costs.
func (s *sim) feed(org int, src source, random *rand.Rand) {
	mean := meanCost * (1 + src.longShare*(longFactor-1))
	var next func()
	next = func() {
		at := s.clock.elapsed()
		if at > feedEnd {
			return
		}
		rate := src.load(at) * capacity / mean
		if rate <= 0 {
			s.clock.after(100*time.Millisecond, next)
			return
		}
		s.make(newCall(org, src, random, at))
		s.clock.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.clock.after(time.Duration(random.ExpFloat64()*float64(time.Second)), next)
}

func newCall(org int, src source, random *rand.Rand, at time.Duration) *call {
	c := &call{org: org, patience: patience, measured: at >= begin && at <= end}
	c.cost = math.Ceil(min(5, max(0.05, random.ExpFloat64())) * meanCost)
	if random.Float64() < src.longShare {
		c.cost = longFactor * meanCost
		c.patience = 4 * patience
	}
	if src.keys > 1 && random.Float64() > src.hotKey {
		c.key = 1 + random.IntN(src.keys-1)
	}
	return c
}
