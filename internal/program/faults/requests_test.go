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
	callsPerCell = 6
	// callsToFill leave a queue at an agent that runs one or two calls at a time.
	callsToFill = 8
	// heldFor is longer than the heartbeat timeout of a connection, so that its other side gives it up.
	heldFor = 4 * time.Second
	// lateBy is longer than a probe waits and shorter than the heartbeat timeout.
	lateBy = 1500 * time.Millisecond
	// stepLimit only ends a test whose step is never reached.
	stepLimit = time.Minute
	// serverDelay is how long started calls go on when the fault comes.
	serverDelay = 700 * time.Millisecond
	slowCall    = 1500 * time.Millisecond
)

// fault is brought about when the step was reached; host is the process at which it was reached.
type fault struct {
	name  string
	bring func(b *bench, host string)
	// harmless says that every caller must get a whole answer all the same.
	harmless bool
}

// agentFaults are those that can come to the agent of a call and its connections.
var agentFaults = []fault{
	{name: killed, bring: (*bench).kill},
	{name: frozen, bring: (*bench).freezeForLong},
	{name: cutOneWay, bring: func(b *bench, host string) {
		b.links[host].peer.set(conduct{drop: [2]bool{down: true}})
		time.Sleep(heldFor)
		b.links[host].peer.set(conduct{drop: [2]bool{up: true}})
		time.Sleep(heldFor)
		b.thaw(host)
	}},
	{name: cutBothWays, bring: func(b *bench, host string) {
		b.links[host].peer.set(conduct{refuse: true})
		time.Sleep(time.Second)
		b.thaw(host)
	}},
	{name: "frames after their connection", bring: func(b *bench, host string) {
		b.links[host].peer.hangUp()
		time.Sleep(lateBy)
		b.thaw(host)
	}},
	{name: answerLost, bring: func(b *bench, host string) {
		b.loseAnswers(host)
		b.links[host].peer.set(conduct{})
		b.links[host].peer.cut()
	}},
	{name: answerLate, harmless: true, bring: func(b *bench, host string) {
		b.links[host].peer.set(conduct{hold: [2]bool{down: true}})
		time.Sleep(lateBy)
		b.thaw(host)
	}},
	{name: platformSlow, harmless: true, bring: func(b *bench, host string) {
		b.platform.SetFaults(platform.Faults{DelayMilliseconds: int(slowCall.Milliseconds())})
		b.thaw(host)
	}},
	{name: killedInDown, bring: func(b *bench, host string) {
		b.platform.SetFaults(platform.Faults{Outage: true})
		b.kill(host)
	}},
	{name: wokenInDown, bring: func(b *bench, host string) {
		b.platform.SetFaults(platform.Faults{Outage: true})
		b.freezeForLong(host)
	}},
	{name: lostAndDead, bring: func(b *bench, host string) {
		b.loseAnswers(host)
		b.kill(host)
	}},
}

func (b *bench) freezeForLong(host string) {
	b.freeze(host)
	time.Sleep(heldFor)
	b.thaw(host)
}

// loseAnswers lets requests reach the agent and run while nothing comes back from it.
func (b *bench) loseAnswers(host string) {
	b.links[host].peer.set(conduct{drop: [2]bool{down: true}})
	time.Sleep(2 * serverDelay)
}

// book sends a call that may not be repeated.
func (b *bench) book(entry int, id, idempotencyKey string) seen {
	have := b.do(entry, http.MethodPost, "/v1/services/"+b.pool()+service.PathBookings, fmt.Sprintf(`{"id":%q}`, id), b.d.Caller, idempotencyKey)
	have.id = id
	return have
}

// callsAt sends calls while reach waits for the step, and returns what their callers saw. With twice set each call has
// an idempotency key and comes at the other entry as well, once the step was reached.
func (b *bench) callsAt(count int, twice bool, reach func() string, bring func(host string)) []seen {
	b.calls++
	all := make([]seen, count)
	again := make([]seen, 0, count)
	var group sync.WaitGroup
	send := func(into *seen, entry int, id string) {
		key := ""
		if twice {
			key = id
		}
		group.Go(func() { *into = b.book(entry, id, key) })
	}
	id := func(i int) string { return fmt.Sprintf("call-%d-%d", b.calls, i) }
	for i := range all {
		send(&all[i], i%2, id(i))
	}
	host := reach()
	if twice {
		again = again[:count]
		for i := range again {
			send(&again[i], 1-i%2, id(i))
		}
	}
	if host != "" {
		bring(host)
	}
	group.Wait()
	return append(all, again...)
}

