package process

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/program/settings"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	gatewayTimeout = 15 * time.Second
	keyNorth       = "key-of-north"
	keySouth       = "key-of-south"
	hostName       = "desk.example"
)

// deployment is a simulated platform with gateways in front of its backend servers.
type deployment struct {
	t             *testing.T
	store         *platformtest.Store
	usageReceiver *platformtest.UsageReceiver
	services      []*platformtest.Server
	engines       []*platformtest.Server
	gateways      []*testGateway
	version       int
	client        http.Client
}

// testGateway is a running gateway with its settings and addresses.
type testGateway struct {
	*Gateway
	set settings.Settings
	url string
	// storeEndpoint is the gateway's access to the store, which a test can close.
	storeEndpoint *platformtest.Endpoint
	closed        bool
}

// newDeployment starts the platform with two services and two engines, and the given number of gateways.
func newDeployment(t *testing.T, gateways int) *deployment {
	t.Helper()
	d := &deployment{t: t, store: platformtest.NewStore(t), usageReceiver: platformtest.NewUsageReceiver(t)}
	for i := range 2 {
		d.services = append(d.services, platformtest.NewServer(t, fmt.Sprintf("desk-%d", i), "desk", nil))
		d.engines = append(d.engines, platformtest.NewServer(t, fmt.Sprintf("engine-%d", i), "engines", map[string]int{"m": 1}))
	}
	d.configure(keyNorth, keySouth)
	for _, server := range d.servers() {
		d.store.Register(server, false)
	}
	for i := range gateways {
		d.start(fmt.Sprintf("entry-%d", i))
	}
	d.client.Timeout = gatewayTimeout
	d.client.Transport = &http.Transport{DisableKeepAlives: true}
	return d
}

func (d *deployment) servers() []*platformtest.Server { return append(d.services, d.engines...) }

// configure writes the next version of the configuration, with one API key each for the organisations north and south.
func (d *deployment) configure(north, south string) {
	d.version++
	d.store.Configure(d.version, hostName, "m", []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: 3 * time.Second},
		{Name: "once", Kind: platformtest.Once, Pool: "desk", Timeout: 3 * time.Second},
		{Name: "short", Kind: platformtest.Idempotent, Pool: "desk", Timeout: 300 * time.Millisecond},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: 10 * time.Second},
	}, map[string][]string{"north": {north}, "south": {south}})
}

// start starts a gateway that has the first gateway as its seed, and waits until it is ready.
func (d *deployment) start(hostID string) *testGateway {
	d.t.Helper()
	endpoint := d.store.NewEndpoint(d.t)
	return d.startWith(d.settings(hostID, endpoint), endpoint)
}

// settings returns the settings of a gateway that reaches the store through the endpoint and has the first gateway as its seed.
func (d *deployment) settings(hostID string, endpoint *platformtest.Endpoint) settings.Settings {
	set := settings.Settings{
		Listen: platformtest.UnusedAddress(), PeerListen: platformtest.UnusedAddress(), AdminListen: platformtest.UnusedAddress(),
		AvailabilityZone: "north-a", HostID: hostID, PlatformURL: endpoint.URL(), ReportsURL: d.usageReceiver.URL(),
		PeerSecret: "a secret of the tests", UsageWindow: time.Second, LeaveDelay: 100 * time.Millisecond, DrainTime: 5 * time.Second,
		BodyLimitBytes: 1 << 20,
	}
	if len(d.gateways) > 0 {
		set.Seeds = []netip.AddrPort{d.gateways[0].set.PeerListen}
	}
	return set
}

