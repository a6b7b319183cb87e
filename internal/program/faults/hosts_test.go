package faults

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const (
	// listRefreshTime is how long it takes until all entries have read the host list again.
	listRefreshTime = 5 * time.Second
	callInterval    = 20 * time.Millisecond
)

// hostFaults returns the faults of an agent and those of the host list from which the entries learn of it.
func hostFaults() []fault {
	return append([]fault{
		{name: "list " + answerLate, inject: func(c *cluster, _ string) {
			c.disturbHostLists(forwarderMode{hold: [2]bool{downstream: true}}, shortDelay)
		}},
		{name: "list " + answerCutShort, inject: func(c *cluster, _ string) { c.disturbHostLists(forwarderMode{cutAfter: 200}, shortDelay) }},
		{name: "list answers duplicated and crossed", inject: func(c *cluster, _ string) {
			c.disturbHostLists(forwarderMode{duplicate: true}, listRefreshTime)
		}},
		{name: "list " + longOutage, inject: func(c *cluster, _ string) {
			c.platform.SetFaults(platform.Faults{Outage: true})
			time.Sleep(longDisruption)
		}},
	}, agentFaults...)
}

// disturbHostLists sets the mode of the platform's forwarders to all entries and waits for the given time.
func (c *cluster) disturbHostLists(mode forwarderMode, duration time.Duration) {
	for _, settings := range c.topology.Entries {
		c.links[settings.HostID].platform.set(mode)
	}
	time.Sleep(duration)
}

// sendBookings runs four callers that send bookings until stop is called, which returns their outcomes.
func (c *cluster) sendBookings() (stop func() []outcome) {
	var ended atomic.Bool
	var group sync.WaitGroup
	c.batch++
	all := make([][]outcome, 4)
	for caller := range all {
		group.Go(func() {
			for i := 0; !ended.Load(); i++ {
				all[caller] = append(all[caller], c.book(caller%2, fmt.Sprintf("call-%d-%d-%d", c.batch, caller, i), ""))
				time.Sleep(callInterval)
			}
		})
	}
	return func() []outcome {
		ended.Store(true)
		group.Wait()
		return slices.Concat(all...)
	}
}

// setHost lists the host with the state, or removes it from the list if the state is empty.
func (c *cluster) setHost(host string, state edge.HostState) {
	hosts := []edge.Host{}
	for _, h := range c.hosts {
		if h.ID == host {
			h.State = state
		}
		if h.State != "" {
			hosts = append(hosts, h)
		}
	}
	c.platform.SetHosts(hosts)
}

// injectAtHost injects the fault; a host that it kills stays down until the entries have read the host list again.
func (c *cluster) injectAtHost(host string, fault fault) {
	fault.inject(c, host)
	if c.processes[host] == nil {
		time.Sleep(listRefreshTime)
	}
}

func (c *cluster) receivedCalls() int { return len(c.services[1].State().Received) }

// An agent's host joins while callers send bookings, and its agent, its connections, the host list or the platform fails
// meanwhile. Each caller's verdict must match what ran, and the host must serve once the fault is over.
func TestHostJoins(t *testing.T) {
	forEachHostFault(t, func(t *testing.T, c *cluster, host string, fault fault) {
		c.kill(host)
		c.setHost(host, "")
		time.Sleep(listRefreshTime)
		stop := c.sendBookings()
		c.resume(host)
		c.startAgent(host)
		c.setHost(host, edge.HostLive)
		c.injectAtHost(host, fault)
		c.heal()
		before := c.receivedCalls()
		waitFor(t, "the host that joined serves", 2*stepTimeout, func() bool { return c.receivedCalls() > before })
		c.checkVerdicts(t, stop(), fault.harmless)
	})
}

// An agent's host is listed as leaving while callers send bookings, and its agent, its connections, the host list or the
// platform fails meanwhile. Each caller's verdict must match what ran, and the host must receive no new calls once the
// entries have read the list.
func TestHostLeaves(t *testing.T) {
	forEachHostFault(t, func(t *testing.T, c *cluster, host string, fault fault) {
		stop := c.sendBookings()
		c.setHost(host, edge.HostLeaving)
		c.injectAtHost(host, fault)
		c.heal()
		time.Sleep(listRefreshTime)
		before := c.receivedCalls()
		time.Sleep(time.Second)
		if after := c.receivedCalls(); after != before {
			t.Errorf("the leaving host received %d new calls", after-before)
		}
		c.checkVerdicts(t, stop(), fault.harmless)
		c.setHost(host, edge.HostLive)
	})
}

func forEachHostFault(t *testing.T, run func(t *testing.T, c *cluster, host string, fault fault)) {
	t.Helper()
	t.Parallel()
	const parts = 4
	all := hostFaults()
	for part := range parts {
		t.Run(fmt.Sprintf("part %d", part+1), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, ticket.KindService)
			for i := part; i < len(all); i += parts {
				t.Run(all[i].name, func(t *testing.T) {
					c.t = t
					run(t, c, c.topology.Agents[1].Settings.HostID, all[i])
				})
			}
		})
	}
}
