package trainer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/gofiber/fiber/v3"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// startPeer starts a host whose coordinator is reached over TCP.
func (cluster *testCluster) startPeer(l net.Listener, others func(string) []netip.AddrPort) {
	self := netip.MustParseAddrPort(l.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	client := peer.NewClient(ctx, testSecret)
	c := New(ctx, Deps{
		Store:               cluster.store,
		View:                func() Configuration { return cluster.view },
		Generator:           cluster.engines,
		Scorer:              cluster.scorer,
		Copier:              NewPeerCopier(client, others),
		Lease:               func(context.Context, string) Lease { return hostLease{cluster.lease, self} },
		Forwarder:           NewPeerForwarder(client),
		Self:                self,
		Secret:              testSecret,
		PublishModelVersion: func(context.Context, ticket.ModelVersion) error { return nil },
	}, WithConcurrency(4))
	registry := peer.NewRegistry()
	c.RegisterPeer(registry)
	server := peer.NewServer(ctx, l, registry, testSecret)
	app := fiber.New()
	c.RegisterHTTP(app)
	cluster.apps[self] = app
	cluster.peers.set(self, c)
	cluster.stops[self] = func() {
		cancel()
		_ = server.Close()
		client.Wait()
		c.Wait()
	}
}

// Guards against refusals or truncated batches from entries that don't hold the job's lease, which a trainer behind a balancer
// would get, and against samples of a written batch that are lost when the coordinator dies. Requests and copies are sent
// over TCP here.
func TestForwardAndCopyOverPeers(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.kill(hostA)
	cluster.kill(hostB)
	// The first host coordinates, the second holds the copies, and the third succeeds the first.
	listeners := make([]net.Listener, 3)
	hosts := make([]netip.AddrPort, len(listeners))
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = l
		hosts[i] = netip.MustParseAddrPort(l.Addr().String())
	}
	for i, l := range listeners {
		second := hosts[(i+1)%len(hosts)]
		cluster.startPeer(l, func(string) []netip.AddrPort { return []netip.AddrPort{second} })
	}
	cluster.lease.take(hosts[0], false)
	if got := cluster.postStep(hosts[1], 1); got.status != http.StatusOK {
		t.Fatalf("status %d: %s", got.status, got.body)
	}
	forwarded := cluster.getBatch(hosts[1], 1, 1, nil)
	direct := cluster.getBatch(hosts[0], 1, 1, nil)
	if forwarded.body != direct.body || forwarded.status != http.StatusOK {
		t.Errorf("%d %s\n%s", forwarded.status, forwarded.body, direct.body)
	}
	if refused := cluster.call(hosts[1], http.MethodGet, "/steps/1/batches/3", "", nil); refused.status != http.StatusConflict {
		t.Errorf("status %d: %s", refused.status, refused.body)
	}
	cluster.kill(hosts[0])
	cluster.lease.take(hosts[2], false)
	if again := cluster.getBatch(hosts[1], 1, 1, nil); again.body != direct.body {
		t.Errorf("the successor's batch 1: status %d: %s", again.status, again.body)
	}
}

// Guards against contents that are reported as lost although the host holds them, because they don't fit in one response.
func TestFetchLargeContents(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.kill(hostB)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	host := netip.MustParseAddrPort(l.Addr().String())
	cluster.startPeer(l, func(string) []netip.AddrPort { return nil })
	ctx, cancel := context.WithCancel(context.Background())
	client := peer.NewClient(ctx, testSecret)
	defer client.Wait()
	defer cancel()
	sender := NewPeerCopier(client, func(string) []netip.AddrPort { return []netip.AddrPort{host} })
	var digests []string
	for _, letter := range []string{"a", "b", "c"} {
		raw := []byte(strings.Repeat(letter, fetchBytes*2/3))
		sample := EncodedSample{Step: 1, Digest: delivery.Digest(raw), Raw: raw}
		digests = append(digests, sample.Digest)
		if _, err := sender.Copy(ctx, testJob, sample); err != nil {
			t.Fatal(err)
		}
	}
	got, err := sender.Fetch(ctx, host, testJob, append(digests, delivery.Digest(nil)))
	if err != nil || len(got) != len(digests) {
		t.Errorf("%d contents, %v", len(got), err)
	}
}

func TestContentStore(t *testing.T) {
	content := func(step int, text string) EncodedSample {
		return EncodedSample{Step: step, Digest: delivery.Digest([]byte(text)), Raw: []byte(text)}
	}
	s := newContentStore(10)
	if err := s.put("a", content(1, "12345")); err != nil {
		t.Fatal(err)
	}
	if err := s.put("a", EncodedSample{Step: 1, Digest: "d", Raw: []byte("1")}); err == nil {
		t.Error("a content with a wrong digest was stored")
	}
	if err := s.put("b", content(1, "123456")); err == nil {
		t.Error("a content beyond the limit was stored")
	}
	if err := s.put("a", content(2, "1234567890")); err != nil {
		t.Errorf("a new step does not make room: %v", err)
	}
	if _, held := s.get("b", content(2, "1234567890").Digest); held {
		t.Error("the content of another job was returned")
	}
	s.retain(func(string) bool { return false })
	if state := s.state(); state.Samples != 0 || state.Bytes != 0 {
		t.Errorf("%+v", state)
	}
}

// fakePeers connects coordinators without sockets.
type fakePeers struct {
	mu    sync.Mutex
	hosts map[netip.AddrPort]*Coordinator
}

func (p *fakePeers) at(host netip.AddrPort) (*Coordinator, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.hosts[host]
	return c, ok
}

func (p *fakePeers) set(host netip.AddrPort, c *Coordinator) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, host)
	if c != nil {
		p.hosts[host] = c
	}
}

type directCopier struct {
	*fakePeers
	other netip.AddrPort
}

func (p directCopier) Copy(_ context.Context, job string, sample EncodedSample) (netip.AddrPort, error) {
	other, ok := p.at(p.other)
	if !ok {
		return netip.AddrPort{}, errFake
	}
	return p.other, other.contentStore.put(job, sample)
}

func (p directCopier) Fetch(_ context.Context, from netip.AddrPort, job string, digests []string) ([]EncodedSample, error) {
	other, ok := p.at(from)
	if !ok {
		return nil, errFake
	}
	answer, err := other.serveFetch(context.Background(), fetchRequest{Job: job, Digests: digests})
	return answer.Samples, err
}

type directForwarder struct{ *fakePeers }

func (p directForwarder) Forward(ctx context.Context, to netip.AddrPort, forwarded ForwardedRequest) (Reply, error) {
	other, ok := p.at(to)
	if !ok {
		return Reply{}, refusalNotHolder(forwarded.Job)
	}
	sink := &fakeSink{}
	end, err := other.serveForward(ctx, forwarded, sink)
	return Reply{Status: sink.status, Body: sink.body, Cursor: end.Cursor}, err
}

// fakeSink collects a forwarded response.
type fakeSink struct {
	status int
	body   []byte
}

func (s *fakeSink) Head(head request.AnswerHead) error {
	s.status = head.Status
	return nil
}

func (s *fakeSink) Write(p []byte) (int, error) {
	s.body = append(s.body, p...)
	return len(p), nil
}
