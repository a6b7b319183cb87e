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
	// listRead is how long it takes until all entries have read the list again.
	listRead     = 5 * time.Second
	pauseOfCalls = 20 * time.Millisecond
)

// hostFaults are those of an agent, and those of the list by which the others learn of it.
func hostFaults() []fault {
	return append([]fault{
		{name: "list " + answerLate, bring: func(b *bench, _ string) { b.lists(conduct{hold: [2]bool{down: true}}, lateBy) }},
		{name: "list " + short, bring: func(b *bench, _ string) { b.lists(conduct{cutAfter: 200}, lateBy) }},
		{name: "list answers doubled and crossed", bring: func(b *bench, _ string) { b.lists(conduct{twice: true}, listRead) }},
		{name: "list " + downForLong, bring: func(b *bench, _ string) {
			b.platform.SetFaults(platform.Faults{Outage: true})
			time.Sleep(heldFor)
		}},
	}, agentFaults...)
}

// lists sets what becomes of the platform's answers to the entries for a time.
func (b *bench) lists(c conduct, length time.Duration) {
	for _, set := range b.topology.Entries {
		b.links[set.HostID].platform.set(c)
	}
	time.Sleep(length)
}

// callers send bookings until stop, and return what they saw.
func (b *bench) callers() (stop func() []seen) {
	var ended atomic.Bool
	var group sync.WaitGroup
	b.calls++
	all := make([][]seen, 4)
	for caller := range all {
		group.Go(func() {
			for i := 0; !ended.Load(); i++ {
				all[caller] = append(all[caller], b.book(caller%2, fmt.Sprintf("call-%d-%d-%d", b.calls, caller, i), ""))
				time.Sleep(pauseOfCalls)
			}
		})
	}
	return func() []seen {
		ended.Store(true)
		group.Wait()
		return slices.Concat(all...)
	}
}

// setHost lists the host in the state, or not at all.
func (b *bench) setHost(host string, state edge.HostState) {
	hosts := []edge.Host{}
	for _, h := range b.hosts {
		if h.ID == host {
			h.State = state
		}
		if h.State != "" {
			hosts = append(hosts, h)
		}
	}
	b.platform.SetHosts(hosts)
}

// bringToHost brings the fault about; a host that was killed stays down until the entries have read the list.
func (b *bench) bringToHost(host string, fault fault) {
	fault.bring(b, host)
	if b.parts[host] == nil {
		time.Sleep(listRead)
	}
}

func (b *bench) received() int { return len(b.services[1].State().Received) }

// A server's host joins while clerks send bookings, and its agent, its connections, the list of hosts or the platform fail
// as it joins. Every clerk must be told the truth, and the host must serve once the fault is over.
func TestHostJoins(t *testing.T) {
	eachHostFault(t, func(t *testing.T, b *bench, host string, fault fault) {
		b.kill(host)
		b.setHost(host, "")
		time.Sleep(listRead)
		stop := b.callers()
		b.thaw(host)
		b.startAgent(host)
		b.setHost(host, edge.HostLive)
		b.bringToHost(host, fault)
		b.heal()
		before := b.received()
		waitFor(t, "the host that joined serves", 2*stepLimit, func() bool { return b.received() > before })
		b.judge(t, stop(), fault.harmless)
	})
}

// A server's host is listed as leaving while clerks send bookings, and fails as it leaves.
// Every clerk must be told the truth, and the host must receive nothing new once the entries know.
func TestHostLeaves(t *testing.T) {
	eachHostFault(t, func(t *testing.T, b *bench, host string, fault fault) {
		stop := b.callers()
		b.setHost(host, edge.HostLeaving)
		b.bringToHost(host, fault)
		b.heal()
		time.Sleep(listRead)
		before := b.received()
		time.Sleep(time.Second)
		if after := b.received(); after != before {
			t.Errorf("the leaving host received %d new calls", after-before)
		}
		b.judge(t, stop(), fault.harmless)
		b.setHost(host, edge.HostLive)
	})
}

func eachHostFault(t *testing.T, run func(t *testing.T, b *bench, host string, fault fault)) {
	t.Helper()
	t.Parallel()
	const parts = 4
	all := hostFaults()
	for part := range parts {
		t.Run(fmt.Sprintf("part %d", part+1), func(t *testing.T) {
			t.Parallel()
			b := newBench(t, ticket.KindService)
			for i := part; i < len(all); i += parts {
				t.Run(all[i].name, func(t *testing.T) {
					b.t = t
					run(t, b, b.topology.Agents[1].Settings.HostID, all[i])
				})
			}
		})
	}
}
