package process

import (
	"fmt"
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
