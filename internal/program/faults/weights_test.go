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

// orderFaults come while a weight order is on its way to an engine, whose agent is host.
var orderFaults = []fault{
	{name: killed, bring: func(b *bench, host string) {
		b.kill(host)
		b.thaw(host)
		b.startAgent(host)
	}},
	{name: frozen, bring: (*bench).freezeForLong},
	{name: cutOneWay, bring: func(b *bench, host string) { b.holdAnswers(host, heldFor) }},
	{name: cutBothWays, bring: func(b *bench, host string) {
		b.links[host].server.set(conduct{refuse: true})
		time.Sleep(time.Second)
	}},
	{name: answerLost, bring: func(b *bench, host string) {
		b.links[host].server.set(conduct{drop: [2]bool{down: true}})
		time.Sleep(time.Second)
		b.links[host].server.cut()
	}},
	{name: answerLate, bring: func(b *bench, host string) { b.holdAnswers(host, lateBy) }},
	{name: short, bring: func(b *bench, host string) { b.links[host].server.set(conduct{cutAfter: 10}) }},
	{name: crossed, bring: func(b *bench, host string) {
		b.links[host].server.set(conduct{twice: true})
		time.Sleep(time.Second)
	}},
	{name: platformDown, bring: func(b *bench, _ string) { b.platform.SetOutage(true) }},
	{name: downForLong, bring: func(b *bench, host string) {
		b.platform.SetOutage(true)
		time.Sleep(heldFor)
		b.thaw(host)
		time.Sleep(time.Second)
	}},
	{name: platformSlow, bring: func(b *bench, _ string) {
		b.platform.SetFaults(platform.Faults{DelayMilliseconds: int(slowCall.Milliseconds())})
	}},
	{name: killedInDown, bring: func(b *bench, host string) {
		b.platform.SetOutage(true)
		b.kill(host)
		b.thaw(host)
		b.startAgent(host)
		time.Sleep(time.Second)
	}},
	{name: wokenInDown, bring: func(b *bench, host string) {
		b.platform.SetOutage(true)
		b.freezeForLong(host)
	}},
	{name: lostAndDead, bring: func(b *bench, host string) {
		b.links[host].server.set(conduct{drop: [2]bool{down: true}})
		time.Sleep(time.Second)
		b.kill(host)
		b.thaw(host)
		b.startAgent(host)
	}},
}

func (b *bench) holdAnswers(host string, length time.Duration) {
	b.links[host].server.set(conduct{hold: [2]bool{down: true}})
	time.Sleep(length)
}

// A trainer's new weights are on their way to an engine, as a prefetch or as a switch, when the engine's agent, their
// connection or the platform fail. Riders ask meanwhile: each gets a whole answer whose tokens name the old or the new
// version. Both engines must serve the new version soon after the fault, also where an order comes twice.
func TestWeightsChange(t *testing.T) {
	t.Parallel()
	for _, step := range []struct{ name, marker string }{
		{weightsPrefetched, `"kind":"prefetch"`},
		{weightsSwitched, `"kind":"switch"`},
	} {
		for part := range 2 {
			t.Run(fmt.Sprintf("%s %d", step.name, part+1), func(t *testing.T) {
				t.Parallel()
				b := newBench(t, ticket.KindModel)
				for _, e := range b.engines {
					e.SetFaults(engine.Faults{})
				}
				b.version = 2
				for i, fault := range orderFaults {
					if i%2 == part {
						t.Run(fault.name, func(t *testing.T) {
							b.t = t
							b.changeWeights(step.marker, fault)
						})
					}
				}
			})
		}
	}
}

// changeWeights brings the fault about when the order with the marker is on its way.
func (b *bench) changeWeights(marker string, fault fault) {
	caught := newTrap(up, marker)
	for _, place := range b.topology.Agents {
		b.links[place.Settings.HostID].server.arm(caught)
	}
	b.publish()
	if !caught.wait(b.t) {
		return
	}
	host := b.holder(caught)
	var group sync.WaitGroup
	answers := make([]seen, callsPerCell)
	for i := range answers {
		group.Go(func() { answers[i] = b.generate(i%2, b.d.Caller, fmt.Sprintf("pony %d", i), 20) })
	}
	fault.bring(b, host)
	b.heal()
	group.Wait()
	for _, answer := range answers {
		b.judgeVersions(answer)
	}
	for i := range b.engines {
		waitFor(b.t, fmt.Sprintf("engine %d serves version %d", i, b.version), stepLimit, func() bool {
			return b.engines[i].State().Version == b.version
		})
	}
	if fault.name == answerLost {
		waitFor(b.t, "the order whose answer was lost comes again", stepLimit, func() bool { return b.ordered(marker) > len(b.engines) })
	}
}

// publish makes the next version the one to serve.
func (b *bench) publish() {
	b.version++
	b.apply(ticket.Ticket{ModelVersions: []ticket.ModelVersion{{Model: b.d.Model, Version: b.version, Weights: fmt.Sprintf("%s/%d", b.d.Model, b.version)}}})
}

// holder is the agent whose forwarder sprang the trap.
func (b *bench) holder(caught *trap) string {
	host := ""
	for _, place := range b.topology.Agents {
		f := b.links[place.Settings.HostID].server
		f.mu.Lock()
		if f.conduct.hold[caught.way] {
			host = place.Settings.HostID
		}
		f.mu.Unlock()
		f.arm(nil)
	}
	return host
}

// ordered counts the orders of the marker's kind for the newest version.
func (b *bench) ordered(marker string) int {
	count := 0
	for _, e := range b.engines {
		for _, order := range e.State().Orders {
			if fmt.Sprintf(`"kind":%q`, order.Kind) == marker && order.Version == b.version {
				count++
			}
		}
	}
	return count
}

// judgeVersions wants a whole answer that names the versions which engines served at that time.
func (b *bench) judgeVersions(answer seen) {
	b.t.Helper()
	var have whole
	if answer.status != http.StatusOK || json.Unmarshal([]byte(answer.body), &have) != nil {
		b.t.Errorf("a rider was answered %d: %s", answer.status, answer.body)
		return
	}
	for _, s := range have.Spans {
		if s.Version > b.version || s.Version < 1 {
			b.t.Errorf("spans %+v while version %d is the newest", have.Spans, b.version)
		}
	}
}
