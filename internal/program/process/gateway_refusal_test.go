package process

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// refusingEngine is an engine behind a link that can refuse connections.
type refusingEngine struct {
	*platformtest.Server

	link *holdingLink
}

// newRefusingEngines replaces the deployment's engines by some that are behind links.
func (d *deployment) newRefusingEngines(count int) []refusingEngine {
	d.t.Helper()
	for _, engine := range d.engines {
		d.store.Remove("servers", engine.ID)
	}
	d.engines = nil
	var engines []refusingEngine
	for i := range count {
		engine := platformtest.NewServer(d.t, fmt.Sprintf("linked-%d", i), "engines", map[string]int{"m": 1})
		link := newHoldingLink(d.t, engine.Address().String())
		engine.Advertised = link.Address
		engine.SetStream(10, 50*time.Millisecond)
		d.engines = append(d.engines, engine)
		d.store.Register(engine, false)
		engines = append(engines, refusingEngine{Server: engine, link: link})
	}
	return engines
}

// Guards against a sound item that is sent to no server any more because the network in front of three servers in turn refused connections, while
// the servers were alive.
func TestSoundItemGoesOnAfterRefusals(t *testing.T) {
	const (
		cutDelay = 150 * time.Millisecond
		cuts     = 3
		cutTime  = 700 * time.Millisecond
		// maxIdle is how long an item may be at no server.
		maxIdle = 5 * time.Second
	)
	t.Parallel()
	d := newDeployment(t, 0)
	engines := d.newRefusingEngines(6)
	var runs atomic.Int64
	for _, engine := range engines {
		engine.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour {
			// The runs that are cut off bring no event before.
			if runs.Add(1) <= cuts {
				return platformtest.Hang
			}
			return platformtest.Answer
		})
	}
	g := d.start("entry-0")
	d.eventually("the entry knows the engines", func() bool { return len(g.balancer.Servers()) == len(engines)+len(d.services) })
	d.submit(g, "j1", platformtest.Submission("m", 1, 1, []platformtest.Item{{ID: "item", Path: "/job/0", Group: "0"}}))
	sent := 0
	for range cuts {
		d.eventually("the item runs at another engine", func() bool { return d.timesSent("item") > sent })
		time.Sleep(cutDelay)
		sent = d.timesSent("item")
		for _, engine := range engines {
			if requests := engine.Requests(); len(requests) > 0 && engine.running(requests) {
				engine.link.refuse()
				time.AfterFunc(cutTime, func() { engine.link.listen(t, engine.link.Address.String()) })
			}
		}
	}
	idle := time.Now()
	d.eventually("the item goes on", func() bool { return d.timesSent("item") > sent })
	if took := time.Since(idle); took > maxIdle {
		t.Errorf("the item was at no server for %v, want at most %v", took, maxIdle)
	}
	d.eventually("the item is completed", func() bool { return d.completed(g, "j1") == 1 })
}

// running reports whether the last of the requests still runs.
func (e refusingEngine) running(requests []platformtest.Request) bool {
	select {
	case <-requests[len(requests)-1].Ended:
		return false
	default:
		return true
	}
}