// trapped arms the same trap before all agents and returns the one that sprang it.
func (b *bench) trapped(w way, marker string) func() string {
	caught := newTrap(w, marker)
	for _, place := range b.topology.Agents {
		b.links[place.Settings.HostID].peer.arm(caught)
	}
	return func() string {
		if !caught.wait(b.t) {
			return ""
		}
		for _, place := range b.topology.Agents {
			f := b.links[place.Settings.HostID].peer
			f.arm(nil)
			f.mu.Lock()
			held := f.conduct.hold[w]
			f.mu.Unlock()
			if held {
				return place.Settings.HostID
			}
		}
		return ""
	}
}

// resetLimits makes the agents start from a limit of one or two calls again; it had grown with use.
func (b *bench) resetLimits() {
	limit := 1 + b.tickets%2
	b.apply(ticket.Ticket{Pools: []ticket.Pool{b.poolPart(limit)}})
	for _, place := range b.topology.Agents {
		waitFor(b.t, "the limit", stepLimit, func() bool {
			return b.agentState(place.Settings.AdminListen.String()).Limit == limit
		})
	}
}

// queuedAt waits for an agent with a call started at its server and another in its queue. The servers hold their
// calls until then, however long a look takes.
func (b *bench) queuedAt() string {
	defer b.serverDelay(serverDelay)
	found := ""
	waitFor(b.t, "a queued call", stepLimit, func() bool {
		for _, place := range b.topology.Agents {
			state := b.agentState(place.Settings.AdminListen.String())
			if len(state.Running) > 0 && state.Queued > 0 {
				found = place.Settings.HostID
				return true
			}
		}
		return false
	})
	return found
}

// agentState is what the cells need of an agent's dump.
type agentState struct {
	Revision uint64            `json:"revision"`
	Queued   int               `json:"queued"`
	Limit    int               `json:"limit"`
	Running  []json.RawMessage `json:"running"`
	Leaving  bool              `json:"leaving"`
}

func (b *bench) agentState(admin string) agentState {
	var dump struct {
		Agent agentState `json:"agent"`
	}
	response, err := b.client.Get("http://" + admin + "/debug/state")
	if err != nil {
		return agentState{}
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&dump)
	return dump.Agent
}

func (b *bench) serverDelay(delay time.Duration) {
	for _, s := range b.services {
		s.SetFaults(service.Faults{DelayMilliseconds: int(delay.Milliseconds())})
	}
}

// holdServers keeps all calls from running until the next serverDelay.
func (b *bench) holdServers() {
	for _, s := range b.services {
		s.SetFaults(service.Faults{Hold: true})
	}
}

// runs returns how often each booking ran, over all servers.
func (b *bench) runs() map[string]int {
	total := map[string]int{}
	for _, s := range b.services {
		for id, count := range s.State().Runs {
			total[id] += count
		}
	}
	return total
}

// judge holds what callers were told against what ran.
func (b *bench) judge(t *testing.T, all []seen, harmless bool) {
	t.Helper()
	told := map[verdict.Verdict]int{}
	runs := b.runs()
	for _, call := range all {
		told[call.verdict]++
		ran := runs[call.id]
		switch {
		case ran > 1:
			t.Errorf("%s ran %d times", call.id, ran)
		case call.verdict == verdict.Ran && ran != 1:
			t.Errorf("%s was answered %d and ran %d times", call.id, call.status, ran)
		case call.verdict == verdict.NotRun && ran != 0:
			t.Errorf("%s was refused as not run and ran: %s", call.id, call.body)
		case call.verdict == verdict.Ran && call.body != fmt.Sprintf(`{"id":%q,"runs":1}`, call.id):
			t.Errorf("%s was answered %s", call.id, call.body)
		case call.status == 0:
			t.Errorf("%s has no answer", call.id)
		case harmless && call.verdict != verdict.Ran:
			t.Errorf("%s was answered %d: %s", call.id, call.status, call.body)
		case call.took > requestTimeout+answerSlack:
			t.Errorf("%s was answered after %v", call.id, call.took)
		}
	}
	t.Logf("callers were told: %v", told)
}

