package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/admission"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/agent"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const (
	testSecret = "secret of the entry tests"
	callerKey  = "key-of-salalah-ground"
	otherKey   = "key-of-sur-field"
)

// fakeAgent is an agent whose answers are set by functions.
type fakeAgent struct {
	execute func(ctx context.Context, req request.Execute, out peer.Sink) (request.AnswerEnd, error)
	settle  func(req request.Settle) request.Settled
	// leaving is what the agent reports when it is probed.
	leaving bool

	mu       sync.Mutex
	requests []request.Execute
	host     platform.Host
}

func (f *fakeAgent) seen() []request.Execute {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]request.Execute(nil), f.requests...)
}

// echo answers 200 with the body of the call.
func echo(_ context.Context, req request.Execute, out peer.Sink) (request.AnswerEnd, error) {
	if err := out.Head(request.AnswerHead{Status: http.StatusOK}); err != nil {
		return request.AnswerEnd{}, err
	}
	_, err := out.Write(req.Body)
	return request.AnswerEnd{}, err
}

// fixture is an entry with fake agents and an in-memory platform.
type fixture struct {
	t       *testing.T
	url     string
	entry   *Entry
	memory  *standin.Memory
	views   *fakeViews
	members *fakeMembers
}

type fakeViews struct {
	mu      sync.Mutex
	view    *ticket.View
	changed chan struct{}
	stale   bool
}

func (f *fakeViews) View() *ticket.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeViews) Fresh(time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.stale
}

func (f *fakeViews) Changed() <-chan struct{} { return f.changed }

type fakeMembers struct{ hosts []platform.Host }

func (f *fakeMembers) Servers(string) []platform.Host { return f.hosts }
func (f *fakeMembers) Entries() []platform.Host       { return nil }

type noTickets struct{}

func (noTickets) Apply(context.Context, int, ticket.Ticket) error { return nil }
func (noTickets) Status(context.Context, int) (any, error)        { return struct{}{}, nil }

func testView(t *testing.T) *ticket.View {
	t.Helper()
	change, err := ticket.EmptyView().Apply(ticket.Ticket{
		Organisations: []ticket.Organisation{
			{Name: "salalah-ground", Weight: 1, KeyHashes: []string{ticket.KeyHash(callerKey)}},
			{Name: "sur-field", Weight: 1, KeyHashes: []string{ticket.KeyHash(otherKey)}},
		},
		Pools: []ticket.Pool{
			{Name: "billdesk", Kind: ticket.KindService, Organisations: []string{"salalah-ground"}, IdempotentPaths: []string{"/search"}},
			{Name: "draftmodel", Kind: ticket.KindModel, Model: "draftmodel"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	parts := map[string][]byte{}
	for _, part := range change.Parts {
		parts[part.Hash] = part.Content
	}
	view, err := ticket.NewView(1, change.Head, parts)
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// newFixture starts an entry and the fake agents; they stop when the test ends.
func newFixture(t *testing.T, agents ...*fakeAgent) *fixture {
	t.Helper()
	return newFixtureWithConfig(t, Config{HostID: "entry-1", BodyLimitBytes: 1 << 20, Incarnation: 7}, agents...)
}

// newFixtureWithConfig is newFixture with another Config.
func newFixtureWithConfig(t *testing.T, config Config, agents ...*fakeAgent) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &fixture{t: t, memory: standin.NewMemory(), members: &fakeMembers{}}
	f.views = &fakeViews{view: testView(t), changed: make(chan struct{})}
	for i, a := range agents {
		f.startAgent(ctx, i, a)
	}
	client := peer.NewClient(ctx, []byte(testSecret))
	metrics := NewMetrics(prometheus.NewRegistry())
	dispatcher := NewDispatcher(DispatcherConfig{HostID: "entry-1", AvailabilityZone: "a", Incarnation: 7}, client, f.members,
		func() uint64 { return f.views.View().Revision() }, func(usage.Count) {}, metrics)
	l := listenLoopback(t)
	f.url = "http://" + l.Addr().String()
	account := callerconn.NewAccount("callers", callerconn.Limits(512_000_000, 4096, config.BodyLimitBytes), prometheus.NewRegistry(), zerolog.Nop())
	f.entry = New(ctx, l, account, config, Deps{
		Views: f.views, Tickets: noTickets{}, Admission: admission.New(), RefusedLoad: admission.NewRefusedLoad(), Dispatcher: dispatcher, Store: f.memory, Log: zerolog.Nop(),
	}, metrics)
	t.Cleanup(func() {
		cancel()
		f.entry.Wait()
	})
	return f
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (f *fixture) startAgent(ctx context.Context, index int, a *fakeAgent) {
	l := listenLoopback(f.t)
	registry := peer.NewRegistry()
	peer.HandleStream(registry, agent.MethodExecute, func(ctx context.Context, req request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		a.mu.Lock()
		a.requests = append(a.requests, req)
		a.mu.Unlock()
		if a.execute == nil {
			return echo(ctx, req, out)
		}
		return a.execute(ctx, req, out)
	})
	peer.Handle(registry, agent.MethodSettle, func(_ context.Context, req request.Settle) (request.Settled, error) {
		if a.settle == nil {
			return request.Settled{}, verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, 0, "no record")
		}
		return a.settle(req), nil
	})
	peer.Handle(registry, agent.MethodProbe, func(context.Context, request.Probe) (request.Load, error) {
		return request.Load{Limit: 8, Draining: a.leaving}, nil
	})
	peer.NewServer(ctx, l, registry, []byte(testSecret))
	a.host = platform.Host{
		ID: fmt.Sprintf("agent-%d", index), Role: platform.RoleAgent, Pool: "billdesk", AvailabilityZone: "a",
		PeerAddress: netip.MustParseAddrPort(l.Addr().String()), State: platform.HostLive,
	}
	f.members.hosts = append(f.members.hosts, a.host)
}

// answer is the response that a caller received.
type answer struct {
	status  int
	verdict verdict.Verdict
	reason  verdict.Reason
	body    string
}

// send sends a request with the caller's key; header alternates names and values.
func (f *fixture) send(method, path, body string, header ...string) answer {
	f.t.Helper()
	req, err := http.NewRequest(method, f.url+path, bytes.NewBufferString(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	result := answer{status: response.StatusCode, body: string(content)}
	var refusal refusalBody
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(content, &refusal) == nil {
		result.verdict, result.reason = refusal.Verdict, refusal.Reason
	}
	return result
}

// runs counts the calls that reached the agents.
func runs(agents ...*fakeAgent) int {
	total := 0
	for _, a := range agents {
		total += len(a.seen())
	}
	return total
}