func (d *deployment) startWith(set settings.Settings, endpoint *platformtest.Endpoint) *testGateway {
	d.t.Helper()
	var log zerolog.Logger
	if testing.Verbose() {
		log = zerolog.New(zerolog.NewTestWriter(d.t)).With().Str("hostId", set.HostID).Logger()
	}
	running, err := StartGateway(context.Background(), set, log)
	if err != nil {
		d.t.Fatal(err)
	}
	g := &testGateway{Gateway: running, set: set, url: "http://" + set.Listen.String(), storeEndpoint: endpoint}
	d.gateways = append(d.gateways, g)
	d.t.Cleanup(func() { g.kill() })
	d.eventually("gateway "+set.HostID+" is ready", func() bool {
		response, err := http.Get("http://" + set.AdminListen.String() + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return g
}

// kill stops a gateway at once, like a crash.
func (g *testGateway) kill() {
	if !g.closed {
		g.closed = true
		g.close()
	}
}

func (d *deployment) eventually(what string, holds func() bool) {
	d.t.Helper()
	for end := time.Now().Add(gatewayTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	d.t.Fatalf("timeout after %v: %s", gatewayTimeout, what)
}

// callResult is the response that a client received.
type callResult struct {
	status int
	header http.Header
	body   string
}

// call sends a request as a client does, and fails the test if there is no response.
func (d *deployment) call(g *testGateway, method, path, key, id, body string, change ...func(*http.Request)) callResult {
	d.t.Helper()
	got, err := d.tryCall(g, method, path, key, id, body, change...)
	if err != nil {
		d.t.Fatal(err)
	}
	return got
}

func (d *deployment) tryCall(g *testGateway, method, path, key, id, body string, change ...func(*http.Request)) (callResult, error) {
	request, err := http.NewRequest(method, g.url+path, bytes.NewBufferString(body))
	if err != nil {
		return callResult{}, err
	}
	request.Host = hostName
	platformtest.SetCallerHeaders(request, id, key, 5*time.Second)
	for _, each := range change {
		each(request)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return callResult{}, err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(read)}, err
}

// submission returns a batch job with groups of two items.
func submission(groups, wanted, minVersion int) string {
	var items []platformtest.Item
	for g := range groups {
		for i := range 2 {
			items = append(items, platformtest.Item{ID: fmt.Sprintf("item-%d%c", g, 'a'+i), Path: fmt.Sprintf("/job/%d", g), Group: fmt.Sprint(g)})
		}
	}
	return platformtest.Submission("m", minVersion, wanted, items)
}

// read reads the results of a job from a position on. The status is 0 if there is no response.
func (d *deployment) read(g *testGateway, job string, from int) (platformtest.Results, int) {
	d.t.Helper()
	withWait := func(request *http.Request) { platformtest.SetMaxWait(request, 500*time.Millisecond) }
	got, err := d.tryCall(g, http.MethodGet, platformtest.JobTarget(job, from), keyNorth, "read", "", withWait)
	if err != nil {
		return platformtest.Results{}, 0
	}
	if got.status != http.StatusOK {
		return platformtest.Results{}, got.status
	}
	read, err := platformtest.ReadResults(got.body)
	if err != nil {
		d.t.Fatal(err)
	}
	return read, got.status
}

// readAll reads a job until all its results are listed.
func (d *deployment) readAll(g *testGateway, job string, total int) []platformtest.Result {
	d.t.Helper()
	var all []platformtest.Result
	d.eventually("all results of "+job+" are listed", func() bool {
		read, status := d.read(g, job, len(all))
		if status != http.StatusOK {
			return false
		}
		if read.Total != total || read.Next != len(all)+len(read.Results) {
			d.t.Errorf("total %d and next %d after %d results", read.Total, read.Next, len(all))
		}
		all = append(all, read.Results...)
		return len(all) >= total
	})
	return all
}

// checkResults checks that each item is listed once with its complete output.
func (d *deployment) checkResults(all []platformtest.Result, total, events int) {
	d.t.Helper()
	seen := map[string]bool{}
	for _, each := range all {
		if seen[each.ID] {
			d.t.Errorf("%s is listed twice", each.ID)
		}
		seen[each.ID] = true
		if each.State != platformtest.Completed || each.Text != platformtest.OutputText(each.ID, events) {
			d.t.Errorf("%s is %s with %q", each.ID, each.State, each.Text)
		}
	}
	if len(all) != total {
		d.t.Errorf("%d results of %d", len(all), total)
	}
}
