package faults

import (
	"net/http"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/standin/service"
)

const (
	// withdrawalTimeout is the guaranteed time until a withdrawn key is refused everywhere.
	withdrawalTimeout = 5 * time.Second
	platformDelay     = 300 * time.Millisecond
)

// bookAs sends a booking with the key of the organisation.
func (c *cluster) bookAs(organisation, id string) outcome {
	got := c.do(0, http.MethodPost, "/v1/services/"+c.poolName()+service.PathBookings, `{"id":"`+id+`"}`, organisation, "")
	got.id = id
	return got
}

// setKeyGranted grants or withdraws the key of the deployment's Withdrawn organisation.
func (c *cluster) setKeyGranted(granted bool) {
	c.t.Helper()
	organisation := c.organisation(c.deployment.Withdrawn)
	if !granted {
		organisation.KeyHashes = nil
	}
	c.apply(ticket.Ticket{Organisations: []ticket.Organisation{organisation}})
}

// An entry has admitted a booking and is placing it or sending it to an agent when the operator withdraws the caller's key.
// The booking reaches the agent after the agents have learned of the withdrawal. It must be refused as not run and must
// not run.
func TestKeyWithdrawnInTransit(t *testing.T) {
	t.Parallel()
	c := newCluster(t, ticket.KindService)
	for _, step := range []struct{ name, marker string }{
		{requestPlaced, "probe"},
		{requestSent, "execute"},
	} {
		t.Run(step.name, func(t *testing.T) {
			c.t = t
			awaitStep := c.breakAtAgents(upstream, step.marker)
			first := make(chan outcome, 1)
			go func() { first <- c.bookAs(c.deployment.Withdrawn, "withdrawn-"+step.marker) }()
			awaitStep()
			c.setAgentModes(forwarderMode{hold: [2]bool{upstream: true}})
			revisions := c.agentRevisions()
			c.setKeyGranted(false)
			for i, agent := range c.topology.Agents {
				waitFor(t, "the agent has the new revision", withdrawalTimeout, func() bool {
					return c.agentState(agent.Settings.AdminListen.String()).Revision > revisions[i]
				})
			}
			c.setAgentModes(forwarderMode{})
			got := <-first
			if ran := c.runCounts()[got.id]; got.verdict != verdict.NotRun || ran != 0 {
				t.Errorf("the booking ran %d times and was answered with status %d: %s", ran, got.status, got.body)
			}
			c.setKeyGranted(true)
			c.waitServing()
		})
	}
}

// The operator withdraws a key while the platform is slow. Every entry must refuse it within five seconds of the
// ticket's acceptance.
func TestKeyWithdrawnWhileThePlatformIsSlow(t *testing.T) {
	t.Parallel()
	c := newCluster(t, ticket.KindService)
	c.platform.SetDelay(platformDelay)
	c.setKeyGranted(false)
	accepted := time.Now()
	for i := range c.topology.Entries {
		waitFor(t, "the entry refuses the key", withdrawalTimeout-time.Since(accepted), func() bool {
			return c.do(i, http.MethodGet, "/v1/services/"+c.poolName()+"/x", "", c.deployment.Withdrawn, "").status == http.StatusUnauthorized
		})
	}
}

func (c *cluster) setAgentModes(mode forwarderMode) {
	for _, agent := range c.topology.Agents {
		c.links[agent.Settings.HostID].peer.set(mode)
	}
}

func (c *cluster) agentRevisions() []uint64 {
	all := []uint64{}
	for _, agent := range c.topology.Agents {
		all = append(all, c.agentState(agent.Settings.AdminListen.String()).Revision)
	}
	return all
}
