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
	// withdrawnWithin is the promise for a withdrawn key.
	withdrawnWithin = 5 * time.Second
	slowWrite       = 300 * time.Millisecond
)

// bookAs sends a booking of an organisation.
func (b *bench) bookAs(organisation, id string) seen {
	have := b.do(0, http.MethodPost, "/v1/services/"+b.pool()+service.PathBookings, `{"id":"`+id+`"}`, organisation, "")
	have.id = id
	return have
}

// setKey grants the key of the organisation Withdrawn or withdraws it.
func (b *bench) setKey(granted bool) {
	b.t.Helper()
	organisation := b.organisation(b.d.Withdrawn)
	if !granted {
		organisation.KeyHashes = nil
	}
	b.apply(ticket.Ticket{Organisations: []ticket.Organisation{organisation}})
}

// A school's booking is being placed, or is on its way to an agent, when the operator withdraws the school's key.
// The entry admitted it while the key was valid. It arrives after the agents know of the withdrawal; it must be
// refused as not run, and must not run.
func TestKeyWithdrawnOnTheWay(t *testing.T) {
	t.Parallel()
	b := newBench(t, ticket.KindService)
	for _, step := range []struct{ name, marker string }{
		{requestPlaced, "probe"},
		{requestSent, "execute"},
	} {
		t.Run(step.name, func(t *testing.T) {
			b.t = t
			reach := b.trapped(up, step.marker)
			first := make(chan seen, 1)
			go func() { first <- b.bookAs(b.d.Withdrawn, "withdrawn-"+step.marker) }()
			reach()
			b.setAgentLinks(conduct{hold: [2]bool{up: true}})
			revisions := b.revisions()
			b.setKey(false)
			for i, place := range b.topology.Agents {
				waitFor(t, "the agent knows", withdrawnWithin, func() bool { return b.agentState(place.Settings.AdminListen.String()).Revision > revisions[i] })
			}
			b.setAgentLinks(conduct{})
			have := <-first
			if ran := b.runs()[have.id]; have.verdict != verdict.NotRun || ran != 0 {
				t.Errorf("ran %d times and was answered %d: %s", ran, have.status, have.body)
			}
			b.setKey(true)
			b.waitServing()
		})
	}
}

// The operator withdraws a key while the platform is slow. Every entry must refuse it within five seconds of the
// ticket's acceptance.
func TestKeyWithdrawnWhileThePlatformIsSlow(t *testing.T) {
	t.Parallel()
	b := newBench(t, ticket.KindService)
	b.platform.SetDelay(slowWrite)
	b.setKey(false)
	accepted := time.Now()
	for i := range b.topology.Entries {
		waitFor(t, "refusal", withdrawnWithin-time.Since(accepted), func() bool {
			return b.do(i, http.MethodGet, "/v1/services/"+b.pool()+"/x", "", b.d.Withdrawn, "").status == http.StatusUnauthorized
		})
	}
}

func (b *bench) setAgentLinks(c conduct) {
	for _, place := range b.topology.Agents {
		b.links[place.Settings.HostID].peer.set(c)
	}
}

func (b *bench) revisions() []uint64 {
	all := []uint64{}
	for _, place := range b.topology.Agents {
		all = append(all, b.agentState(place.Settings.AdminListen.String()).Revision)
	}
	return all
}
