package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	harmfulPoolSize = 40
	// harmfulAdvance is how long a run lasts that brings events before it ends its server.
	harmfulAdvance = 200 * time.Millisecond
	// registrationExpiry is when the registration of a silenced server is removed.
	registrationExpiry = 3 * time.Second
)

// harm is how a request ends the servers that run it.
type harm func(l *harmfulLoad, server *platformtest.Server, r platformtest.Request) platformtest.Behaviour

func endOnArrival(l *harmfulLoad, _ *platformtest.Server, r platformtest.Request) platformtest.Behaviour {
	l.recordEnd(r.ID())
	return platformtest.Crash
}

// endAfterAdvance ends the server some time after the request's arrival, unless the request has been given up by then.
func endAfterAdvance(l *harmfulLoad, server *platformtest.Server, r platformtest.Request) platformtest.Behaviour {
	go func() {
		select {
		case <-time.After(harmfulAdvance):
			l.crash(server, r.ID())
		case <-r.Ended:
		}
	}()
	return platformtest.Answer
}

// endLater ends the server some time after the request's arrival, whatever has become of it.
func endLater(l *harmfulLoad, server *platformtest.Server, r platformtest.Request) platformtest.Behaviour {
	time.AfterFunc(harmfulAdvance, func() { l.crash(server, r.ID()) })
	return platformtest.Answer
}

// endAtVaryingTime is endLater with another time for each server.
func endAtVaryingTime(l *harmfulLoad, server *platformtest.Server, r platformtest.Request) platformtest.Behaviour {
	after := harmfulAdvance/2 + rand.N(harmfulAdvance)
	time.AfterFunc(after, func() { l.crash(server, r.ID()) })
	return platformtest.Answer
}

// endAtEvent ends the server at an event. Runs that resume there end on arrival.
func endAtEvent(l *harmfulLoad, server *platformtest.Server, r platformtest.Request) platformtest.Behaviour {
	if r.Header.Get("Last-Event-Id") != "" {
		return endOnArrival(l, server, r)
	}
	return endAfterAdvance(l, server, r)
}

// silence makes the server send nothing more. Its registration is removed later.
func silence(l *harmfulLoad, server *platformtest.Server, r platformtest.Request) platformtest.Behaviour {
	l.recordEnd(r.ID())
	server.Silence()
	time.AfterFunc(registrationExpiry, func() { l.store.Remove("servers", server.ID) })
	return platformtest.Answer
}

// harmfulLoad is a job with harmful items or reward calls before pools of harmfulPoolSize servers.
type harmfulLoad struct {
	*deployment

	harmful []string
	started time.Time
	// job is the job that was submitted last.
	job  string
	jobs int

	mu sync.Mutex
	// ends holds when servers ended under each harmful request, and crashed the servers that have ended.
	ends    map[string][]time.Time
	crashed map[*platformtest.Server]bool
}

func newHarmfulLoad(t *testing.T, gateways, harmful int, reward, early bool) *harmfulLoad {
	d := newDeployment(t, 0)
	for i := range gateways {
		endpoint := d.store.NewEndpoint(t)
		set := d.settings(fmt.Sprintf("entry-%d", i), endpoint)
		set.EarlyGeneration = early
		d.startWith(set, endpoint)
	}
	d.addEngines(harmfulPoolSize)
	for i := len(d.services); i < harmfulPoolSize; i++ {
		service := platformtest.NewServer(t, fmt.Sprintf("desk-%d", i), "desk", nil)
		d.services = append(d.services, service)
		d.store.Register(service, false)
	}
	for _, engine := range d.engines {
		engine.SetStream(60, 30*time.Millisecond)
	}
	for _, g := range d.gateways {
		d.eventually("the entry knows all servers", func() bool { return len(g.balancer.Servers()) == 2*harmfulPoolSize })
	}
	l := &harmfulLoad{deployment: d, ends: map[string][]time.Time{}, crashed: map[*platformtest.Server]bool{}}
	for i := range harmful {
		id := fmt.Sprintf("item-%da", i)
		if reward {
			id = rewardOf(id)
		}
		l.harmful = append(l.harmful, id)
	}
	return l
}

