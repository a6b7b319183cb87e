package faults

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/standin/engine"
	"github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// weightOrderFaults are injected while a weight order is on its way to the engine of the agent on host.
var weightOrderFaults = []fault{
	{name: killed, inject: func(c *cluster, host string) {
		c.kill(host)
		c.resume(host)
		c.startAgent(host)
	}},
	{name: frozenAndResumed, inject: (*cluster).freezeForLong},
	{name: cutOneWay, inject: func(c *cluster, host string) { c.holdAnswers(host, longDisruption) }},
	{name: cutBothWays, inject: func(c *cluster, host string) {
		c.links[host].server.set(forwarderMode{refuse: true})
		time.Sleep(time.Second)
	}},
	{name: answerLost, inject: func(c *cluster, host string) {
		c.links[host].server.set(forwarderMode{drop: [2]bool{downstream: true}})
		time.Sleep(time.Second)
		c.links[host].server.cut()
	}},
	{name: answerLate, inject: func(c *cluster, host string) { c.holdAnswers(host, shortDelay) }},
	{name: answerCutShort, inject: func(c *cluster, host string) { c.links[host].server.set(forwarderMode{cutAfter: 10}) }},
	{name: answersCrossed, inject: func(c *cluster, host string) {
		c.links[host].server.set(forwarderMode{duplicate: true})
		time.Sleep(time.Second)
	}},
	{name: platformDown, inject: func(c *cluster, _ string) { c.platform.SetOutage(true) }},
	{name: longOutage, inject: func(c *cluster, host string) {
		c.platform.SetOutage(true)
		time.Sleep(longDisruption)
		c.resume(host)
		time.Sleep(time.Second)
	}},
	{name: platformSlow, inject: func(c *cluster, _ string) {
		c.platform.SetFaults(platform.Faults{DelayMilliseconds: int(slowPlatformDelay.Milliseconds())})
	}},
	{name: killedInOutage, inject: func(c *cluster, host string) {
		c.platform.SetOutage(true)
		c.kill(host)
		c.resume(host)
		c.startAgent(host)
		time.Sleep(time.Second)
	}},
	{name: resumedInOutage, inject: func(c *cluster, host string) {
		c.platform.SetOutage(true)
		c.freezeForLong(host)
	}},
	{name: answerLostThenKilled, inject: func(c *cluster, host string) {
		c.links[host].server.set(forwarderMode{drop: [2]bool{downstream: true}})
		time.Sleep(time.Second)
		c.kill(host)
		c.resume(host)
		c.startAgent(host)
	}},
}

func (c *cluster) holdAnswers(host string, duration time.Duration) {
	c.links[host].server.set(forwarderMode{hold: [2]bool{downstream: true}})
	time.Sleep(duration)
}

// An order to prefetch or switch to new weights is on its way to an engine when the engine's agent, the connection between
// them or the platform fails. Each call sent meanwhile must get a complete answer whose spans name existing versions. Both
// engines must serve the new version soon after the fault, also when an order is repeated.
func TestWeightsChange(t *testing.T) {
	t.Parallel()
	for _, step := range []struct{ name, marker string }{
		{weightsPrefetched, `"kind":"prefetch"`},
		{weightsSwitched, `"kind":"switch"`},
	} {
		for part := range 2 {
			t.Run(fmt.Sprintf("%s %d", step.name, part+1), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, ticket.KindModel)
				for _, e := range c.engines {
					e.SetFaults(engine.Faults{})
				}
				c.modelVersion = 2
				for i, fault := range weightOrderFaults {
					if i%2 == part {
						t.Run(fault.name, func(t *testing.T) {
							c.t = t
							c.changeWeights(step.marker, fault)
						})
					}
				}
			})
		}
	}
}

// changeWeights publishes a version and injects the fault while the order with the marker is on its way.
func (c *cluster) changeWeights(marker string, fault fault) {
	bp := newBreakpoint(upstream, marker)
	for _, agent := range c.topology.Agents {
		c.links[agent.Settings.HostID].server.arm(bp)
	}
	c.publishVersion()
	if !bp.wait(c.t) {
		return
	}
	host := c.hostAtBreakpoint(bp)
	var group sync.WaitGroup
	answers := make([]outcome, callsPerFault)
	for i := range answers {
		group.Go(func() { answers[i] = c.generate(i%2, c.deployment.Caller, fmt.Sprintf("pony %d", i), 20) })
	}
	fault.inject(c, host)
	c.heal()
	group.Wait()
	for _, answer := range answers {
		c.checkVersions(answer)
	}
	for i := range c.engines {
		waitFor(c.t, fmt.Sprintf("engine %d serves version %d", i, c.modelVersion), stepTimeout, func() bool {
			return c.engines[i].State().Version == c.modelVersion
		})
	}
	if fault.name == answerLost {
		waitFor(c.t, "the order whose answer was lost is repeated", stepTimeout, func() bool { return c.orderCount(marker) > len(c.engines) })
	}
}

// publishVersion makes the next model version the one to serve.
func (c *cluster) publishVersion() {
	c.modelVersion++
	c.apply(ticket.Ticket{ModelVersions: []ticket.ModelVersion{{
		Model: c.deployment.Model, Version: c.modelVersion, Weights: fmt.Sprintf("%s/%d", c.deployment.Model, c.modelVersion),
	}}})
}

// hostAtBreakpoint returns the host of the agent whose forwarder hit the breakpoint, and removes the breakpoint everywhere.
func (c *cluster) hostAtBreakpoint(bp *breakpoint) string {
	host := ""
	for _, agent := range c.topology.Agents {
		f := c.links[agent.Settings.HostID].server
		f.mu.Lock()
		if f.mode.hold[bp.direction] {
			host = agent.Settings.HostID
		}
		f.mu.Unlock()
		f.arm(nil)
	}
	return host
}

// orderCount counts the orders of the marker's kind for the newest version that reached the engines.
func (c *cluster) orderCount(marker string) int {
	count := 0
	for _, e := range c.engines {
		for _, order := range e.State().Orders {
			if fmt.Sprintf(`"kind":%q`, order.Kind) == marker && order.Version == c.modelVersion {
				count++
			}
		}
	}
	return count
}

// checkVersions fails the test unless the answer is complete and names only published versions.
func (c *cluster) checkVersions(answer outcome) {
	c.t.Helper()
	var got generation
	if answer.status != http.StatusOK || json.Unmarshal([]byte(answer.body), &got) != nil {
		c.t.Errorf("a call failed with status %d: %s", answer.status, answer.body)
		return
	}
	for _, s := range got.Spans {
		if s.Version > c.modelVersion || s.Version < 1 {
			c.t.Errorf("spans %+v while version %d is the newest", got.Spans, c.modelVersion)
		}
	}
}
