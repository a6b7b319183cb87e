package process

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

func TestVersionsAreLoadedAndUsed(t *testing.T) {
	d := newDeployment(t, 2)
	d.store.PutModelVersion("m", 3)
	d.eventually("an engine was ordered", func() bool { return len(d.engines[0].Orders())+len(d.engines[1].Orders()) > 0 })
	for _, engine := range d.engines {
		for _, order := range engine.Orders() {
			if order.Version != 3 || order.Strategy != "retain" || order.Holder == "" || order.FenceToken == 0 || order.Expect == nil {
				t.Errorf("%+v", order)
			}
			d.store.Register(engine, false)
		}
	}
	d.submit(d.gateways[0], "j1", submission(2, 2, 2))
	for _, each := range d.readAll(d.gateways[0], "j1", 4) {
		for _, version := range each.Versions {
			if version < 2 {
				t.Errorf("%s was made by version %d", each.ID, version)
			}
		}
	}
}

// The list says that an engine holds new weights, and the engine, restarted, has the old ones. What it makes may not be used.
func TestWeightsThatAreTooOldAreNotUsed(t *testing.T) {
	d := newDeployment(t, 1)
	for _, engine := range d.engines {
		d.store.RegisterWithVersion(engine, "m", 5)
	}
	d.engines[1].SetVersion("m", 5)
	d.eventually("the entry knows the list", func() bool {
		for _, server := range d.gateways[0].view.Snapshot().Servers {
			if server.Pool == "engines" && server.Models["m"] != 5 {
				return false
			}
		}
		return true
	})
	d.submit(d.gateways[0], "j1", submission(4, 4, 5))
	for _, each := range d.readAll(d.gateways[0], "j1", 8) {
		if len(each.Versions) != 1 || each.Versions[0] != 5 {
			t.Errorf("%+v", each)
		}
	}
}

// reports returns the last figures of each window and checks that no window was reported with two.
func reports(t *testing.T, duties *platformtest.UsageReceiver) map[int64]map[string]uint64 {
	t.Helper()
	windows := map[int64]map[string]uint64{}
	fence := uint64(0)
	for _, report := range duties.Reports() {
		if known, ok := windows[report.Window]; ok && known["north"] != report.Counts["north"] {
			t.Errorf("window %d: %v and %v", report.Window, known, report.Counts)
		}
		windows[report.Window] = report.Counts
		if report.Fencing < fence {
			t.Errorf("fencing number %d after %d", report.Fencing, fence)
		}
		fence = report.Fencing
	}
	return windows
}

func reported(windows map[int64]map[string]uint64) uint64 {
	sum := uint64(0)
	for _, counts := range windows {
		sum += counts["north"]
	}
	return sum
}

// Usage is counted at all entries and reported once for each window, also when the entry that reports changes in between.
func TestUsageIsReportedOnce(t *testing.T) {
	d := newDeployment(t, 3)
	d.eventually("entries know each other", func() bool { return len(d.gateways[0].gossip.Alive(time.Now())) == 2 })
	call := func(g *testGateway, count int) {
		for range count {
			if got := d.ask(g, http.MethodPost, "/safe/", keyNorth, "r", "q"); got.status != http.StatusOK {
				t.Fatalf("%+v", got)
			}
		}
	}
	for _, g := range d.gateways {
		call(g, 5)
	}
	d.eventually("the calls are reported", func() bool { return reported(reports(t, d.duties)) == 15 })
	for i, g := range d.gateways {
		if _, held := g.keeper.Held(time.Now()); held {
			g.kill()
			call(d.gateways[(i+1)%3], 4)
			break
		}
	}
	d.eventually("the successor reports", func() bool { return reported(reports(t, d.duties)) == 19 })
}

func TestRetirementsAreReported(t *testing.T) {
	d := newDeployment(t, 1)
	d.store.Retire("store-1")
	d.eventually("the host may be taken away", func() bool { return d.store.ReportedEmpty("store-1") })
}

// Guards against a holder of the duties that ignores the token rates of jobs that run at other entries.
func TestEachEntryKnowsTheTokenRatesOfAllJobs(t *testing.T) {
	d := newDeployment(t, 3)
	for _, engine := range d.engines {
		engine.SetStream(50, 100*time.Millisecond)
	}
	d.submit(d.gateways[1], "j1", submission(4, 4, 1))
	for i, g := range d.gateways {
		d.eventually(fmt.Sprintf("entry %d knows the token rate", i), func() bool { return g.news.tokenRates(time.Now())["m"] > 0 })
	}
}
