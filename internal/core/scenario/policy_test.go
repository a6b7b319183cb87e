package scenario

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/admission"
	"github.com/oleandershelf/oleandershelf/internal/core/placement"
	"github.com/oleandershelf/oleandershelf/internal/core/queue"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

type policy string

const (
	roundRobin       policy = "fcfs round robin"
	leastOutstanding policy = "least outstanding"
	// leastShort is a stronger baseline: queues of a quarter of the callers' patience.
	leastShort policy = "least, short queues"
	modules    policy = "modules"
)

const (
	hop           = 500 * time.Microsecond
	baselineBound = 100
	shortBound    = 20
	baselineBack  = time.Second
	listLag       = 5 * time.Second
)

var errLost = errors.New("server lost")

// entry is an entry host.
type entry struct {
	admission   *admission.Controller
	tracker     *placement.Tracker
	budget      *placement.RetryBudget
	outstanding map[string]int
	next        int
}

// agent is the process beside a server: a fair queue for the modules, a plain one for the baselines.
type agent struct {
	sim     *sim
	server  *server
	queue   *queue.Queue[*call]
	limiter *queue.Limiter
	plain   []*call
	running int
}

func newAgent(s *sim, srv *server) *agent {
	a := &agent{sim: s, server: srv, limiter: queue.NewLimiter(knee)}
	a.queue = queue.New[*call](queue.WithSlots(a.limiter.Limit), queue.WithServiceTime(a.limiter.TypicalLatency))
	return a
}

// reach returns the agents that the entry believes to be there.
func (s *sim) reach() []placement.Server {
	var out []placement.Server
	for i, a := range s.agents {
		if gone := s.gone[i]; gone > 0 && s.clock.elapsed() > gone+listLag {
			continue
		}
		out = append(out, placement.Server{HostID: a.server.name, AvailabilityZone: "a", Address: netip.AddrPort{}})
	}
	return out
}

// make lets a call arrive at an entry.
func (s *sim) make(c *call) {
	c.arrived = s.clock.now
	c.deadline = c.arrived.Add(c.patience)
	c.entry = s.entries[s.random.IntN(len(s.entries))]
	s.offer(c)
	if s.policy != modules {
		s.dispatchPlain(c)
		return
	}
	if err := c.entry.admission.Admit(s.clock.now, s.ask(c)); err != nil {
		s.refuse(c, verdict.From(err).RetryAfter)
		return
	}
	c.entry.budget.Deposit()
	s.place(c)
}

func (s *sim) ask(c *call) admission.Request {
	return admission.Request{
		Organisation: s.orgs[c.org].Name,
		Pool:         "pool",
		KeyHash:      fmt.Sprint(c.key),
		Cost:         c.cost,
		Remaining:    c.deadline.Sub(s.clock.now),
	}
}

// place probes the candidates and sends the call to the one chosen.
func (s *sim) place(c *call) {
	candidates := c.entry.tracker.Candidates(s.clock.now, s.reach(), 0, c.exclude)
	probed := make([]placement.ProbeResult, 0, len(candidates))
	for _, server := range candidates {
		a := s.byName[server.HostID]
		p := placement.ProbeResult{Server: server, RoundTrip: 2 * hop}
		if a.server.up {
			p.Load = a.load(c)
		} else {
			p.Err = errLost
		}
		probed = append(probed, p)
	}
	server, ok := c.entry.tracker.Choose(s.clock.now, probed, c.cost)
	if !ok {
		s.giveUp(c, verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, time.Second, "no server"))
		return
	}
	s.clock.after(3*hop, func() { s.byName[server.HostID].accept(c) })
}

// giveUp ends a try: elsewhere if the retry budget allows, else the call is refused.
func (s *sim) giveUp(c *call, refusal *verdict.Refusal) {
	if refusal.Reason != verdict.ReasonDeadlinePassed && c.tries < 2 && c.entry.budget.TryWithdraw() {
		c.tries++
		s.place(c)
		return
	}
	c.entry.admission.Done(s.clock.now, s.ask(c), s.clock.now.Sub(c.arrived), true)
	s.refuse(c, refusal.RetryAfter)
}

func (a *agent) load(c *call) request.Load {
	org := a.sim.orgs[c.org]
	return request.Load{
		Queued:  a.queue.Len(),
		Running: a.running,
		Limit:   a.limiter.Limit(),
		Wait:    a.queue.EstimateWait(a.sim.clock.now, org.Name, org.Weight),
	}
}

