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

// world is a deployment that runs in this process.
type world struct {
	b          *testing.B
	deployment scenario.Deployment
	topology   scenario.Topology
	engines    []*engine.Server
	client     *http.Client
}

// newWorld starts the deployment with engines of the options and waits until it serves; it ends with the benchmark.
func newWorld(b *testing.B, d scenario.Deployment, opts ...engine.Option) *world {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{b: b, deployment: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}}
	w.topology = must(scenario.NewTopology(d, loopback.Addresses()))(b)
	must(platform.New(ctx, w.listen(w.topology.Platform), platform.WithHosts(w.topology.Hosts())))(b)
	must(weightstore.New(ctx, w.listen(w.topology.WeightStore)))(b)
	var parts []interface{ Close() }
	for _, place := range w.topology.Places {
		w.startServer(ctx, place, opts)
	}
	for _, set := range w.topology.Entries {
		parts = append(parts, must(process.StartEntry(ctx, set, zerolog.Nop()))(b))
	}
	for _, place := range w.topology.Places {
		parts = append(parts, must(process.StartAgent(ctx, place.Settings, zerolog.Nop()))(b))
	}
	b.Cleanup(func() {
		for _, part := range parts {
			part.Close()
		}
		cancel()
	})
	limit, stop := context.WithTimeout(ctx, prepareLimit)
	defer stop()
	if err := scenario.NewPlayer(d, w.topology.Targets(), func(string, ...any) {}).Prepare(limit); err != nil {
		b.Fatal(err)
	}
	return w
}

func must[T any](value T, err error) func(testing.TB) T {
	return func(t testing.TB) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
}

func (w *world) listen(address netip.AddrPort) net.Listener {
	w.b.Helper()
	return must(net.Listen("tcp", address.String()))(w.b)
}

func (w *world) startServer(ctx context.Context, place scenario.Place, opts []engine.Option) {
	w.b.Helper()
	l := w.listen(place.Server)
	switch place.Kind {
	case ticket.KindModel:
		w.engines = append(w.engines, must(engine.New(ctx, l, opts...))(w.b))
	case ticket.KindScoring:
		must(scorer.New(ctx, l))(w.b)
	default:
		must(service.New(ctx, l))(w.b)
	}
}

func (w *world) entry() string { return w.topology.Targets().Entry }

// do sends a request with the organisation's key and returns the whole answer.
func (w *world) do(method, url, organisation, body string) (int, []byte, error) {
	q, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, err
	}
	q.Header.Set("Authorization", "Bearer "+w.deployment.Key(organisation))
	q.Header.Set("Request-Timeout", "120")
	answer, err := w.client.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	raw, err := io.ReadAll(answer.Body)
	return answer.StatusCode, raw, err
}

// until repeats a request until it is answered with 200.
func (w *world) until(method, url, organisation, body string) []byte {
	w.b.Helper()
	for end := time.Now().Add(prepareLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, raw, err := w.do(method, url, organisation, body); err == nil && status == http.StatusOK {
			return raw
		}
	}
	w.b.Fatalf("%s %s: never answered well", method, url)
	return nil
}

// apply applies a ticket and waits until every host has it.
func (w *world) apply(number int, change ticket.Ticket) {
	w.b.Helper()
	url := fmt.Sprintf("%s/v1/tickets/%d", w.entry(), number)
	w.until(http.MethodPost, url, w.deployment.Caller, string(must(json.Marshal(change))(w.b)))
	for end := time.Now().Add(prepareLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var seen scenario.TicketSeen
		_, raw, err := w.do(http.MethodGet, url, w.deployment.Caller, "")
		if err == nil && json.Unmarshal(raw, &seen) == nil && seen.Share >= 1 {
			return
		}
	}
	w.b.Fatalf("ticket %d is not in force", number)
}
