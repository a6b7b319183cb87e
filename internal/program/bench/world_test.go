package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/program/loopback"
	"github.com/oleandershelf/oleandershelf/internal/program/process"
	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
	"github.com/oleandershelf/oleandershelf/internal/standin/engine"
	"github.com/oleandershelf/oleandershelf/internal/standin/platform"
	"github.com/oleandershelf/oleandershelf/internal/standin/scorer"
	"github.com/oleandershelf/oleandershelf/internal/standin/service"
	"github.com/oleandershelf/oleandershelf/internal/standin/weightstore"
)

const prepareLimit = time.Minute

// environment is a deployment that runs in this process.
type environment struct {
	b          *testing.B
	deployment scenario.Deployment
	topology   scenario.Topology
	engines    []*engine.Server
	client     *http.Client
}

// newEnvironment starts a deployment whose engines have the given options and waits until it serves requests. It stops when the
// benchmark ends.
func newEnvironment(b *testing.B, d scenario.Deployment, opts ...engine.Option) *environment {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	env := &environment{b: b, deployment: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}}
	env.topology = must(scenario.NewTopology(d, loopback.NewAllocator()))(b)
	must(platform.New(ctx, env.listen(env.topology.Platform), platform.WithHosts(env.topology.Hosts())))(b)
	must(weightstore.New(ctx, env.listen(env.topology.WeightStore)))(b)
	var processes []interface{ Close() }
	for _, place := range env.topology.Agents {
		env.startServer(ctx, place, opts)
	}
	for _, set := range env.topology.Entries {
		processes = append(processes, must(process.StartEntry(ctx, set, zerolog.Nop()))(b))
	}
	for _, place := range env.topology.Agents {
		processes = append(processes, must(process.StartAgent(ctx, place.Settings, zerolog.Nop()))(b))
	}
	b.Cleanup(func() {
		for _, running := range processes {
			running.Close()
		}
		cancel()
	})
	prepareCtx, stop := context.WithTimeout(ctx, prepareLimit)
	defer stop()
	if err := scenario.NewRunner(d, env.topology.Targets(), func(string, ...any) {}).Prepare(prepareCtx); err != nil {
		b.Fatal(err)
	}
	return env
}

// must returns a function that ends the test if err is not nil, and returns value otherwise.
func must[T any](value T, err error) func(testing.TB) T {
	return func(t testing.TB) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
}

func (env *environment) listen(address netip.AddrPort) net.Listener {
	env.b.Helper()
	return must(net.Listen("tcp", address.String()))(env.b)
}

// startServer starts the stand-in for the backend server at a place.
func (env *environment) startServer(ctx context.Context, place scenario.Agent, opts []engine.Option) {
	env.b.Helper()
	listener := env.listen(place.Server)
	switch place.Kind {
	case ticket.KindModel:
		env.engines = append(env.engines, must(engine.New(ctx, listener, opts...))(env.b))
	case ticket.KindScoring:
		must(scorer.New(ctx, listener))(env.b)
	default:
		must(service.New(ctx, listener))(env.b)
	}
}

// entryURL returns the URL of the entry that requests are sent to.
func (env *environment) entryURL() string { return env.topology.Targets().Entry }

// do sends a request with the organisation's key and returns the status and body of the response.
func (env *environment) do(method, url, organisation, body string) (int, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+env.deployment.Key(organisation))
	request.Header.Set("Request-Timeout", "120")
	response, err := env.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, raw, err
}

// waitForOK repeats a request until the response has status 200 and returns its body. It fails the benchmark after prepareLimit.
func (env *environment) waitForOK(method, url, organisation, body string) []byte {
	env.b.Helper()
	for deadline := time.Now().Add(prepareLimit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if status, raw, err := env.do(method, url, organisation, body); err == nil && status == http.StatusOK {
			return raw
		}
	}
	env.b.Fatalf("%s %s: no response with status 200", method, url)
	return nil
}

// applyTicket applies a ticket and waits until it is in force on every host.
func (env *environment) applyTicket(number int, change ticket.Ticket) {
	env.b.Helper()
	url := fmt.Sprintf("%s/v1/tickets/%d", env.entryURL(), number)
	env.waitForOK(http.MethodPost, url, env.deployment.Caller, string(must(json.Marshal(change))(env.b)))
	for deadline := time.Now().Add(prepareLimit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		var status scenario.TicketStatus
		_, raw, err := env.do(http.MethodGet, url, env.deployment.Caller, "")
		if err == nil && json.Unmarshal(raw, &status) == nil && status.Share >= 1 {
			return
		}
	}
	env.b.Fatalf("ticket %d is not in force", number)
}