// recordEnd records that a server ends under the request.
func (l *harmfulLoad) recordEnd(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[request] = append(l.ends[request], time.Now())
}

// crash ends a server under the request, unless it has ended.
func (l *harmfulLoad) crash(server *platformtest.Server, request string) {
	l.mu.Lock()
	ended := l.crashed[server]
	l.crashed[server] = true
	if !ended {
		l.ends[request] = append(l.ends[request], time.Now())
	}
	l.mu.Unlock()
	server.Crash()
}

// endsUnder returns how many servers ended under the request, and how often it arrived at a server after the third of them.
func (l *harmfulLoad) endsUnder(request string) (ended, later int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := l.ends[request]
	if len(ends) < serverEndLimit {
		return len(ends), 0
	}
	for _, server := range l.servers() {
		for _, r := range server.Requests() {
			if r.ID() == request && r.ReceivedAt.After(ends[serverEndLimit-1]) {
				later++
			}
		}
	}
	return len(ends), later
}

// start makes the requests harmful and submits the job.
func (l *harmfulLoad) start(how harm, reward bool) {
	for _, server := range l.servers() {
		server.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
			if slices.Contains(l.harmful, r.ID()) {
				return how(l, server, r)
			}
			return platformtest.Answer
		})
	}
	l.started = time.Now()
	l.submitNext(l.gateways[0], reward)
}

// submitNext submits a further job with the items, again until it is accepted.
func (l *harmfulLoad) submitNext(g *testGateway, reward bool) {
	body := submission(12, 11, 1)
	if reward {
		body = scoredSubmission(12)
	}
	l.jobs++
	l.job = fmt.Sprintf("j%d", l.jobs)
	l.eventually("the job is accepted", func() bool {
		got, err := l.tryCall(g, http.MethodPost, "/job/"+l.job, keyNorth, l.job, body)
		return err == nil && got.status == http.StatusAccepted
	})
}

// reader returns an entry that runs.
func (l *harmfulLoad) reader() *testGateway {
	return l.gateways[slices.IndexFunc(l.gateways, func(g *testGateway) bool { return !g.closed })]
}

// awaitArrivals waits until the first harmful request has reached as many servers.
func (l *harmfulLoad) awaitArrivals(count int) {
	l.eventually(fmt.Sprintf("%d servers have the request", count), func() bool { return len(l.arrivals(l.harmful[0])) >= count })
}

// killOwner kills the entry that runs the job once the others know of the ends.
func killOwner(l *harmfulLoad) {
	l.awaitArrivals(serverEndLimit)
	owner, other := l.owner(l.job)
	l.eventually("the other entry knows of the ends", func() bool {
		return other.jobs.ServerEnds(time.Now())[l.harmful[0]].Item == serverEndLimit
	})
	owner.kill()
}

// drainOwner lets the entry that runs the job leave after the second end.
func drainOwner(l *harmfulLoad) {
	l.awaitArrivals(2)
	owner, _ := l.owner(l.job)
	ctx, cancel := context.WithTimeout(l.t.Context(), gatewayTimeout)
	defer cancel()
	if err := owner.drain(ctx); err != nil {
		l.t.Fatal(err)
	}
	owner.kill()
}

// restartEntries restarts all entries at once after the second end, once a page holds the ends, and submits the items again.
func restartEntries(l *harmfulLoad) {
	l.awaitArrivals(2)
	time.Sleep(restartDelay)
	gateways := l.gateways
	for _, g := range gateways {
		g.kill()
	}
	for i, g := range gateways {
		set := l.settings(fmt.Sprintf("restarted-%d", i), g.storeEndpoint)
		set.Seeds = nil
		if i > 0 {
			set.Seeds = []netip.AddrPort{l.gateways[len(gateways)].set.PeerListen}
		}
		l.startWith(set, g.storeEndpoint)
	}
	l.submitNext(l.reader(), false)
}

