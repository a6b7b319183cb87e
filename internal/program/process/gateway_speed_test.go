package process

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/program/settings"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// The engines and items of the tests of uneven speed. A long item takes 3 s at an engine of the usual speed and 1 s at the fast one.
const (
	shortEvents, longEvents = 10, 100
	usualInterval           = 30 * time.Millisecond
	fastFactor              = 1.0 / 3
)

// isLong reports whether an item of the job of runUnevenJob is a long one. All jobs state the same expected length for all items.
func isLong(item string) bool {
	return slices.Contains([]string{"item-2a", "item-2b", "item-3a", "item-3b"}, item)
}

// newUnevenDeployment starts four engines of which the first is fast, and a gateway with speed placement on or off.
func newUnevenDeployment(t *testing.T, speedPlacement string) *deployment {
	t.Helper()
	d := newDeployment(t, 0)
	for i := len(d.engines); i < 4; i++ {
		d.engines = append(d.engines, platformtest.NewServer(t, fmt.Sprintf("engine-%d", i), "engines", map[string]int{"m": 1}))
		d.store.Register(d.engines[i], false)
	}
	for _, engine := range d.engines {
		engine.SetStream(shortEvents, usualInterval)
	}
	d.engines[0].SetTimeFactor(fastFactor)
	endpoint := d.store.NewEndpoint(t)
	d.startWith(d.settingsWith("entry-0", endpoint, "speedPlacement", speedPlacement), endpoint)
	return d
}

// settingsWith returns the settings of a gateway as read from a settings file that also sets the named field.
func (d *deployment) settingsWith(hostID string, endpoint *platformtest.Endpoint, field, value string) settings.Settings {
	d.t.Helper()
	set := d.settings(hostID, endpoint)
	data, err := json.Marshal(map[string]any{
		"listen": set.Listen, "peerListen": set.PeerListen, "adminListen": set.AdminListen, "availabilityZone": set.AvailabilityZone,
		"hostId": hostID, "platformUrl": set.PlatformURL, "reportsUrl": set.ReportsURL, "peerSecret": set.PeerSecret,
		"usageWindow": set.UsageWindow.String(), "leaveDelay": set.LeaveDelay.String(), "drainTime": set.DrainTime.String(), field: value,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	set, err = settings.Parse(hostID+".json", data, settings.RoleGateway)
	if err != nil {
		d.t.Fatal(err)
	}
	return set
}

// hasMetric reports whether the gateway's metrics contain the line.
func (d *deployment) hasMetric(g *testGateway, line string) bool {
	response, err := http.Get("http://" + g.set.AdminListen.String() + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(body), line)
}

// runUnevenJob runs a job of 16 items, as many as there are slots, and returns at which engines each long item was run, in order.
func (d *deployment) runUnevenJob(job string) map[string][]*platformtest.Server {
	d.t.Helper()
	for _, engine := range d.engines {
		engine.SetItemEvents(func(item string) int {
			if isLong(item) {
				return longEvents
			}
			return shortEvents
		})
	}
	d.submit(d.gateways[0], job, submission(8, 8, 1))
	for _, result := range d.readAll(d.gateways[0], job, 16) {
		events := shortEvents
		if isLong(result.ID) {
			events = longEvents
		}
		if result.State != platformtest.Completed || result.Text != platformtest.OutputText(result.ID, events) {
			d.t.Errorf("%s is %s with %d bytes", result.ID, result.State, len(result.Text))
		}
	}
	type start struct {
		at     time.Time
		engine *platformtest.Server
	}
	starts := map[string][]start{}
	for _, engine := range d.engines {
		for _, request := range engine.Requests() {
			if isLong(request.ID()) {
				starts[request.ID()] = append(starts[request.ID()], start{at: request.ReceivedAt, engine: engine})
			}
		}
	}
	runs := map[string][]*platformtest.Server{}
	for item, all := range starts {
		slices.SortFunc(all, func(a, b start) int { return a.at.Compare(b.at) })
		for _, each := range all {
			runs[item] = append(runs[item], each.engine)
		}
	}
	return runs
}

// warmUp runs a job of short items, by which the gateway learns the speeds. Its items have other ids than those of later jobs.
func (d *deployment) warmUp(job string) {
	d.t.Helper()
	var items []platformtest.Item
	for i := range 32 {
		items = append(items, platformtest.Item{ID: fmt.Sprintf("%s-%d", job, i), Path: "/job/w", Group: fmt.Sprint(i / 2)})
	}
	d.submit(d.gateways[0], job, platformtest.Submission("m", 1, 16, items))
	d.readAll(d.gateways[0], job, len(items))
}

// Guards against long items that determine the time of their step at servers that take three times as long, while the slots of a fast
// server are free.
func TestLongItemsMoveToTheFastServer(t *testing.T) {
	d := newUnevenDeployment(t, "auto")
	for warm := 0; !d.hasMetric(d.gateways[0], `oleandershelf_pool_uneven{pool="engines"} 1`); warm++ {
		if warm == 8 {
			t.Fatal("the pool is not known to be uneven")
		}
		d.warmUp(fmt.Sprintf("w%d", warm))
	}
	atFast := 0
	for item, engines := range d.runUnevenJob("j1") {
		if last := engines[len(engines)-1]; last == d.engines[0] {
			atFast++
		}
		if len(engines) > 4 {
			t.Errorf("%s moved %d times", item, len(engines)-1)
		}
	}
	// One of the four may be near its end when a slot becomes free, so that a move would gain too little.
	if atFast < 3 {
		t.Errorf("%d of 4 long items ended at the fast server", atFast)
	}
}

// Guards against a setting that is off and still changes which server runs an item, or moves one.
func TestItemsSpreadEvenlyWithoutSpeedPlacement(t *testing.T) {
	d := newUnevenDeployment(t, "off")
	d.warmUp("w0")
	before := map[*platformtest.Server]int{}
	for _, engine := range d.engines {
		before[engine] = len(engine.Requests())
	}
	atFast := 0
	for item, engines := range d.runUnevenJob("j1") {
		if len(engines) != 1 {
			t.Errorf("%s ran %d times", item, len(engines))
		}
		if engines[0] == d.engines[0] {
			atFast++
		}
	}
	if atFast > 2 {
		t.Errorf("%d of 4 long items ran at the fast server", atFast)
	}
	for _, engine := range d.engines {
		if runs := len(engine.Requests()) - before[engine]; runs != 4 {
			t.Errorf("%s ran %d items", engine.ID, runs)
		}
	}
}
