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

// policy is how calls are admitted, placed and queued.
type policy string

const (
	roundRobin       policy = "fcfs round robin"
	leastOutstanding policy = "least outstanding"
	// leastOutstandingShortQueue is a stronger baseline: the length of its queues limits the wait to about a quarter of callTimeout.
	leastOutstandingShortQueue policy = "least, short queues"
	// corePolicy uses the packages admission, queue and placement of internal/core.
	corePolicy policy = "modules"
)

const (
	// networkDelay is the delay of a message in one direction.
	networkDelay = 500 * time.Microsecond
	// baselineQueueLimit is the length of a server's queue, in calls, at which the baselines refuse further calls.
	baselineQueueLimit = 100
	// shortQueueLimit is that length for leastOutstandingShortQueue.
	shortQueueLimit = 20
	// baselineRetryAfter is the time after which the baselines tell refused clients to retry.
	baselineRetryAfter = time.Second
	// hostListLag is the time after which a lost server disappears from the host list.
	hostListLag = 5 * time.Second
)

var errServerLost = errors.New("server lost")

// entry is an entry host, which accepts the calls of clients and sends them to agents.
type entry struct {
	admission *admission.Controller
	tracker   *placement.Tracker
	budget    *placement.RetryBudget
	// outstanding counts the queued and running calls of this entry by server; only the baselines use it.
	outstanding map[string]int
	// nextServer is the position of the round robin.
	nextServer int
}

// agent is the process next to a server that queues its calls: in queue under corePolicy, in fifo under the baselines.
type agent struct {
	sim     *sim
	server  *server
	queue   *queue.Queue[*call]
	limiter *queue.Limiter
	fifo    []*call
	running int
}

func newAgent(s *sim, srv *server) *agent {
	a := &agent{sim: s, server: srv, limiter: queue.NewLimiter(slotsPerServer)}
	a.queue = queue.New[*call](queue.WithSlots(a.limiter.Limit), queue.WithServiceTime(a.limiter.TypicalLatency))
	return a
}

// listedServers returns the servers in the host list, which still contains a lost server for hostListLag.
func (s *sim) listedServers() []placement.Server {
	var out []placement.Server
	for i, a := range s.agents {
		if lostAt := s.lostAt[i]; lostAt > 0 && s.clock.elapsed() > lostAt+hostListLag {
			continue
		}
		out = append(out, placement.Server{HostID: a.server.name, AvailabilityZone: "a", Address: netip.AddrPort{}})
	}
	return out
}

// submit makes a call arrive at a random entry now.
func (s *sim) submit(c *call) {
	c.arrived = s.clock.now
	c.deadline = c.arrived.Add(c.timeout)
	c.entry = s.entries[s.random.IntN(len(s.entries))]
	s.recordArrival(c)
	if s.policy != corePolicy {
		s.dispatchBaseline(c)
		return
	}
	if err := c.entry.admission.Admit(s.clock.now, s.admissionRequest(c)); err != nil {
		s.refuse(c, verdict.From(err).RetryAfter)
		return
	}
	c.entry.budget.Deposit()
	s.place(c)
}

func (s *sim) admissionRequest(c *call) admission.Request {
	return admission.Request{
		Organisation: s.orgs[c.org].Name,
		Pool:         "pool",
		KeyHash:      fmt.Sprint(c.key),
		Cost:         c.cost,
		Remaining:    c.deadline.Sub(s.clock.now),
	}
}

// place probes the candidates and sends the call to the server that is chosen.
func (s *sim) place(c *call) {
	candidates := c.entry.tracker.Candidates(s.clock.now, s.listedServers(), 0, c.exclude)
	probed := make([]placement.ProbeResult, 0, len(candidates))
	for _, server := range candidates {
		a := s.agentsByName[server.HostID]
		result := placement.ProbeResult{Server: server, RoundTrip: 2 * networkDelay}
		if a.server.up {
			result.Load = a.load(c)
		} else {
			result.Err = errServerLost
		}
		probed = append(probed, result)
	}
	server, ok := c.entry.tracker.Choose(s.clock.now, probed, c.cost)
	if !ok {
		s.retryOrRefuse(c, verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, time.Second, "no server"))
		return
	}
	s.clock.after(3*networkDelay, func() { s.agentsByName[server.HostID].accept(c) })
}

// retryOrRefuse handles a call that no server accepted or started. It places the call again, up to
// twice, if its deadline hasn't passed and the retry budget allows it, and refuses it otherwise.
func (s *sim) retryOrRefuse(c *call, refusal *verdict.Refusal) {
	if refusal.Reason != verdict.ReasonDeadlinePassed && c.retries < 2 && c.entry.budget.TryWithdraw() {
		c.retries++
		s.place(c)
		return
	}
	c.entry.admission.Done(s.clock.now, s.admissionRequest(c), s.clock.now.Sub(c.arrived), true)
	s.refuse(c, refusal.RetryAfter)
}

// load returns the load report that the agent sends in answer to a probe for the call.
func (a *agent) load(c *call) request.Load {
	org := a.sim.orgs[c.org]
	return request.Load{
		Queued:  a.queue.Len(),
		Running: a.running,
		Limit:   a.limiter.Limit(),
		Wait:    a.queue.EstimateWait(a.sim.clock.now, org.Name, org.Weight),
	}
}

