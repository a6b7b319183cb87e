package admission

import (
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

const (
	// minBurst is the smallest burst of a rate limit at an entry, however many entries share the limit. With keyReserve
	// a hot key always leaves one of the two tokens to the organisation's other keys.
	minBurst = 2
	// defaultBurstSeconds is the burst of a rate limit that sets none, in seconds of its rate.
	defaultBurstSeconds = 4
)

// Option configures a Controller.
type Option func(*Controller)

// WithoutFairShares disables the fair-share check and leaves fairness to the agents.
func WithoutFairShares() Option {
	return func(c *Controller) { c.fairShares = false }
}

// limits holds the configured weight and rate limit of an organisation at this entry. The rate is in requests per
// second, 0 for no limit; the burst is in requests.
type limits struct {
	weight float64
	rate   float64
	burst  float64
}

// Controller admits or refuses requests. It is safe for concurrent use.
type Controller struct {
	mu         sync.Mutex
	fairShares bool
	limits     map[string]limits
	pools      map[string]*pool
}

// New returns a controller that admits everything until it is configured and has seen load.
func New(opts ...Option) *Controller {
	c := &Controller{fairShares: true, limits: map[string]limits{}, pools: map[string]*pool{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configure sets the organisations' weights and limits, and the number of live entries among which the limits are divided.
func (c *Controller) Configure(orgs []ticket.Organisation, entries int) {
	divisor := float64(max(1, entries))
	configured := make(map[string]limits, len(orgs))
	for _, org := range orgs {
		l := limits{weight: 1, rate: org.RequestsPerSecond / divisor}
		if org.Weight > 0 {
			l.weight = org.Weight
		}
		l.burst = max(float64(org.Burst)/divisor, minBurst)
		if org.Burst == 0 {
			l.burst = max(l.rate*defaultBurstSeconds, minBurst)
		}
		configured[org.Name] = l
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = configured
	for _, p := range c.pools {
		for name, o := range p.organisations {
			c.applyLimits(o, name)
		}
	}
}

// applyLimits sets an organisation's weight and rate limit; one that isn't configured has weight 1 and no limit.
func (c *Controller) applyLimits(o *organisation, name string) {
	l, ok := c.limits[name]
	if !ok {
		l = limits{weight: 1}
	}
	o.weight = l.weight
	o.rate.configure(l.rate, l.burst)
}

// Admit returns nil, or a *verdict.Refusal with NotRun and the time after which to retry.
// Each nil must be followed by a call of Done.
func (c *Controller) Admit(now time.Time, request Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := positiveOrOne(request.Cost)
	p := c.pool(now, request.Pool)
	o := c.organisation(p, request.Organisation)
	o.offered += cost
	o.keys.record(now, request.KeyHash, 0)
	if err := o.checkDeadline(now, request, cost); err != nil {
		return err
	}
	limited := c.fairShares && p.full && o.limited
	if err := o.takeTokens(now, request, cost, limited); err != nil {
		return err
	}
	o.keys.record(now, request.KeyHash, cost)
	return nil
}

func positiveOrOne(cost float64) float64 {
	if cost > 0 {
		return cost
	}
	return 1
}

// pool returns the named pool, creating it if needed, after ending its window if that is over.
func (c *Controller) pool(now time.Time, name string) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = &pool{organisations: map[string]*organisation{}}
		c.pools[name] = p
	}
	p.rollWindow(now)
	return p
}

// organisation returns the state of the named organisation at the pool, creating it if needed.
func (c *Controller) organisation(p *pool, name string) *organisation {
	o, ok := p.organisations[name]
	if !ok {
		o = &organisation{}
		c.applyLimits(o, name)
		p.organisations[name] = o
	}
	return o
}

// checkDeadline refuses a request if even the fastest recent request took longer than the time that remains.
func (o *organisation) checkDeadline(now time.Time, request Request, cost float64) error {
	if request.Remaining <= 0 {
		return nil
	}
	fastest, known := o.minLatency[costClass(cost)].value(now)
	if !known || fastest <= request.Remaining {
		return nil
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlineUnreachable,
		min(fastest-request.Remaining, maxRetryAfter),
		"requests take at least %v at present and %v remain", fastest.Round(time.Millisecond), request.Remaining.Round(time.Millisecond))
}

// takeTokens takes tokens for the request from the rate limit and, if limited is set, from the fair share. It
// refuses the request and takes none if either has too few.
func (o *organisation) takeTokens(now time.Time, request Request, cost float64, limited bool) error {
	if o.rate.rate > 0 {
		o.rate.refill(now)
		if reserve := o.keys.reserve(now, request.KeyHash, o.rate.burst); !o.rate.canTake(1, reserve) {
			return refuse(verdict.ReasonRateLimited, o.rate.scheduleRetry(now, 1, reserve), "the organisation's rate limit is reached")
		}
	}
	if limited {
		o.share.refill(now)
		if reserve := o.keys.reserve(now, request.KeyHash, o.share.burst); !o.share.canTake(cost, reserve) {
			return refuse(verdict.ReasonOverloaded, o.share.scheduleRetry(now, cost, reserve), "the pool is full and the organisation has its share")
		}
		o.share.take(cost)
	}
	if o.rate.rate > 0 {
		o.rate.take(1)
	}
	return nil
}

func refuse(reason verdict.Reason, retryAfter time.Duration, detail string) error {
	return verdict.Refuse(verdict.NotRun, reason, retryAfter, "%s", detail)
}

// Done reports the end of an admitted request: how long it took, and whether the pool refused it for
// lack of capacity.
func (c *Controller) Done(now time.Time, request Request, took time.Duration, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(now, request.Pool)
	p.finished++
	if refused {
		p.refused++
		return
	}
	cost := positiveOrOne(request.Cost)
	p.served += cost
	c.organisation(p, request.Organisation).minLatency[costClass(cost)].observe(now, took)
}
