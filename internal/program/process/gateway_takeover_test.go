package process

import (
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// maxIdleOfItems is how long the items of a job may be at no server while the store answers.
const maxIdleOfItems = 5 * time.Second

// runsAgain waits until another entry than the lost ones runs an item of the job, and returns how long that took.
func (d *deployment) runsAgain(job string, started time.Time, limit time.Duration, lost ...*testGateway) time.Duration {
	d.t.Helper()
	for ; time.Since(started) < limit; time.Sleep(10 * time.Millisecond) {
		for _, g := range d.gateways {
			if contains(lost, g) || g.closed {
				continue
			}
			if running, _ := g.jobs.Jobs(time.Now()); contains(running, job) && len(g.balancer.Running()) > 0 {
				took := time.Since(started)
				d.t.Logf("%s runs again after %v", job, took)
				return took
			}
		}
	}
	d.t.Errorf("no entry runs %s after %v", job, limit)
	return limit
}

func contains[T comparable](list []T, wanted T) bool {
	for _, each := range list {
		if each == wanted {
			return true
		}
	}
	return false
}

// newRunningJob starts gateways that know each other and have a job whose items take longer than the test. Nobody reads its results.
func newRunningJob(t *testing.T, gateways int) (d *deployment, owner *testGateway) {
	t.Helper()
	d = newDeployment(t, gateways)
	d.eventually("entries know each other", func() bool {
		for _, g := range d.gateways {
			if len(g.gossip.Alive(time.Now())) != gateways-1 {
				return false
			}
		}
		return true
	})
	for _, engine := range d.engines {
		engine.SetStream(400, 50*time.Millisecond)
	}
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	owner, _ = d.owner("j1")
	// Entries that started a moment ago also restart the jobs that the notes of the lease name.
	time.Sleep(5500 * time.Millisecond)
	return d, owner
}

// Guards against items that are at no server for five seconds after the loss of the entry that ran them, in each way in which it may go.
func TestItemsRunAgainAfterTheLossOfTheirEntry(t *testing.T) {
	for _, test := range []struct {
		name string
		lose func(d *deployment, owner *testGateway) (lost []*testGateway)
	}{
		{name: "killed", lose: func(_ *deployment, owner *testGateway) []*testGateway {
			owner.kill()
			return nil
		}},
		{name: "killed while it leaves", lose: func(_ *deployment, owner *testGateway) []*testGateway {
			owner.gossip.Leave()
			time.Sleep(500 * time.Millisecond)
			owner.kill()
			return nil
		}},
		{name: "killed with the next one", lose: func(d *deployment, owner *testGateway) []*testGateway {
			owner.kill()
			d.owner("j1")
			for _, g := range d.gateways {
				if running, _ := g.jobs.Jobs(time.Now()); !g.closed && contains(running, "j1") {
					g.kill()
				}
			}
			return nil
		}},
		{name: "killed and restarted at once", lose: func(d *deployment, owner *testGateway) []*testGateway {
			owner.kill()
			d.startWith(owner.set, owner.storeEndpoint)
			return nil
		}},
		{name: "two killed at once", lose: func(d *deployment, owner *testGateway) []*testGateway {
			owner.kill()
			for _, g := range d.gateways {
				if !g.closed {
					g.kill()
					break
				}
			}
			return nil
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, owner := newRunningJob(t, 4)
			started := time.Now()
			lost := test.lose(d, owner)
			if took := d.runsAgain("j1", started, maxIdleOfItems+5*time.Second, lost...); took > maxIdleOfItems {
				t.Errorf("the items were at no server for %v", took)
			}
		})
	}
}

// Guards against items that are at no server after an outage of the store in which their entry was lost.
func TestItemsRunAgainAfterAnOutage(t *testing.T) {
	t.Parallel()
	d, owner := newRunningJob(t, 4)
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Refuse })
	time.Sleep(time.Second)
	owner.kill()
	time.Sleep(8 * time.Second)
	d.store.SetFault(nil)
	if took := d.runsAgain("j1", time.Now(), maxIdleOfItems); took > 2*time.Second {
		t.Errorf("the items were at no server for %v after the store was back", took)
	}
}
