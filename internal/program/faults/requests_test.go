package faults

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/standin/platform"
	"github.com/oleandershelf/oleandershelf/internal/standin/service"
)

const (
	callsPerFault = 6
	// callsToFillQueue is enough to leave a queue at an agent that runs one or two calls at a time.
	callsToFillQueue = 8
	// longDisruption exceeds the heartbeat timeout of a connection, so that its other side closes it.
	longDisruption = 4 * time.Second
	// shortDelay exceeds the time that a probe waits, but not the heartbeat timeout.
	shortDelay = 1500 * time.Millisecond
	// stepTimeout ends a test whose step is never reached.
	stepTimeout = time.Minute
	// serverDelay is how long started calls keep running after the fault is injected.
	serverDelay       = 700 * time.Millisecond
	slowPlatformDelay = 1500 * time.Millisecond
)

// fault is injected once a step is reached; host is the host ID of the process that reached it.
type fault struct {
	name   string
	inject func(c *cluster, host string)
	// harmless means that every call must succeed with a complete answer despite the fault.
	harmless bool
}

// agentFaults affect the agent of a call, its connections or the platform.
var agentFaults = []fault{
	{name: killed, inject: (*cluster).kill},
	{name: frozenAndResumed, inject: (*cluster).freezeForLong},
	{name: cutOneWay, inject: func(c *cluster, host string) {
		c.links[host].peer.set(forwarderMode{drop: [2]bool{downstream: true}})
		time.Sleep(longDisruption)
		c.links[host].peer.set(forwarderMode{drop: [2]bool{upstream: true}})
		time.Sleep(longDisruption)
		c.resume(host)
	}},
	{name: cutBothWays, inject: func(c *cluster, host string) {
		c.links[host].peer.set(forwarderMode{refuse: true})
		time.Sleep(time.Second)
		c.resume(host)
	}},
	{name: "frames after connection closed", inject: func(c *cluster, host string) {
		c.links[host].peer.hangUp()
		time.Sleep(shortDelay)
		c.resume(host)
	}},
	{name: answerLost, inject: func(c *cluster, host string) {
		c.dropAnswers(host)
		c.links[host].peer.set(forwarderMode{})
		c.links[host].peer.cut()
	}},
	{name: answerLate, harmless: true, inject: func(c *cluster, host string) {
		c.links[host].peer.set(forwarderMode{hold: [2]bool{downstream: true}})
		time.Sleep(shortDelay)
		c.resume(host)
	}},
	{name: platformSlow, harmless: true, inject: func(c *cluster, host string) {
		c.platform.SetFaults(platform.Faults{DelayMilliseconds: int(slowPlatformDelay.Milliseconds())})
		c.resume(host)
	}},
	{name: killedInOutage, inject: func(c *cluster, host string) {
		c.platform.SetFaults(platform.Faults{Outage: true})
		c.kill(host)
	}},
	{name: resumedInOutage, inject: func(c *cluster, host string) {
		c.platform.SetFaults(platform.Faults{Outage: true})
		c.freezeForLong(host)
	}},
	{name: answerLostThenKilled, inject: func(c *cluster, host string) {
		c.dropAnswers(host)
		c.kill(host)
	}},
}

func (c *cluster) freezeForLong(host string) {
	c.freeze(host)
	time.Sleep(longDisruption)
	c.resume(host)
}

// dropAnswers lets requests reach the agent and run, but drops everything that the agent sends back.
func (c *cluster) dropAnswers(host string) {
	c.links[host].peer.set(forwarderMode{drop: [2]bool{downstream: true}})
	time.Sleep(2 * serverDelay)
}

// book sends a booking, which must run at most once.
func (c *cluster) book(entry int, id, idempotencyKey string) outcome {
	got := c.do(entry, http.MethodPost, "/v1/services/"+c.poolName()+service.PathBookings,
		fmt.Sprintf(`{"id":%q}`, id), c.deployment.Caller, idempotencyKey)
	got.id = id
	return got
}

