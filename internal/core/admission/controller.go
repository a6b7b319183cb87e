package admission

import (
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// leastBurst lets each key of an organisation find a token at an entry, however many entries share the limit.
const (
	leastBurst = 2
	// rateBurst is the burst of a limit without one, in seconds of its rate.
	rateBurst = 4
)

// Option changes a Controller.
type Option func(*Controller)

// WithoutShares leaves the fair shares to the agents.
func WithoutShares() Option {
	return func(c *Controller) { c.shares = false }
}

// limits are the configured figures of an organisation at this entry.
type limits struct {
	weight float64
	rate   float64
	burst  float64
}

// Controller admits or refuses requests. It is safe for concurrent use.
type Controller struct {
	mu     sync.Mutex
	shares bool
	limits map[string]limits
	pools  map[string]*pool
}

// New returns a controller that admits everything until it is configured and has seen load.
func New(opts ...Option) *Controller {
	c := &Controller{shares: true, limits: map[string]limits{}, pools: map[string]*pool{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configure sets the organisations' weights and limits and the number of live entries that share them.
func (c *Controller) Configure(orgs []ticket.Organisation, entries int) {
	parts := float64(max(1, entries))
	configured := make(map[string]limits, len(orgs))
	for _, org := range orgs {
		l := limits{weight: 1, rate: org.RequestsPerSecond / parts}
		if org.Weight > 0 {
			l.weight = org.Weight
		}
		l.burst = max(float64(org.Burst)/parts, leastBurst)
		if org.Burst == 0 {
			l.burst = max(l.rate*rateBurst, leastBurst)
		}
		configured[org.Name] = l
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = configured
	for _, p := range c.pools {
		for name, m := range p.members {
			c.apply(m, name)
		}
	}
}

// apply sets a member's figures; an organisation that isn't configured has weight 1 and no limit.
func (c *Controller) apply(m *member, organisation string) {
	l, ok := c.limits[organisation]
	if !ok {
		l = limits{weight: 1}
	}
	m.weight = l.weight
	m.rate.set(l.rate, l.burst)
}

// Admit returns nil, or a *verdict.Refusal with NotRun and the time to come back.
// Done must follow each nil.
func (c *Controller) Admit(now time.Time, ask Ask) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := positive(ask.Cost)
	p := c.pool(now, ask.Pool)
	m := c.member(p, ask.Organisation)
	m.offered += cost
	m.keys.ask(now, ask.KeyHash, 0)
	if err := m.checkDeadline(now, ask, cost); err != nil {
		return err
	}
	limited := c.shares && p.full && m.limited
	if err := m.check(now, ask, cost, limited); err != nil {
		return err
	}
	m.keys.ask(now, ask.KeyHash, cost)
	return nil
}

func positive(cost float64) float64 {
	if cost > 0 {
		return cost
	}
	return 1
}

func (c *Controller) pool(now time.Time, name string) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = &pool{members: map[string]*member{}}
		c.pools[name] = p
	}
	p.roll(now)
	return p
}

func (c *Controller) member(p *pool, organisation string) *member {
	m, ok := p.members[organisation]
	if !ok {
		m = &member{}
		c.apply(m, organisation)
		p.members[organisation] = m
	}
	return m
}

// checkDeadline refuses when not even the fastest request of late made it in what remains.
func (m *member) checkDeadline(now time.Time, ask Ask, cost float64) error {
	if ask.Remaining <= 0 {
		return nil
	}
	least, known := m.fastest[costClass(cost)].least(now)
	if !known || least <= ask.Remaining {
		return nil
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlineUnreachable,
		min(least-ask.Remaining, maxRetryAfter),
		"requests take at least %v at present and %v remain", least.Round(time.Millisecond), ask.Remaining.Round(time.Millisecond))
}

// check takes tokens for the request from the rate and, if the organisation is limited, its share.
func (m *member) check(now time.Time, ask Ask, cost float64, limited bool) error {
	if m.rate.rate > 0 {
		m.rate.fill(now)
		if !m.rate.has(1, m.keys.reserve(now, ask.KeyHash, m.rate.burst)) {
			return refuse(verdict.ReasonRateLimited, m.rate.promise(now, 1), "the organisation's rate limit is reached")
		}
	}
	if limited {
		m.share.fill(now)
		if !m.share.has(cost, m.keys.reserve(now, ask.KeyHash, m.share.burst)) {
			return refuse(verdict.ReasonOverloaded, m.share.promise(now, cost), "the pool is full and the organisation has its share")
		}
		m.share.take(cost)
	}
	if m.rate.rate > 0 {
		m.rate.take(1)
	}
	return nil
}

func refuse(reason verdict.Reason, after time.Duration, detail string) error {
	return verdict.Refuse(verdict.NotRun, reason, after, "%s", detail)
}

// Done reports the end of an admitted request: how long it took, and whether the pool refused it for
// want of capacity.
func (c *Controller) Done(now time.Time, ask Ask, took time.Duration, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(now, ask.Pool)
	p.finished++
	if refused {
		p.refused++
		return
	}
	cost := positive(ask.Cost)
	p.served += cost
	c.member(p, ask.Organisation).fastest[costClass(cost)].learn(now, took)
}
