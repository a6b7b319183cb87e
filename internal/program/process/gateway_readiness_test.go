package process

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/batchjob"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// evacuationAim is how long after the store's acknowledgement a request may still reach a server of the evacuated zone.
const evacuationAim = time.Second

// newTwoZones starts a deployment whose second service and second engine are in north-b, the others in north-a.
func newTwoZones(t *testing.T, gateways int) *deployment {
	t.Helper()
	d := newDeployment(t, 0)
	for _, server := range []*platformtest.Server{d.services[1], d.engines[1]} {
		server.Zone = "north-b"
		d.store.Register(server, false)
	}
	for i := range gateways {
		d.start(fmt.Sprintf("entry-%d", i))
	}
	return d
}

// callEverywhere sends calls through all gateways until the given time, and returns how many were answered with success.
func (d *deployment) callEverywhere(until time.Time, gateways ...*testGateway) int {
	d.t.Helper()
	served := 0
	for n := 0; time.Now().Before(until); n++ {
		for i, g := range gateways {
			if d.call(g, http.MethodPost, "/safe/x", keyNorth, fmt.Sprintf("c-%d-%d-%d", until.UnixNano(), n, i), "q").status == http.StatusOK {
				served++
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return served
}

// requestsAfter returns the number of requests that reached the server after the time.
func requestsAfter(server *platformtest.Server, at time.Time) int {
	requests := server.Requests()
	return len(slices.DeleteFunc(requests, func(r platformtest.Request) bool { return !r.ReceivedAt.After(at) }))
}

// Guards against requests to the servers of an evacuated zone, from any entry: one that reaches the store, one that doesn't, and one that
// starts meanwhile without the store. Once the evacuation ends the zone is used again.
func TestEvacuatedZoneGetsNoCalls(t *testing.T) {
	d := newTwoZones(t, 3)
	d.gateways[2].storeEndpoint.RefuseCalls()
	d.store.Evacuate("north-b")
	acknowledged := time.Now()
	d.callEverywhere(acknowledged.Add(2*evacuationAim), d.gateways...)
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Refuse })
	late := d.start("entry-3")
	if served := d.callEverywhere(time.Now().Add(evacuationAim), late); served == 0 {
		t.Error("the entry that started in the outage served nothing")
	}
	if got := requestsAfter(d.services[1], acknowledged.Add(evacuationAim)); got > 0 {
		t.Errorf("%d requests reached the evacuated zone", got)
	}
	d.store.SetFault(nil)
	d.store.EndEvacuation("north-b")
	ended := time.Now()
	d.eventually("the zone is used again", func() bool {
		d.callEverywhere(time.Now().Add(100*time.Millisecond), d.gateways...)
		return requestsAfter(d.services[1], ended) > 0
	})
}

// Guards against waiting for servers that can't be used, and against an answer that doesn't say why and when to come back.
func TestCallIsRefusedIfAllZonesAreEvacuated(t *testing.T) {
	d := newTwoZones(t, 1)
	d.store.Evacuate("north-a")
	d.store.Evacuate("north-b")
	d.eventually("the call is refused", func() bool {
		sent := time.Now()
		got := d.call(d.gateways[0], http.MethodPost, "/safe/x", keyNorth, "c", "q")
		if got.status == http.StatusOK {
			return false
		}
		if took := time.Since(sent); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || took > time.Second {
			t.Errorf("status %d, Retry-After %q after %v: %s", got.status, got.header.Get("Retry-After"), took, got.body)
		}
		return true
	})
}

// Guards against items, continuations of items and orders to load weights that reach an evacuated zone. What runs there ends there, and the
// engine loads the version that it missed after the end.
func TestEvacuatedZoneGetsNoItemsAndNoOrders(t *testing.T) {
	d := newTwoZones(t, 2)
	for _, engine := range d.engines {
		engine.SetStream(10, 20*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(20, 20, 1))
	d.eventually("both engines run items", func() bool { return len(d.engines[0].Requests()) > 0 && len(d.engines[1].Requests()) > 0 })
	d.store.Evacuate("north-b")
	acknowledged := time.Now()
	d.readAll(d.gateways[0], "j1", 40)
	time.Sleep(time.Until(acknowledged.Add(evacuationAim)))
	d.submit(d.gateways[1], "j2", submission(10, 10, 1))
	d.readAll(d.gateways[0], "j2", 20)
	for version := 2; version <= 4; version++ {
		d.store.PutModelVersion("m", version)
		d.eventually("the other engine is ordered to load", func() bool { return len(d.engines[0].Orders()) == version-1 })
		d.store.Register(d.engines[0], false)
	}
	time.Sleep(evacuationAim)
	if got := requestsAfter(d.engines[1], acknowledged.Add(evacuationAim)); got > 0 {
		t.Errorf("%d items reached the evacuated zone", got)
	}
	if got := len(d.engines[1].Orders()); got > 0 {
		t.Errorf("%d orders reached the evacuated zone", got)
	}
	d.store.EndEvacuation("north-b")
	d.eventually("the engine loads the version that it missed", func() bool { return len(d.engines[1].Orders()) > 0 })
}

// Guards against a cold engine that gets the items of several jobs, or a cold service the calls of all entries, at once.
func TestColdServersGetTheirLimit(t *testing.T) {
	const perSecond, coldTime = 4, 3 * time.Second
	d := newDeployment(t, 3)
	d.version++
	d.store.Configure(d.version, hostName, "m", []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: 3 * time.Second, ColdPerSecond: perSecond, ColdTime: coldTime},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: 10 * time.Second, ColdPerSecond: perSecond, ColdTime: coldTime},
	}, map[string][]string{"north": {keyNorth}, "south": {keySouth}})
	time.Sleep(entriesSettleTime)
	from := time.Now()
	cold := []*platformtest.Server{d.services[1], d.engines[1]}
	for _, server := range cold {
		server.SetCold(coldTime)
		d.store.Register(server, false)
	}
	d.eventually("all entries know of the cold servers", func() bool {
		return !slices.ContainsFunc(d.gateways, func(g *testGateway) bool {
			for _, server := range g.view.Snapshot().Servers {
				if (server.ID == cold[0].ID || server.ID == cold[1].ID) && server.ColdLeft == 0 {
					return true
				}
			}
			return false
		})
	})
	known := time.Now()
	for i, g := range d.gateways {
		d.submit(g, fmt.Sprintf("j%d", i), submission(30, 30, 1))
	}
	var callers sync.WaitGroup
	for _, g := range d.gateways {
		callers.Go(func() { d.callEverywhere(from.Add(coldTime), g) })
	}
	callers.Wait()
	for _, server := range cold {
		if got := server.MostInASecond(known, from.Add(coldTime)); got > perSecond {
			t.Errorf("%s got %d requests in a second", server.ID, got)
		}
	}
	if requestsAfter(d.engines[1], known) == 0 {
		t.Error("the cold engine got nothing")
	}
}