// submitLaterJobs submits the items again at the other entries.
func submitLaterJobs(l *harmfulLoad) {
	for _, g := range l.gateways[1:] {
		time.Sleep(2 * time.Second)
		l.submitNext(g, false)
	}
}

const (
	// restartDelay is the time from the second arrival of a harmful item until all entries are restarted.
	restartDelay = time.Second
	earlyOutage  = 3 * time.Second
	silentOutage = 8 * time.Second
)

// loseStore makes the store unreachable while servers are silent.
func loseStore(l *harmfulLoad) {
	l.loseStoreFor(silentOutage)
	time.Sleep(silentOutage)
}

// loseStoreFor makes the store unreachable for a time.
func (l *harmfulLoad) loseStoreFor(duration time.Duration) {
	for _, g := range l.gateways {
		g.storeEndpoint.RefuseCalls()
		time.AfterFunc(duration, g.storeEndpoint.ServeCalls)
	}
}

// arrivals returns when the request reached servers, in order.
func (l *harmfulLoad) arrivals(id string) []time.Duration {
	var at []time.Duration
	for _, server := range l.servers() {
		for _, request := range server.Requests() {
			if request.ID() == id {
				at = append(at, request.ReceivedAt.Sub(l.started).Round(10*time.Millisecond))
			}
		}
	}
	slices.Sort(at)
	return at
}

