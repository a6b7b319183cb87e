package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

func TestMain(m *testing.M) {
	// The HTTP library starts one goroutine per process that formats the date header.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const (
	// callTimeout is long enough that no call is lost on a busy machine.
	callTimeout = time.Minute
	// writeDelay is longer than the stand-in takes to count a call, so that the test can cancel the write in between.
	writeDelay = 2 * time.Second
)

// startStandin serves a stand-in of the platform over loopback and returns it with a client.
func startStandin(t *testing.T, opts ...standin.Option) (*standin.Server, *platform.Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := standin.New(context.Background(), listener, opts...)
	if err != nil {
		t.Fatal(err)
	}
	client := platform.NewClient(server.URL(), platform.WithCallTimeout(callTimeout))
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return server, client
}

// Guards against lists that can't be read because they are longer than the answers of servers may be.
func TestLongListIsRead(t *testing.T) {
	const count, length = 12, 500 << 10
	_, client := startStandin(t)
	value, err := json.Marshal(strings.Repeat("x", length))
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		if _, err := client.Put(t.Context(), fmt.Sprintf("counts/%d", i), value, 0); err != nil {
			t.Fatal(err)
		}
	}
	objects, err := client.List(t.Context(), "counts/")
	if err != nil || len(objects) != count {
		t.Errorf("%d objects, %v", len(objects), err)
	}
}

func TestObjectsOverHTTP(t *testing.T) {
	_, client := startStandin(t)
	ctx := t.Context()
	names := []string{"lease/usage/0", "a b/ü?x=1", "plain", "dots/../kept//double"}
	for _, name := range names {
		version, err := client.Put(ctx, name, json.RawMessage(`{"n":1}`), 0)
		if err != nil {
			t.Fatal(err)
		}
		object, err := client.Get(ctx, name)
		if err != nil {
			t.Fatal(err)
		}
		want := platform.Object{Name: name, Version: version, Value: json.RawMessage(`{"n":1}`)}
		if diff := cmp.Diff(want, object); diff != "" {
			t.Error(diff)
		}
	}
	listed, err := client.List(ctx, "lease/")
	if err != nil || len(listed) != 1 {
		t.Errorf("list: got %v, %v, want one object", listed, err)
	}
	if err := client.Delete(ctx, "plain", listed[0].Version+2); err != nil {
		t.Errorf("delete: %v", err)
	}
}

func TestErrorsOverHTTP(t *testing.T) {
	server, client := startStandin(t)
	first, err := client.Put(t.Context(), "known", json.RawMessage(`1`), 0)
	if err != nil {
		t.Fatal(err)
	}
	put := func(ifVersion platform.Version) error {
		_, err := client.Put(t.Context(), "known", json.RawMessage(`2`), ifVersion)
		return err
	}
	get := func(name string) error {
		_, err := client.Get(t.Context(), name)
		return err
	}
	order := func(fencing platform.Version) error {
		return client.Order(t.Context(), platform.ServerOrder{AvailabilityZone: "begnas", Pool: "billdesk", Fencing: fencing})
	}
	cases := []struct {
		name   string
		faults standin.Faults
		call   func() error
		want   error
	}{
		{name: "absent object", call: func() error { return get("unknown") }, want: platform.ErrNotFound},
		{name: "old version", call: func() error { return put(first + 1) }, want: platform.ErrConflict},
		{name: "newer fencing", call: func() error { return order(7) }},
		{name: "older fencing", call: func() error { return order(6) }, want: platform.ErrFenced},
		{name: "older fencing ignored", faults: standin.Faults{IgnoreFencing: true}, call: func() error { return order(6) }},
		{name: "write in an outage", faults: standin.Faults{Outage: true},
			call: func() error { return put(first) }, want: platform.ErrUnavailable},
		{name: "read in an outage", faults: standin.Faults{Outage: true},
			call: func() error { return get("known") }, want: platform.ErrUnavailable},
		{name: "rate limit", faults: standin.Faults{CallsPerSecond: 0.001},
			call: func() error { _ = get("known"); return get("known") }, want: platform.ErrUnavailable},
		{name: "lost answer of a write", faults: standin.Faults{LoseAnswers: 1},
			call: func() error { return put(first) }, want: platform.ErrOutcomeUnknown},
		{name: "the write of the lost answer took effect", call: func() error { return put(first) }, want: platform.ErrConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server.SetFaults(c.faults)
			if err := c.call(); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against a lease holder treating a renewal as failed that still takes effect: the platform is slow, and the
// holder's deadline passes after the write was sent.
func TestWriteWhoseContextEndsAfterSendingIsUnsettled(t *testing.T) {
	server, client := startStandin(t)
	server.SetDelay(writeDelay)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		for server.Calls()[standin.KindPut] == 0 && t.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
	})
	if _, err := client.Put(ctx, "lease", json.RawMessage(`1`), 0); !errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Errorf("context ended after sending: got %v", err)
	}
	if _, err := client.Put(ctx, "lease", json.RawMessage(`1`), 0); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("context ended before sending: got %v", err)
	}
	object, err := client.Watch(t.Context(), "lease", 0, callTimeout)
	if err != nil || string(object.Value) != "1" {
		t.Errorf("the write did not take effect: %v, %v", object, err)
	}
}

func TestWatchOverHTTP(t *testing.T) {
	server, client := startStandin(t)
	first, err := server.Put(t.Context(), "head", json.RawMessage(`1`), 0)
	if err != nil {
		t.Fatal(err)
	}
	unchanged, err := client.Watch(t.Context(), "head", first, time.Millisecond)
	if err != nil || unchanged.Version != first {
		t.Errorf("unchanged: %v, %v", unchanged, err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		changed, err := client.Watch(t.Context(), "head", first, 30*time.Second)
		if err != nil || changed.Version <= first {
			t.Errorf("changed: %v, %v", changed, err)
		}
	})
	if _, err := server.Put(t.Context(), "head", json.RawMessage(`2`), first); err != nil {
		t.Fatal(err)
	}
	group.Wait()
}

func TestReportsAndHostsOverHTTP(t *testing.T) {
	hosts := []platform.Host{
		{ID: "agent-1", Role: platform.RoleAgent, Pool: "billdesk", AvailabilityZone: "begnas",
			PeerAddress: netip.MustParseAddrPort("127.0.0.1:7001")},
		{ID: "entry-1", Role: platform.RoleEntry, AvailabilityZone: "begnas"},
	}
	server, client := startStandin(t, standin.WithHosts(hosts))
	for _, raw := range []string{`{"a":1}`, `{"a":1}`} {
		if err := client.Report(t.Context(), "w/org one", json.RawMessage(raw)); err != nil {
			t.Fatal(err)
		}
	}
	if err := client.Report(t.Context(), "w/org one", json.RawMessage(`{"a":2}`)); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("differing report: got %v", err)
	}
	if diff := cmp.Diff([]string{"w/org one"}, server.Violations()); diff != "" {
		t.Error(diff)
	}
	if err := client.Order(t.Context(), platform.ServerOrder{AvailabilityZone: "begnas", Pool: "billdesk", Count: 1}); err != nil {
		t.Fatal(err)
	}
	listed, err := client.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for i := range hosts {
		hosts[i].State = platform.HostLive
	}
	if diff := cmp.Diff(hosts, listed, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Error(diff)
	}
}