// newTwoRegions starts four entries of which only the first one is in the region "home", together with the first server of each pool. All routes
// are restricted to that region, but for one to a region without servers. The entry that would run the model's jobs without the restriction
// is abroad.
func newTwoRegions(t *testing.T) *deployment {
	t.Helper()
	d := newTwoZones(t, 0)
	hosts := []string{"entry-0", "entry-1", "entry-2", "entry-3"}
	var runners []batch.Runner
	for _, host := range hosts {
		runners = append(runners, batch.Runner{HostID: host})
	}
	if preferred, _ := batch.PreferredRunner("", "m", batch.Demand{}, runners); preferred == hosts[0] {
		hosts[0], hosts[1] = hosts[1], hosts[0]
	}
	for i, host := range hosts {
		endpoint := d.store.NewEndpoint(t)
		set := d.settings(host, endpoint)
		set.Regions = map[string]string{"north-a": "home", "north-b": "abroad"}
		if i > 0 {
			set.AvailabilityZone = "north-b"
		}
		d.startWith(set, endpoint)
	}
	d.version++
	d.store.Configure(d.version, hostName, "m", []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: 3 * time.Second, Regions: []string{"home"}},
		{Name: "nowhere", Kind: platformtest.Idempotent, Pool: "desk", Timeout: 3 * time.Second, Regions: []string{"elsewhere"}},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: 10 * time.Second, Regions: []string{"home"}},
	}, map[string][]string{"north": {keyNorth}, "south": {keySouth}})
	d.eventually("the configuration is in force and all entries know each other", func() bool {
		return !slices.ContainsFunc(d.gateways, func(g *testGateway) bool {
			return g.view.Snapshot().Table.Version < uint64(d.version) || len(g.gossip.Alive(time.Now())) < len(d.gateways)-1
		})
	})
	return d
}

// Guards against calls that reach servers outside the regions to which their route is restricted.
func TestCallsStayInTheirRegions(t *testing.T) {
	d := newTwoRegions(t)
	got := d.call(d.gateways[1], http.MethodPost, "/nowhere/x", keyNorth, "c", "q")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "" {
		t.Errorf("route without a server in its regions: status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if served := d.callEverywhere(time.Now().Add(time.Second), d.gateways...); served == 0 {
		t.Error("no call was served")
	}
	if got := len(d.services[1].Requests()); got > 0 {
		t.Errorf("%d calls reached the server abroad", got)
	}
}

// Guards against jobs that run outside the regions to which their route is restricted, and against their bodies there.
func TestJobsStayInTheirRegions(t *testing.T) {
	d := newTwoRegions(t)
	d.submit(d.gateways[0], "j1", submission(8, 8, 1))
	d.readAll(d.gateways[0], "j1", 16)
	for _, abroad := range d.gateways[1:] {
		if kept, ok := abroad.jobs.State().([]batchjob.JobState); !ok || len(kept) > 0 {
			t.Errorf("jobs in the memory of %s: %v", abroad.set.HostID, kept)
		}
	}
	if got := len(d.engines[1].Requests()); got > 0 {
		t.Errorf("%d items reached the engine abroad", got)
	}
}
