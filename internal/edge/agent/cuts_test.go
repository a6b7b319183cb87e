package agent

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// breakingProxy forwards TCP connections and closes each one after a random number of bytes in either direction.
type breakingProxy struct {
	listener net.Listener
	target   netip.AddrPort
	wg       conc.WaitGroup
	mu       sync.Mutex
	random   *rand.Rand
	conns    []net.Conn
}

func newBreakingProxy(t *testing.T, target netip.AddrPort, seed uint64) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &breakingProxy{listener: l, target: target, random: rand.New(rand.NewPCG(seed, seed))}
	p.wg.Go(p.serve)
	t.Cleanup(func() {
		_ = l.Close()
		p.closeAll()
		p.wg.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (p *breakingProxy) serve() {
	for {
		clientConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		serverConn, err := net.Dial("tcp", p.target.String())
		if err != nil {
			_ = clientConn.Close()
			continue
		}
		p.track(clientConn, serverConn)
		p.wg.Go(func() { p.forward(serverConn, clientConn) })
		p.wg.Go(func() { p.forward(clientConn, serverConn) })
	}
}

func (p *breakingProxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conns...)
}

func (p *breakingProxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *breakingProxy) forward(to, from net.Conn) {
	p.mu.Lock()
	limit := 400 + p.random.Int64N(4000)
	p.mu.Unlock()
	_, _ = io.Copy(to, io.LimitReader(from, limit))
	_ = to.Close()
	_ = from.Close()
}

// bookingClient is a minimal entry: it sends a booking and, if the connection is lost, queries the outcome. It sends
// the booking again only if the first one has not run.
type bookingClient struct {
	harness *harness
	client  *peer.Client
	proxy   netip.AddrPort
	mu      sync.Mutex
}

func (c *bookingClient) newBooking(body string) request.Execute {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.harness.newRequest(pathOK)
	req.Body = []byte(body)
	return req
}

func (c *bookingClient) book(ctx context.Context, body string) verdict.Verdict {
	for {
		req := c.newBooking(body)
		h := harness{client: c.client, address: c.proxy}
		got := h.send(ctx, req)
		if got.err == nil {
			return verdict.Ran
		}
		v := c.settle(ctx, req.ID, got.err)
		if v != verdict.NotRun {
			return v
		}
	}
}

func (c *bookingClient) settle(ctx context.Context, id request.ID, err error) verdict.Verdict {
	if refusal, ok := verdict.As(err); ok {
		return refusal.Verdict
	}
	if errors.Is(err, peer.ErrUnsent) {
		return verdict.NotRun
	}
	settled, err := peer.Call[request.Settle, request.Settled](ctx, c.harness.client, c.harness.address, MethodSettle,
		request.Settle{ID: id, Process: peer.ServerIncarnation(err)})
	if err != nil {
		return verdict.MayHaveRun
	}
	return settled.Verdict
}

// Connections between an entry and an agent break repeatedly, at any byte and in both directions, while callers send
// bookings. An airline could be billed twice, or receive "not run" for an existing bill. Each booking must run
// at most once, and exactly once if the verdict that its caller received is that it ran.
func TestBookingsRunAtMostOnceWhileConnectionsBreak(t *testing.T) {
	const callers, bookings = 16, 40
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			h := newHarness(t, ticket.KindService)
			h.server.started = make(chan string, 10*callers*bookings)
			proxy := newBreakingProxy(t, h.address, seed)
			c := &bookingClient{harness: h, client: h.client, proxy: proxy}
			verdicts := make([][]verdict.Verdict, callers)
			var wg conc.WaitGroup
			for i := range callers {
				wg.Go(func() {
					for n := range bookings {
						verdicts[i] = append(verdicts[i], c.book(t.Context(), fmt.Sprintf("%d-%d", i, n)))
					}
				})
			}
			wg.Wait()
			runs := make(map[string]int)
			for _, call := range h.server.calls {
				runs[string(call.Body)]++
			}
			mayHaveRun := 0
			for i := range callers {
				for n, v := range verdicts[i] {
					body := fmt.Sprintf("%d-%d", i, n)
					if runs[body] > 1 || v == verdict.Ran && runs[body] != 1 {
						t.Errorf("booking %s ran %d times, its caller received verdict %s", body, runs[body], v)
					}
					if v == verdict.MayHaveRun {
						mayHaveRun++
					}
				}
			}
			t.Logf("%d bookings in %d runs, %d that may have run", callers*bookings, len(h.server.calls), mayHaveRun)
		})
	}
}