// Guards against requests that end the servers that run them and are sent to servers after the third end, whether or not their runs were cut off.
func TestHarmfulRequestsAreNotSentPastTheLimit(t *testing.T) {
	for _, test := range []struct {
		name              string
		gateways, harmful int
		reward            bool
		how               harm
		// during acts while the job runs; nil if nothing else happens.
		during func(l *harmfulLoad)
		// early submits the job while the store is unreachable.
		early bool
		// observe is how long the load is observed; harmfulObservation by default.
		observe time.Duration
	}{
		{name: "one on arrival", gateways: 1, harmful: 1, how: endOnArrival, observe: 33 * time.Second},
		{name: "one at an event", gateways: 1, harmful: 1, how: endAtEvent},
		{name: "one on arrival, other servers end", gateways: 1, harmful: 1, how: endOnArrival, during: endOtherServers},
		{name: "three at an event, three entries", gateways: 3, harmful: 3, how: endAtEvent},
		{name: "five on arrival", gateways: 1, harmful: 5, how: endOnArrival},
		{name: "five on arrival, three entries", gateways: 3, harmful: 5, how: endOnArrival},
		{name: "one silent", gateways: 1, harmful: 1, how: silence},
		{name: "five silent", gateways: 1, harmful: 5, how: silence},
		{name: "one reward call", gateways: 1, harmful: 1, reward: true, how: endOnArrival},
		{name: "five reward calls", gateways: 1, harmful: 5, reward: true, how: endOnArrival},
		{name: "one that advances", gateways: 1, harmful: 1, how: endAfterAdvance},
		{name: "five that advance", gateways: 1, harmful: 5, how: endAfterAdvance},
		{name: "one that ends its server even if cut off", gateways: 1, harmful: 1, how: endLater},
		{name: "five that end their servers even if cut off", gateways: 1, harmful: 5, how: endLater},
		{name: "one even if cut off, other servers end", gateways: 1, harmful: 1, how: endLater, during: endOtherServers},
		{name: "one even if cut off, in later jobs at other entries", gateways: 3, harmful: 1, how: endLater, during: submitLaterJobs},
		{name: "one even if cut off, its entry is killed", gateways: 2, harmful: 1, how: endLater, during: killOwner},
		{name: "one even if cut off, its entry leaves", gateways: 2, harmful: 1, how: endLater, during: drainOwner},
		{name: "one even if cut off, all entries are restarted", gateways: 3, harmful: 1, how: endLater, during: restartEntries},
		{name: "one even if cut off, in an outage of the store", gateways: 1, harmful: 1, how: endLater, during: loseStore},
		{name: "one even if cut off, in a step begun without the store", gateways: 1, harmful: 1, how: endLater, early: true},
		{name: "one at varying times", gateways: 1, harmful: 1, how: endAtVaryingTime},
		{name: "five at varying times, three entries", gateways: 3, harmful: 5, how: endAtVaryingTime},
		{name: "one reward call at varying times", gateways: 1, harmful: 1, reward: true, how: endLater},
		{name: "one on arrival, its entry is killed", gateways: 2, harmful: 1, how: endOnArrival, during: killOwner},
		{name: "one on arrival, its entry leaves", gateways: 2, harmful: 1, how: endOnArrival, during: drainOwner},
		{name: "one at an event, its entry leaves", gateways: 2, harmful: 1, how: endAtEvent, during: drainOwner},
		{name: "one on arrival, in later jobs at other entries", gateways: 3, harmful: 1, how: endOnArrival, during: submitLaterJobs},
		{name: "one on arrival, all entries are restarted", gateways: 3, harmful: 1, how: endOnArrival, during: restartEntries},
		{name: "one silent, in an outage of the store", gateways: 1, harmful: 1, how: silence, during: loseStore},
		{name: "one silent reward call", gateways: 1, harmful: 1, reward: true, how: silence},
		{name: "one on arrival, in a step begun without the store", gateways: 1, harmful: 1, how: endOnArrival, early: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := newHarmfulLoad(t, test.gateways, test.harmful, test.reward, test.early)
			if test.early {
				l.loseStoreFor(earlyOutage)
			}
			l.start(test.how, test.reward)
			if test.during != nil {
				test.during(l)
			}
			l.eventually("all other items are completed", func() bool { return l.completed(l.reader(), l.job) >= 24-test.harmful })
			time.Sleep(time.Until(l.started.Add(max(test.observe, harmfulObservation))))
			for _, id := range l.harmful {
				ended, later := l.endsUnder(id)
				t.Logf("%s: %d servers ended, %d later sends, all sends at %v", id, ended, later, l.arrivals(id))
				if ended > serverEndLimit || later > 0 {
					t.Errorf("%s ended %d servers and was sent %d times after the third one, want at most %d and none", id, ended, later, serverEndLimit)
				}
			}
			most := test.harmful * serverEndLimit
			if ended := l.ended(); ended > most && test.during == nil {
				t.Errorf("%d servers ended, want at most %d", ended, most)
			}
		})
	}
}

// harmfulObservation is how long a load is observed.
const harmfulObservation = 12 * time.Second

// ended returns how many servers refuse connections or are silent.
func (l *harmfulLoad) ended() int {
	ended := 0
	client := http.Client{Timeout: 500 * time.Millisecond}
	for _, server := range l.servers() {
		response, err := client.Get("http://" + server.Address().String() + "/report")
		if err != nil {
			ended++
			continue
		}
		_ = response.Body.Close()
	}
	return ended
}

// endOtherServers ends six engines that the harmful items haven't reached, within two seconds.
func endOtherServers(l *harmfulLoad) {
	ended := 0
	for i := len(l.engines) - 1; i >= 0 && ended < 6; i-- {
		reached := slices.ContainsFunc(l.engines[i].Requests(), func(r platformtest.Request) bool { return slices.Contains(l.harmful, r.ID()) })
		if !reached && strings.HasPrefix(l.engines[i].ID, "engine") {
			l.engines[i].Crash()
			ended++
			time.Sleep(300 * time.Millisecond)
		}
	}
}