// accept queues a call at the agent.
func (a *agent) accept(c *call) {
	s := a.sim
	if !a.server.up {
		a.lost(c)
		return
	}
	org := s.orgs[c.org]
	err := a.queue.Push(s.clock.now, queue.Item[*call]{
		Organisation: org.Name, Weight: org.Weight, Cost: c.cost, Deadline: c.deadline, Value: c,
	})
	if err != nil {
		c.excluding(a.server.name)
		s.giveUp(c, verdict.From(err))
	}
	a.pump()
}

func (c *call) excluding(host string) {
	if c.exclude == nil {
		c.exclude = map[string]bool{}
	}
	c.exclude[host] = true
}

// lost retries an idempotent call elsewhere within the budget.
func (a *agent) lost(c *call) {
	c.excluding(a.server.name)
	c.entry.tracker.ObserveRequest(a.sim.clock.now, a.server.name, 0, true)
	if c.tries < 2 && c.entry.budget.TryWithdraw() {
		c.tries++
		a.sim.place(c)
		return
	}
	c.entry.admission.Done(a.sim.clock.now, a.sim.ask(c), a.sim.clock.now.Sub(c.arrived), false)
	a.sim.fail(c)
}

// pump starts what there are slots for.
func (a *agent) pump() {
	s := a.sim
	for _, item := range a.queue.Expire(s.clock.now) {
		s.giveUp(item.Value, verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlinePassed,
			max(time.Second, a.queue.EstimateWait(s.clock.now, item.Organisation, item.Weight)-item.Value.patience), "late"))
	}
	for a.server.up && a.running < a.limiter.Limit() {
		item, ok := a.queue.Pop(s.clock.now)
		if !ok {
			return
		}
		a.run(item)
	}
}

func (a *agent) run(item queue.Item[*call]) {
	s := a.sim
	c, started := item.Value, s.clock.now
	a.running++
	a.limiter.ObserveRunning(a.running)
	a.server.start(c.cost, 0, 0, func(ok bool) {
		a.running--
		a.queue.Finished(item)
		if !ok {
			a.lost(c)
			return
		}
		took := s.clock.now.Sub(started)
		a.limiter.Observe(s.clock.now, took, c.cost, false)
		c.entry.tracker.ObserveRequest(s.clock.now, a.server.name, time.Duration(float64(took)/c.cost), false)
		c.entry.admission.Done(s.clock.now, s.ask(c), s.clock.now.Sub(c.arrived), false)
		s.served(c)
		a.pump()
	})
}

// dispatchPlain is the baselines: a server by turn, or the one with the fewest calls of this entry.
func (s *sim) dispatchPlain(c *call) {
	servers := s.reach()
	e := c.entry
	at := e.next % len(servers)
	e.next++
	if s.policy != roundRobin {
		for i := range servers {
			candidate := (at + i) % len(servers)
			if e.outstanding[servers[candidate].HostID] < e.outstanding[servers[at].HostID] {
				at = candidate
			}
		}
	}
	a := s.byName[servers[at].HostID]
	s.clock.after(hop, func() { a.acceptPlain(c) })
}

func (a *agent) acceptPlain(c *call) {
	s := a.sim
	switch {
	case !a.server.up && c.tries < 1:
		c.tries++
		s.dispatchPlain(c)
	case !a.server.up:
		s.fail(c)
	case len(a.plain) >= baselineBound || s.policy == leastShort && len(a.plain) >= shortBound:
		s.refuse(c, baselineBack)
	default:
		c.entry.outstanding[a.server.name]++
		a.plain = append(a.plain, c)
		a.pumpPlain()
	}
}

// pumpPlain runs calls in order of arrival, leaving out those whose caller has gone.
func (a *agent) pumpPlain() {
	s := a.sim
	for a.server.up && a.running < knee && len(a.plain) > 0 {
		c := a.plain[0]
		a.plain = a.plain[1:]
		if s.clock.now.After(c.deadline) {
			c.entry.outstanding[a.server.name]--
			s.late(c)
			continue
		}
		a.running++
		a.server.start(c.cost, 0, 0, func(ok bool) {
			a.running--
			c.entry.outstanding[a.server.name]--
			if ok {
				s.served(c)
			} else {
				a.acceptPlain(c)
			}
			a.pumpPlain()
		})
	}
}

func (s *sim) late(c *call) {
	if c.measured && !c.returned {
		s.tallies[c.org].late++
	}
}