// Clerks' bookings wait at one step on their way, and then the agent that has them, its connections or the platform
// fail. Each clerk must be answered in time; a booking answered 201 ran once and the answer is its own; one refused
// as not run must not have run, not even when the bytes that were held come through later; none runs twice.
func TestRequestAtEachStep(t *testing.T) {
	t.Parallel()
	all := append([]fault{{name: doubled, bring: (*bench).thaw}}, agentFaults...)
	queued := func(b *bench) func() string {
		b.resetLimits()
		b.holdServers()
		return b.queuedAt
	}
	for _, step := range []struct {
		name   string
		calls  int
		faults []fault
		reach  func(b *bench) func() string
	}{
		{requestPlaced, callsPerCell, all, func(b *bench) func() string { return b.trapped(up, "probe") }},
		{requestSent, callsPerCell, all, func(b *bench) func() string { return b.trapped(up, "execute") }},
		{requestQueued + " and " + requestStarted + " 1", callsToFill, all[:len(all)/2], queued},
		{requestQueued + " and " + requestStarted + " 2", callsToFill, all[len(all)/2:], queued},
		{requestAnswered, callsPerCell, all, func(b *bench) func() string { return b.trapped(down, `"runs":1`) }},
	} {
		t.Run(step.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, ticket.KindService)
			for _, fault := range step.faults {
				t.Run(fault.name, func(t *testing.T) {
					b.t = t
					b.serverDelay(0)
					calls := b.callsAt(step.calls, fault.name == doubled, step.reach(b), func(host string) { fault.bring(b, host) })
					b.heal()
					b.judge(t, calls, fault.harmless)
				})
			}
		})
	}
}

// A parent's booking with an idempotency key is admitted, and its record is on its way to the platform, when the entry,
// its connection to the platform or the platform fail. The parent repeats the booking at the other entry later.
// It runs once at most over both tries; what each of them is told is true.
func TestRequestAdmitted(t *testing.T) {
	const waits = 500 * time.Millisecond
	entryFaults := []fault{
		{name: killed, bring: (*bench).kill},
		{name: frozen, bring: (*bench).freezeForLong},
		{name: cutOneWay, bring: func(b *bench, host string) {
			b.links[host].platform.set(conduct{drop: [2]bool{down: true}})
			time.Sleep(heldFor)
			b.thaw(host)
		}},
		{name: cutBothWays, harmless: true, bring: func(b *bench, host string) {
			b.links[host].platform.set(conduct{drop: [2]bool{down: true}})
			time.Sleep(waits)
			b.links[host].platform.set(conduct{refuse: true})
			time.Sleep(time.Second)
			b.thaw(host)
		}},
		{name: answerLost, harmless: true, bring: func(b *bench, host string) {
			b.platform.LoseAnswers(1)
			b.thaw(host)
		}},
		{name: answerLate, harmless: true, bring: func(b *bench, host string) {
			b.links[host].platform.set(conduct{hold: [2]bool{down: true}})
			time.Sleep(waits)
			b.thaw(host)
		}},
		{name: platformSlow, harmless: true, bring: func(b *bench, host string) {
			b.platform.SetDelay(waits)
			b.thaw(host)
		}},
		{name: killedInDown, bring: func(b *bench, host string) {
			b.platform.SetOutage(true)
			b.kill(host)
		}},
		{name: lostAndDead, bring: func(b *bench, host string) {
			b.links[host].platform.set(conduct{drop: [2]bool{down: true}})
			time.Sleep(waits)
			b.kill(host)
		}},
		{name: doubled, harmless: true, bring: func(b *bench, host string) {
			if have := b.book(1, b.admittedID(), b.admittedID()); have.verdict == verdict.NotRun {
				b.t.Errorf("the second of two at once was told %+v", have)
			}
			b.thaw(host)
		}},
	}
	t.Parallel()
	b := newBench(t, ticket.KindService)
	host := b.topology.Entries[0].HostID
	for _, fault := range entryFaults {
		t.Run(fault.name, func(t *testing.T) {
			b.t = t
			b.calls++
			caught := newTrap(up, "/idempotency")
			b.links[host].platform.arm(caught)
			first := make(chan seen, 1)
			go func() { first <- b.book(0, b.admittedID(), b.admittedID()) }()
			if caught.wait(t) {
				fault.bring(b, host)
			}
			before := <-first
			b.heal()
			again := b.book(1, b.admittedID(), b.admittedID())
			b.judgeRepeat(t, before, again, fault.harmless)
		})
	}
}

func (b *bench) admittedID() string { return fmt.Sprintf("admitted-%d", b.calls) }

func (b *bench) judgeRepeat(t *testing.T, first, again seen, harmless bool) {
	t.Helper()
	t.Logf("first %d %s, again %d %s", first.status, first.body, again.status, again.body)
	runs := b.runs()[first.id]
	switch {
	case runs > 1:
		t.Errorf("ran %d times", runs)
	case first.verdict == verdict.Ran && (runs != 1 || again.body != first.body || again.status != first.status):
		t.Errorf("%d runs", runs)
	case again.verdict == verdict.Ran && runs != 1:
		t.Errorf("%d runs", runs)
	case again.verdict == verdict.NotRun && runs != 0:
		t.Errorf("%d runs", runs)
	case harmless && first.verdict != verdict.Ran && again.verdict != verdict.Ran:
		t.Error("neither was answered")
	}
}