// accept queues a call at the agent under corePolicy.
func (a *agent) accept(c *call) {
	s := a.sim
	if !a.server.up {
		a.retryOrFail(c)
		return
	}
	org := s.orgs[c.org]
	err := a.queue.Push(s.clock.now, queue.Item[*call]{
		Organisation: org.Name, Weight: org.Weight, Cost: c.cost, Deadline: c.deadline, Value: c,
	})
	if err != nil {
		c.excludeServer(a.server.name)
		s.retryOrRefuse(c, verdict.From(err))
	}
	a.startQueued()
}

// excludeServer keeps further attempts of the call away from a server.
func (c *call) excludeServer(host string) {
	if c.exclude == nil {
		c.exclude = map[string]bool{}
	}
	c.exclude[host] = true
}

// retryOrFail handles a call whose server was lost. All calls are idempotent here, so the call is placed again, up
// to twice, if the retry budget allows it; otherwise it fails.
func (a *agent) retryOrFail(c *call) {
	c.excludeServer(a.server.name)
	c.entry.tracker.ObserveRequest(a.sim.clock.now, a.server.name, 0, true)
	if c.retries < 2 && c.entry.budget.TryWithdraw() {
		c.retries++
		a.sim.place(c)
		return
	}
	c.entry.admission.Done(a.sim.clock.now, a.sim.admissionRequest(c), a.sim.clock.now.Sub(c.arrived), false)
	a.sim.recordFailed(c)
}

// startQueued refuses the calls that expired in the queue and starts others while the server has free slots.
func (a *agent) startQueued() {
	s := a.sim
	for _, item := range a.queue.Expire(s.clock.now) {
		s.retryOrRefuse(item.Value, verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlinePassed,
			max(time.Second, a.queue.EstimateWait(s.clock.now, item.Organisation, item.Weight)-item.Value.timeout), "late"))
	}
	for a.server.up && a.running < a.limiter.Limit() {
		item, ok := a.queue.Pop(s.clock.now)
		if !ok {
			return
		}
		a.startCall(item)
	}
}

// startCall runs a call and feeds its outcome back to the limiter, the tracker and the admission controller.
func (a *agent) startCall(item queue.Item[*call]) {
	s := a.sim
	c, started := item.Value, s.clock.now
	a.running++
	a.limiter.ObserveRunning(a.running)
	a.server.start(c.cost, 0, 0, func(ok bool) {
		a.running--
		a.queue.Finished(item)
		if !ok {
			a.retryOrFail(c)
			return
		}
		took := s.clock.now.Sub(started)
		a.limiter.Observe(s.clock.now, took, c.cost, false)
		c.entry.tracker.ObserveRequest(s.clock.now, a.server.name, time.Duration(float64(took)/c.cost), false)
		c.entry.admission.Done(s.clock.now, s.admissionRequest(c), s.clock.now.Sub(c.arrived), false)
		s.recordServed(c)
		a.startQueued()
	})
}

// dispatchBaseline sends a call to the next server in turn, or to the one with the fewest outstanding calls of its entry.
func (s *sim) dispatchBaseline(c *call) {
	servers := s.listedServers()
	e := c.entry
	chosen := e.nextServer % len(servers)
	e.nextServer++
	if s.policy != roundRobin {
		for i := range servers {
			candidate := (chosen + i) % len(servers)
			if e.outstanding[servers[candidate].HostID] < e.outstanding[servers[chosen].HostID] {
				chosen = candidate
			}
		}
	}
	a := s.agentsByName[servers[chosen].HostID]
	s.clock.after(networkDelay, func() { a.acceptBaseline(c) })
}

// acceptBaseline queues a call at the agent under a baseline. A call that meets a lost server is sent elsewhere once.
func (a *agent) acceptBaseline(c *call) {
	s := a.sim
	switch {
	case !a.server.up && c.retries < 1:
		c.retries++
		s.dispatchBaseline(c)
	case !a.server.up:
		s.recordFailed(c)
	case len(a.fifo) >= baselineQueueLimit || s.policy == leastOutstandingShortQueue && len(a.fifo) >= shortQueueLimit:
		s.refuse(c, baselineRetryAfter)
	default:
		c.entry.outstanding[a.server.name]++
		a.fifo = append(a.fifo, c)
		a.startQueuedBaseline()
	}
}

// startQueuedBaseline starts calls in order of arrival and drops those whose deadline has passed.
func (a *agent) startQueuedBaseline() {
	s := a.sim
	for a.server.up && a.running < slotsPerServer && len(a.fifo) > 0 {
		c := a.fifo[0]
		a.fifo = a.fifo[1:]
		if s.clock.now.After(c.deadline) {
			c.entry.outstanding[a.server.name]--
			s.recordLate(c)
			continue
		}
		a.running++
		a.server.start(c.cost, 0, 0, func(ok bool) {
			a.running--
			c.entry.outstanding[a.server.name]--
			if ok {
				s.recordServed(c)
			} else {
				a.acceptBaseline(c)
			}
			a.startQueuedBaseline()
		})
	}
}

// recordLate counts a call that was answered or dropped after its deadline.
func (s *sim) recordLate(c *call) {
	if c.measured && !c.resubmitted {
		s.stats[c.org].late++
	}
}