// sendCallsAtStep sends calls, waits for the step with awaitStep, injects the fault and returns the outcomes. If duplicate is
// set, each call has an idempotency key and is also sent to the other entry once the step is reached.
func (c *cluster) sendCallsAtStep(count int, duplicate bool, awaitStep func() string, inject func(host string)) []outcome {
	c.batch++
	all := make([]outcome, count)
	repeats := make([]outcome, 0, count)
	var group sync.WaitGroup
	send := func(result *outcome, entry int, id string) {
		key := ""
		if duplicate {
			key = id
		}
		group.Go(func() { *result = c.book(entry, id, key) })
	}
	id := func(i int) string { return fmt.Sprintf("call-%d-%d", c.batch, i) }
	for i := range all {
		send(&all[i], i%2, id(i))
	}
	host := awaitStep()
	if duplicate {
		repeats = repeats[:count]
		for i := range repeats {
			send(&repeats[i], 1-i%2, id(i))
		}
	}
	if host != "" {
		inject(host)
	}
	group.Wait()
	return append(all, repeats...)
}

// breakAtAgents sets one breakpoint in front of all agents. The returned function waits until it is hit and returns the host
// of that agent, or an empty string if it is not hit in time.
func (c *cluster) breakAtAgents(dir direction, marker string) func() string {
	bp := newBreakpoint(dir, marker)
	for _, agent := range c.topology.Agents {
		c.links[agent.Settings.HostID].peer.arm(bp)
	}
	return func() string {
		if !bp.wait(c.t) {
			return ""
		}
		for _, agent := range c.topology.Agents {
			f := c.links[agent.Settings.HostID].peer
			f.arm(nil)
			f.mu.Lock()
			held := f.mode.hold[dir]
			f.mu.Unlock()
			if held {
				return agent.Settings.HostID
			}
		}
		return ""
	}
}

// resetLimits lowers the agents' concurrency limits, which grow with use, back to one or two calls.
func (c *cluster) resetLimits() {
	limit := 1 + c.lastTicket%2
	c.apply(ticket.Ticket{Pools: []ticket.Pool{c.poolConfig(limit)}})
	for _, agent := range c.topology.Agents {
		waitFor(c.t, "the agent has the reset limit", stepTimeout, func() bool {
			return c.agentState(agent.Settings.AdminListen.String()).Limit == limit
		})
	}
}

// hostWithQueue waits for an agent with a call running at its backend server and another in its queue, and returns its host.
// The servers hold their calls until then, however long it takes to read the agents' states.
func (c *cluster) hostWithQueue() string {
	defer c.setServerDelay(serverDelay)
	found := ""
	waitFor(c.t, "a queued call", stepTimeout, func() bool {
		for _, agent := range c.topology.Agents {
			state := c.agentState(agent.Settings.AdminListen.String())
			if len(state.Running) > 0 && state.Queued > 0 {
				found = agent.Settings.HostID
				return true
			}
		}
		return false
	})
	return found
}

// agentState is the part of an agent's debug state that the tests read.
type agentState struct {
	Revision uint64            `json:"revision"`
	Queued   int               `json:"queued"`
	Limit    int               `json:"limit"`
	Running  []json.RawMessage `json:"running"`
	Leaving  bool              `json:"leaving"`
}

func (c *cluster) agentState(admin string) agentState {
	var dump struct {
		Agent agentState `json:"agent"`
	}
	response, err := c.client.Get("http://" + admin + "/debug/state")
	if err != nil {
		return agentState{}
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&dump)
	return dump.Agent
}

func (c *cluster) setServerDelay(delay time.Duration) {
	for _, s := range c.services {
		s.SetFaults(service.Faults{DelayMilliseconds: int(delay.Milliseconds())})
	}
}

// holdServers keeps all calls from running until the next setServerDelay.
func (c *cluster) holdServers() {
	for _, s := range c.services {
		s.SetFaults(service.Faults{Hold: true})
	}
}

