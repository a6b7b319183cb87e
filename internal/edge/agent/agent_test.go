package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

const (
	testKey       = "key of a caller"
	testKey2      = "key of another caller"
	pathOK        = "/ok"
	pathHold      = "/hold"
	pathStream    = "/stream"
	pathReset     = "/reset"
	pathTruncated = "/truncated"
	pathRefused   = "/refused"
)

var testSecret = []byte("a secret of the tests")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// fakeConfiguration holds a view that a test can replace.
type fakeConfiguration struct {
	mu      sync.Mutex
	view    *ticket.View
	changed chan struct{}
}

func (c *fakeConfiguration) View() *ticket.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *fakeConfiguration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// set publishes a view with the given model version, 0 for none, and the keys of each organisation.
func (c *fakeConfiguration) set(t testing.TB, kind ticket.PoolKind, version int, organisations map[string][]string) {
	t.Helper()
	c.setWithUpcoming(t, kind, version, 0, organisations)
}

// setWithUpcoming publishes a view that also has an upcoming model version, 0 for none.
func (c *fakeConfiguration) setWithUpcoming(t testing.TB, kind ticket.PoolKind, version, upcoming int, organisations map[string][]string) {
	t.Helper()
	head := ticket.Head{Parts: map[string]string{}, ModelVersions: map[string]ticket.ModelVersion{}}
	parts := map[string][]byte{}
	add := func(name string, part any) {
		content, err := json.Marshal(part)
		if err != nil {
			t.Fatal(err)
		}
		parts[name] = content
		head.Parts[name] = name
	}
	for name, keys := range organisations {
		o := ticket.Organisation{Name: name}
		for _, key := range keys {
			o.KeyHashes = append(o.KeyHashes, keyHash(key))
		}
		add("organisation/"+name, o)
	}
	add("pool/p", ticket.Pool{Name: "p", Kind: kind, Model: "m", Concurrency: 2})
	if version > 0 {
		head.ModelVersions["m"] = ticket.ModelVersion{Model: "m", Version: version, Weights: "w"}
	}
	if upcoming > 0 {
		head.Upcoming = map[string]ticket.ModelVersion{"m": {Model: "m", Version: upcoming, Weights: "w"}}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	revision := uint64(1)
	if c.view != nil {
		revision = c.view.Revision() + 1
	}
	view, err := ticket.NewView(revision, head, parts)
	if err != nil {
		t.Fatal(err)
	}
	c.view = view
	if c.changed != nil {
		close(c.changed)
	}
	c.changed = make(chan struct{})
}

// fakeServer is a backend server whose behaviour depends on the path of the call.
type fakeServer struct {
	mu    sync.Mutex
	calls []Call
	// started receives the path of each call. disconnected receives the cancellation cause of each call that ended
	// before release was closed.
	started      chan string
	disconnected chan error
	release      chan struct{}
}

func (s *fakeServer) Call(ctx context.Context, call Call) (*Reply, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	s.started <- call.Path
	switch call.Path {
	case pathRefused:
		return nil, errors.Wrap(ErrNotSent, "connect")
	case pathReset:
		return nil, errors.New("connection reset")
	case pathHold:
		select {
		case <-s.release:
		case <-ctx.Done():
			s.disconnected <- context.Cause(ctx)
			return nil, ctx.Err()
		}
	}
	body := io.Reader(strings.NewReader("data: a\n\ndata: b\n\n"))
	switch call.Path {
	case pathTruncated:
		body = io.MultiReader(body, failingReader{})
	case pathStream:
		return &Reply{Status: 200, Body: &streamBody{ctx: ctx, server: s}}, nil
	}
	return &Reply{Status: 200, Body: io.NopCloser(body)}, nil
}

func (s *fakeServer) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// streamBody returns one event and then blocks until the server releases it, its context ends or it is closed. If it
// ends before its release, it reports that to the server once, as a server notices a closed connection. This includes
// a Close by a reader that stops reading.
type streamBody struct {
	ctx       context.Context
	server    *fakeServer
	sentFirst bool
	closed    bool
}

func (b *streamBody) Read(p []byte) (int, error) {
	if !b.sentFirst {
		b.sentFirst = true
		return copy(p, "data: a\n\n"), nil
	}
	select {
	case <-b.server.release:
		b.closed = true
		return 0, io.EOF
	case <-b.ctx.Done():
		_ = b.Close()
		return 0, b.ctx.Err()
	}
}

func (b *streamBody) Close() error {
	if !b.closed {
		b.closed = true
		b.server.disconnected <- context.Cause(b.ctx)
	}
	return nil
}

// harness runs an agent behind a peer server, with a client.
type harness struct {
	config  *fakeConfiguration
	server  *fakeServer
	engine  Engine
	agent   *Agent
	client  *peer.Client
	address netip.AddrPort
	counter uint64
	// keptPort is the socket on which the agent listens; nil for a new port.
	keptPort *os.File
	listener *processListener
	// kill stops the agent like SIGKILL does: it sends no more answers.
	kill func()
	// stale is set to make the agent's configuration unconfirmed.
	stale atomic.Bool
}

func newHarness(t testing.TB, kind ticket.PoolKind) *harness {
	t.Helper()
	return startHarness(t, &harness{config: &fakeConfiguration{}}, kind)
}

func startHarness(t testing.TB, h *harness, kind ticket.PoolKind) *harness {
	t.Helper()
	if h.config.View() == nil {
		h.config.set(t, kind, 0, map[string][]string{"a": {testKey}, "b": {testKey2}})
	}
	h.server = &fakeServer{
		started:      make(chan string, 1000),
		disconnected: make(chan error, 1000),
		release:      make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	a, err := New(ctx, Config{HostID: "h", AvailabilityZone: "z", Pool: "p", Incarnation: 9}, Dependencies{
		View:       h.config.View,
		Changed:    h.config.Changed,
		Fresh:      func(time.Time) bool { return !h.stale.Load() },
		Server:     h.server,
		Engine:     h.engine,
		Ledger:     usage.NewLedger(),
		Registerer: prometheus.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	registry := peer.NewRegistry()
	a.Register(registry)
	l := listen(t, h.keptPort)
	h.agent, h.listener, h.address = a, l, l.Addr().(*net.TCPAddr).AddrPort()
	peers := peer.NewServer(ctx, l, registry, testSecret)
	h.client = peer.NewClient(ctx, testSecret)
	client := h.client
	h.kill = func() {
		l.kill()
		cancel()
		_ = peers.Close()
		a.Wait()
		client.Wait()
	}
	t.Cleanup(h.kill)
	return h
}

// newPeerClient returns a client that is not closed when the agent is killed.
func newPeerClient(t *testing.T) *peer.Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	client := peer.NewClient(ctx, testSecret)
	t.Cleanup(func() {
		cancel()
		client.Wait()
	})
	return client
}

func (h *harness) newRequest(path string) request.Execute {
	h.counter++
	return request.Execute{
		ID:           request.ID{Incarnation: 5, Counter: h.counter},
		Organisation: "a",
		KeyHash:      keyHash(testKey),
		Pool:         "p",
		Method:       "POST",
		Path:         path,
		Remaining:    time.Minute,
		Cost:         1,
	}
}

type answer struct {
	body string
	end  request.AnswerEnd
	err  error
}

// send sends a request and reads its complete answer.
func (h *harness) send(ctx context.Context, req request.Execute) answer {
	a, err := peer.OpenStream[request.Execute, request.AnswerEnd](ctx, h.client, h.address, MethodExecute, req)
	if err != nil {
		return answer{err: err}
	}
	var body strings.Builder
	for {
		chunk, err := a.Next()
		body.Write(chunk)
		if errors.Is(err, io.EOF) {
			return answer{body: body.String(), end: a.End()}
		}
		if err != nil {
			return answer{body: body.String(), err: err}
		}
	}
}

func (h *harness) sendAsync(ctx context.Context, req request.Execute) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- h.send(ctx, req) }()
	return done
}

// waitForQueued waits until the given number of requests is queued.
func (h *harness) waitForQueued(t testing.TB, count int) {
	t.Helper()
	for {
		load, err := peer.Call[request.Probe, request.Load](t.Context(), h.client, h.address, MethodProbe, request.Probe{})
		if err != nil {
			t.Fatal(err)
		}
		if load.Queued == count {
			return
		}
	}
}

func (h *harness) settle(t testing.TB, id request.ID) request.Settled {
	t.Helper()
	settled, err := peer.Call[request.Settle, request.Settled](t.Context(), h.client, h.address, MethodSettle,
		request.Settle{ID: id, Process: h.agent.processIncarnation.Load()})
	if err != nil {
		t.Fatal(err)
	}
	return settled
}
