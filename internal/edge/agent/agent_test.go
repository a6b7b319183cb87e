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
	testKey   = "key of a caller"
	testKey2  = "key of another caller"
	pathOK    = "/ok"
	pathHold  = "/hold"
	pathFlow  = "/flow"
	pathLost  = "/lost"
	pathCut   = "/cut"
	pathClosd = "/closed"
)

var testSecret = []byte("a secret of the tests")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// configuration is a view that a test changes.
type configuration struct {
	mu      sync.Mutex
	view    *ticket.View
	changed chan struct{}
}

func (c *configuration) View() *ticket.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *configuration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// set puts a view in force: organisation name to keys, and the version of the model.
func (c *configuration) set(t testing.TB, kind ticket.PoolKind, version int, organisations map[string][]string) {
	t.Helper()
	c.announce(t, kind, version, 0, organisations)
}

// announce sets a view with an upcoming version of the weights, 0 for none.
func (c *configuration) announce(t testing.TB, kind ticket.PoolKind, version, upcoming int, organisations map[string][]string) {
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

// fakeServer is a backend server that behaves as the path of a call says.
type fakeServer struct {
	mu      sync.Mutex
	calls   []Call
	started chan string
	ended   chan error
	release chan struct{}
}

func (s *fakeServer) Call(ctx context.Context, call Call) (*Reply, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	s.started <- call.Path
	switch call.Path {
	case pathClosd:
		return nil, errors.Wrap(ErrNotSent, "connect")
	case pathLost:
		return nil, errors.New("connection reset")
	case pathHold:
		select {
		case <-s.release:
		case <-ctx.Done():
			s.ended <- context.Cause(ctx)
			return nil, ctx.Err()
		}
	}
	body := io.Reader(strings.NewReader("data: a\n\ndata: b\n\n"))
	switch call.Path {
	case pathCut:
		body = io.MultiReader(body, failingReader{})
	case pathFlow:
		return &Reply{Status: 200, Body: &flow{ctx: ctx, server: s}}, nil
	}
	return &Reply{Status: 200, Body: io.NopCloser(body)}, nil
}

func (s *fakeServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// flow yields bytes until it is released, cut or closed. It tells the server once of an end before its own, as a
// server sees its connection end: also of a close by a reader that reads no more.
type flow struct {
	ctx    context.Context
	server *fakeServer
	open   bool
	ended  bool
}

func (f *flow) Read(p []byte) (int, error) {
	if !f.open {
		f.open = true
		return copy(p, "data: a\n\n"), nil
	}
	select {
	case <-f.server.release:
		f.ended = true
		return 0, io.EOF
	case <-f.ctx.Done():
		_ = f.Close()
		return 0, f.ctx.Err()
	}
}

func (f *flow) Close() error {
	if !f.ended {
		f.ended = true
		f.server.ended <- context.Cause(f.ctx)
	}
	return nil
}

// bench is an agent behind a peer server, and a client.
type bench struct {
	config  *configuration
	server  *fakeServer
	engine  Engine
	agent   *Agent
	client  *peer.Client
	address netip.AddrPort
	counter uint64
	// port is where the agent listens; nil for a new one.
	port     *os.File
	listener *processListener
	// kill ends the agent's process without a last answer.
	kill func()
	// stale makes the agent's configuration unconfirmed.
	stale atomic.Bool
}

func newBench(t testing.TB, kind ticket.PoolKind) *bench {
	t.Helper()
	return startBench(t, &bench{config: &configuration{}}, kind)
}

func startBench(t testing.TB, b *bench, kind ticket.PoolKind) *bench {
	t.Helper()
	if b.config.View() == nil {
		b.config.set(t, kind, 0, map[string][]string{"a": {testKey}, "b": {testKey2}})
	}
	b.server = &fakeServer{
		started: make(chan string, 1000),
		ended:   make(chan error, 1000),
		release: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	a, err := New(ctx, Config{HostID: "h", AvailabilityZone: "z", Pool: "p", Incarnation: 9}, Dependencies{
		View:       b.config.View,
		Changed:    b.config.Changed,
		Fresh:      func(time.Time) bool { return !b.stale.Load() },
		Server:     b.server,
		Engine:     b.engine,
		Ledger:     usage.NewLedger(),
		Registerer: prometheus.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	registry := peer.NewRegistry()
	a.Register(registry)
	l := listen(t, b.port)
	b.agent, b.listener, b.address = a, l, l.Addr().(*net.TCPAddr).AddrPort()
	peers := peer.NewServer(ctx, l, registry, testSecret)
	b.client = peer.NewClient(ctx, testSecret)
	client := b.client
	b.kill = func() {
		l.kill()
		cancel()
		_ = peers.Close()
		a.Wait()
		client.Wait()
	}
	t.Cleanup(b.kill)
	return b
}

// newClient returns a client that outlives the agent's process.
func newClient(t *testing.T) *peer.Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	client := peer.NewClient(ctx, testSecret)
	t.Cleanup(func() {
		cancel()
		client.Wait()
	})
	return client
}

func (b *bench) execute(path string) request.Execute {
	b.counter++
	return request.Execute{
		ID:           request.ID{Incarnation: 5, Counter: b.counter},
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

// send runs a request to its end.
func (b *bench) send(ctx context.Context, q request.Execute) answer {
	a, err := peer.OpenStream[request.Execute, request.AnswerEnd](ctx, b.client, b.address, MethodExecute, q)
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

func (b *bench) sendAsync(ctx context.Context, q request.Execute) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- b.send(ctx, q) }()
	return done
}

// untilQueued waits until so many requests are queued.
func (b *bench) untilQueued(t testing.TB, count int) {
	t.Helper()
	for {
		load, err := peer.Call[request.Probe, request.Load](t.Context(), b.client, b.address, MethodProbe, request.Probe{})
		if err != nil {
			t.Fatal(err)
		}
		if load.Queued == count {
			return
		}
	}
}

func (b *bench) settle(t testing.TB, id request.ID) request.Settled {
	t.Helper()
	settled, err := peer.Call[request.Settle, request.Settled](t.Context(), b.client, b.address, MethodSettle,
		request.Settle{ID: id, Process: b.agent.process.Load()})
	if err != nil {
		t.Fatal(err)
	}
	return settled
}
