package process

import (
	"net/http"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// A job was accepted and read. Then its route, the only one of its host, is removed from the configuration. Calls on the
// job must not be answered with 404.
func TestJobIsFoundAfterItsRouteWasRemoved(t *testing.T) {
	d := newDeployment(t, 1)
	d.submit(d.gateways[0], "j1", submission(2, 2, 1))
	d.checkResults(d.readAll(d.gateways[0], "j1", 4), 4, streamEvents)
	d.version++
	d.store.Configure(d.version, "other.example", "m", []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: 3 * time.Second},
	}, map[string][]string{"north": {keyNorth}, "south": {keySouth}})
	d.eventually("the configuration is in force", func() bool {
		table := d.gateways[0].view.Snapshot().Table
		_, matched := table.Match("other.example", "/safe/x")
		return matched
	})
	for _, call := range []struct{ method, path string }{
		{http.MethodGet, platformtest.JobTarget("j1", 0)},
		{http.MethodGet, platformtest.ItemTarget("j1", "item-0a")},
		{http.MethodDelete, platformtest.JobTarget("j1", 0)},
	} {
		got := d.call(d.gateways[0], call.method, call.path, keyNorth, "j1", submission(2, 2, 1))
		if got.status == http.StatusNotFound {
			t.Errorf("%s %s of an accepted job: %d %s", call.method, call.path, got.status, got.body)
		}
	}
}