// runCounts returns how often each booking ran, summed over all servers.
func (c *cluster) runCounts() map[string]int {
	total := map[string]int{}
	for _, s := range c.services {
		for id, count := range s.State().Runs {
			total[id] += count
		}
	}
	return total
}

// checkVerdicts fails the test unless each verdict and answer matches what ran, no call ran twice and all were answered in
// time. If harmless is set, all calls must have succeeded.
func (c *cluster) checkVerdicts(t *testing.T, calls []outcome, harmless bool) {
	t.Helper()
	verdicts := map[verdict.Verdict]int{}
	runs := c.runCounts()
	for _, call := range calls {
		verdicts[call.verdict]++
		ran := runs[call.id]
		switch {
		case ran > 1:
			t.Errorf("%s ran %d times", call.id, ran)
		case call.verdict == verdict.Ran && ran != 1:
			t.Errorf("%s was answered with status %d and ran %d times", call.id, call.status, ran)
		case call.verdict == verdict.NotRun && ran != 0:
			t.Errorf("%s was refused as not run but ran: %s", call.id, call.body)
		case call.verdict == verdict.Ran && call.body != fmt.Sprintf(`{"id":%q,"runs":1}`, call.id):
			t.Errorf("%s got the wrong answer %s", call.id, call.body)
		case call.status == 0:
			t.Errorf("%s got no answer", call.id)
		case harmless && call.verdict != verdict.Ran:
			t.Errorf("%s failed with status %d: %s", call.id, call.status, call.body)
		case call.took > requestTimeout+responseGrace:
			t.Errorf("%s was answered after %v", call.id, call.took)
		}
	}
	t.Logf("verdicts: %v", verdicts)
}

// Bookings are held at one step, and then their agent, its connections or the platform fails. Each caller must be answered
// in time. A booking answered with 201 must have run once and got its own answer; one refused as not run must not have run,
// not even when held bytes arrive later; none may run twice.
func TestRequestAtEachStep(t *testing.T) {
	t.Parallel()
	all := append([]fault{{name: duplicated, inject: (*cluster).resume}}, agentFaults...)
	queued := func(c *cluster) func() string {
		c.resetLimits()
		c.holdServers()
		return c.hostWithQueue
	}
	for _, step := range []struct {
		name      string
		calls     int
		faults    []fault
		awaitStep func(c *cluster) func() string
	}{
		{requestPlaced, callsPerFault, all, func(c *cluster) func() string { return c.breakAtAgents(upstream, "probe") }},
		{requestSent, callsPerFault, all, func(c *cluster) func() string { return c.breakAtAgents(upstream, "execute") }},
		{requestQueued + " and " + requestStarted + " 1", callsToFillQueue, all[:len(all)/2], queued},
		{requestQueued + " and " + requestStarted + " 2", callsToFillQueue, all[len(all)/2:], queued},
		{requestAnswered, callsPerFault, all, func(c *cluster) func() string { return c.breakAtAgents(downstream, `"runs":1`) }},
	} {
		t.Run(step.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, ticket.KindService)
			for _, fault := range step.faults {
				t.Run(fault.name, func(t *testing.T) {
					c.t = t
					c.setServerDelay(0)
					calls := c.sendCallsAtStep(step.calls, fault.name == duplicated, step.awaitStep(c), func(host string) { fault.inject(c, host) })
					c.heal()
					c.checkVerdicts(t, calls, fault.harmless)
				})
			}
		})
	}
}

