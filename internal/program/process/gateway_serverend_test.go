package process

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// serverEndLimit is how many servers may end under one request before it is sent to no other.
const serverEndLimit = 3

// addEngines starts further engines until there are count, and registers them.
func (d *deployment) addEngines(count int) {
	for i := len(d.engines); i < count; i++ {
		engine := platformtest.NewServer(d.t, fmt.Sprintf("engine-%d", i), "engines", map[string]int{"m": 1})
		d.engines = append(d.engines, engine)
		d.store.Register(engine, false)
	}
}

// crashUnder makes all engines end when they get the item.
func (d *deployment) crashUnder(item string) {
	for _, engine := range d.engines {
		engine.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
			if r.ID() == item {
				return platformtest.Crash
			}
			return platformtest.Answer
		})
	}
}

// timesSent returns how often the item reached an engine.
func (d *deployment) timesSent(item string) int {
	sent := 0
	for _, engine := range d.engines {
		for _, request := range engine.Requests() {
			if request.ID() == item {
				sent++
			}
		}
	}
	return sent
}

// completed returns how many items of the job are listed as completed.
func (d *deployment) completed(g *testGateway, job string) int {
	results, _ := d.read(g, job, 0)
	completed := 0
	for _, result := range results.Results {
		if result.State == platformtest.Completed {
			completed++
		}
	}
	return completed
}

// Guards against an item that ends the servers that run it, and is sent to one after another until none is left.
func TestItemThatEndsServersIsWithheld(t *testing.T) {
	d := newDeployment(t, 1)
	d.addEngines(8)
	d.crashUnder("item-0a")
	d.submit(d.gateways[0], "j1", submission(4, 3, 1))
	d.eventually("all other items are completed", func() bool { return d.completed(d.gateways[0], "j1") == 7 })
	time.Sleep(time.Second)
	if sent := d.timesSent("item-0a"); sent != serverEndLimit {
		t.Errorf("the item reached %d servers, all of which ended; want %d", sent, serverEndLimit)
	}
}

// Guards against an item that ends three servers in each job that brings it, and at each entry that runs such a job.
func TestServerEndsCountAcrossJobsAndEntries(t *testing.T) {
	d := newDeployment(t, 2)
	d.addEngines(8)
	d.crashUnder("item-0a")
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	owner, other := d.owner("j1")
	d.eventually("the other entry knows of three engines that ended", func() bool {
		return other.jobs.ServerEnds(time.Now())["item-0a"].Item == serverEndLimit
	})
	if got := d.call(owner, http.MethodDelete, platformtest.JobTarget("j1", 0), keyNorth, "e", ""); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	owner.kill()
	d.submit(other, "j2", submission(4, 3, 1))
	d.eventually("all other items are completed", func() bool { return d.completed(other, "j2") == 7 })
	time.Sleep(time.Second)
	if sent := d.timesSent("item-0a"); sent != serverEndLimit {
		t.Errorf("the item reached %d servers, all of which ended; want %d", sent, serverEndLimit)
	}
}

// Guards against items that are withheld because they ran beside the one that ended their servers.
func TestItemsBesideOneThatEndsServersComplete(t *testing.T) {
	d := newDeployment(t, 1)
	d.addEngines(6)
	for _, engine := range d.engines {
		engine.SetStream(10, 30*time.Millisecond)
	}
	d.crashUnder("item-0a")
	d.submit(d.gateways[0], "j1", submission(12, 11, 1))
	d.eventually("all other items are completed", func() bool { return d.completed(d.gateways[0], "j1") == 23 })
}

// Guards against a reward call that ends the servers that run it.
func TestRewardCallThatEndsServersIsWithheld(t *testing.T) {
	d := newDeployment(t, 1)
	for i := len(d.services); i < 7; i++ {
		service := platformtest.NewServer(t, fmt.Sprintf("desk-%d", i), "desk", nil)
		d.services = append(d.services, service)
		d.store.Register(service, false)
	}
	for _, service := range d.services {
		service.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
			if r.ID() == rewardOf("item-0a") {
				return platformtest.Crash
			}
			return platformtest.Answer
		})
	}
	d.submit(d.gateways[0], "j1", scoredSubmission(2))
	d.eventually("all other items are completed", func() bool { return d.completed(d.gateways[0], "j1") == 3 })
	time.Sleep(2 * time.Second)
	sent := 0
	for _, call := range d.rewardCalls() {
		if call.ID() == rewardOf("item-0a") {
			sent++
		}
	}
	if sent > serverEndLimit {
		t.Errorf("the reward call reached %d servers, all of which ended; want at most %d", sent, serverEndLimit)
	}
}

// chaseDelays are how long the item has run at an engine when that is ended. The last one is shorter than short runs are after the others.
var chaseDelays = [serverEndLimit]time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 20 * time.Millisecond}

// endServersUnder ends as many engines as the limit while they run the item, each after some events of it.
func (d *deployment) endServersUnder(item string) {
	seen := map[*platformtest.Server]int{}
	for n := range serverEndLimit {
		d.eventually(fmt.Sprintf("engine %d ends under %s", n, item), func() bool {
			engine, run := d.lastEngineOf(item)
			if engine == nil || seen[engine] == len(engine.Requests()) {
				return false
			}
			seen[engine] = len(engine.Requests())
			select {
			case <-time.After(time.Until(run.ReceivedAt.Add(chaseDelays[n]))):
				engine.Crash()
				return true
			case <-run.Ended:
				return false
			}
		})
	}
}

// lastEngineOf returns the engine that got the item last, with the request; nil if none did.
func (d *deployment) lastEngineOf(item string) (*platformtest.Server, platformtest.Request) {
	var last *platformtest.Server
	var run platformtest.Request
	for _, engine := range d.engines {
		for _, request := range engine.Requests() {
			if request.ID() == item && request.ReceivedAt.After(run.ReceivedAt) {
				last, run = engine, request
			}
		}
	}
	return last, run
}

// newStreamingDeployment starts gateways before eight engines whose streams take 1.2 s.
func newStreamingDeployment(t *testing.T, gateways int) *deployment {
	d := newDeployment(t, gateways)
	d.addEngines(8)
	for _, engine := range d.engines {
		engine.SetStream(40, 30*time.Millisecond)
	}
	return d
}

// Guards against a sound item that is sent to no server any more because three servers that ran it happened to end.
func TestSoundItemRunsAgainAfterServerEnds(t *testing.T) {
	d := newStreamingDeployment(t, 1)
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	d.endServersUnder("item-0a")
	d.eventually("all items are completed", func() bool { return d.completed(d.gateways[0], "j1") == 4 })
}

// Guards against a sound item that later jobs and other entries don't run because three servers happened to end under it.
func TestSoundItemRunsInLaterJobsOfOtherEntries(t *testing.T) {
	d := newStreamingDeployment(t, 2)
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	owner, other := d.owner("j1")
	d.endServersUnder("item-0a")
	d.eventually("the other entry knows of three engines that ended", func() bool {
		return other.jobs.ServerEnds(time.Now())["item-0a"].Item == serverEndLimit
	})
	if got := d.call(owner, http.MethodDelete, platformtest.JobTarget("j1", 0), keyNorth, "e", ""); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	owner.kill()
	d.submit(other, "j2", submission(2, 2, 1))
	d.eventually("all items are completed", func() bool { return d.completed(other, "j2") == 4 })
}