// An entry has admitted a booking with an idempotency key and is writing its record to the platform when the entry, its
// connection to the platform or the platform fails. The caller later repeats the booking at the other entry. It must run at
// most once over both attempts, and both verdicts must match what ran.
func TestRequestAdmitted(t *testing.T) {
	const holdTime = 500 * time.Millisecond
	entryFaults := []fault{
		{name: killed, inject: (*cluster).kill},
		{name: frozenAndResumed, inject: (*cluster).freezeForLong},
		{name: cutOneWay, inject: func(c *cluster, host string) {
			c.links[host].platform.set(forwarderMode{drop: [2]bool{downstream: true}})
			time.Sleep(longDisruption)
			c.resume(host)
		}},
		{name: cutBothWays, harmless: true, inject: func(c *cluster, host string) {
			c.links[host].platform.set(forwarderMode{drop: [2]bool{downstream: true}})
			time.Sleep(holdTime)
			c.links[host].platform.set(forwarderMode{refuse: true})
			time.Sleep(time.Second)
			c.resume(host)
		}},
		{name: answerLost, harmless: true, inject: func(c *cluster, host string) {
			c.platform.LoseAnswers(1)
			c.resume(host)
		}},
		{name: answerLate, harmless: true, inject: func(c *cluster, host string) {
			c.links[host].platform.set(forwarderMode{hold: [2]bool{downstream: true}})
			time.Sleep(holdTime)
			c.resume(host)
		}},
		{name: platformSlow, harmless: true, inject: func(c *cluster, host string) {
			c.platform.SetDelay(holdTime)
			c.resume(host)
		}},
		{name: killedInOutage, inject: func(c *cluster, host string) {
			c.platform.SetOutage(true)
			c.kill(host)
		}},
		{name: answerLostThenKilled, inject: func(c *cluster, host string) {
			c.links[host].platform.set(forwarderMode{drop: [2]bool{downstream: true}})
			time.Sleep(holdTime)
			c.kill(host)
		}},
		{name: duplicated, harmless: true, inject: func(c *cluster, host string) {
			if got := c.book(1, c.admittedID(), c.admittedID()); got.verdict == verdict.NotRun {
				c.t.Errorf("the second of two concurrent attempts got %+v", got)
			}
			c.resume(host)
		}},
	}
	t.Parallel()
	c := newCluster(t, ticket.KindService)
	host := c.topology.Entries[0].HostID
	for _, fault := range entryFaults {
		t.Run(fault.name, func(t *testing.T) {
			c.t = t
			c.batch++
			bp := newBreakpoint(upstream, "/idempotency")
			c.links[host].platform.arm(bp)
			first := make(chan outcome, 1)
			go func() { first <- c.book(0, c.admittedID(), c.admittedID()) }()
			if bp.wait(t) {
				fault.inject(c, host)
			}
			before := <-first
			c.heal()
			repeat := c.book(1, c.admittedID(), c.admittedID())
			c.checkRepeat(t, before, repeat, fault.harmless)
		})
	}
}

func (c *cluster) admittedID() string { return fmt.Sprintf("admitted-%d", c.batch) }

// checkRepeat fails the test unless the booking ran at most once and the verdicts and answers of both attempts match that.
// If harmless is set, one of the attempts must have succeeded.
func (c *cluster) checkRepeat(t *testing.T, first, repeat outcome, harmless bool) {
	t.Helper()
	t.Logf("first attempt: status %d, body %s; repeat: status %d, body %s", first.status, first.body, repeat.status, repeat.body)
	runs := c.runCounts()[first.id]
	switch {
	case runs > 1:
		t.Errorf("the booking ran %d times", runs)
	case first.verdict == verdict.Ran && (runs != 1 || repeat.body != first.body || repeat.status != first.status):
		t.Errorf("the first attempt succeeded; the booking ran %d times, or the repeat was answered differently", runs)
	case repeat.verdict == verdict.Ran && runs != 1:
		t.Errorf("the repeat succeeded but the booking ran %d times", runs)
	case repeat.verdict == verdict.NotRun && runs != 0:
		t.Errorf("the repeat was refused as not run but the booking ran %d times", runs)
	case harmless && first.verdict != verdict.Ran && repeat.verdict != verdict.Ran:
		t.Error("neither attempt succeeded")
	}
}
