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

// cutter passes bytes on and cuts each connection after a random number of them in one direction.
type cutter struct {
	listener net.Listener
	to       netip.AddrPort
	wg       conc.WaitGroup
	mu       sync.Mutex
	random   *rand.Rand
	conns    []net.Conn
}

func newCutter(t *testing.T, to netip.AddrPort, seed uint64) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{listener: l, to: to, random: rand.New(rand.NewPCG(seed, seed))}
	c.wg.Go(c.serve)
	t.Cleanup(func() {
		_ = l.Close()
		c.closeAll()
		c.wg.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (c *cutter) serve() {
	for {
		near, err := c.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", c.to.String())
		if err != nil {
			_ = near.Close()
			continue
		}
		c.keep(near, far)
		c.wg.Go(func() { c.pass(far, near) })
		c.wg.Go(func() { c.pass(near, far) })
	}
}

func (c *cutter) keep(conns ...net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conns...)
}

func (c *cutter) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func (c *cutter) pass(to, from net.Conn) {
	c.mu.Lock()
	limit := 400 + c.random.Int64N(4000)
	c.mu.Unlock()
	_, _ = io.Copy(to, io.LimitReader(from, limit))
	_ = to.Close()
	_ = from.Close()
}

// caller is an entry in short: it sends a booking, and when its connection is lost asks what became of
// it, and sends it again only if it has not run.
type caller struct {
	bench  *bench
	client *peer.Client
	via    netip.AddrPort
	mu     sync.Mutex
}

func (c *caller) next(body string) request.Execute {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.bench.execute(pathOK)
	q.Body = []byte(body)
	return q
}

func (c *caller) book(ctx context.Context, body string) verdict.Verdict {
	for {
		q := c.next(body)
		b := bench{client: c.client, address: c.via}
		got := b.send(ctx, q)
		if got.err == nil {
			return verdict.Ran
		}
		v := c.settle(ctx, q.ID, got.err)
		if v != verdict.NotRun {
			return v
		}
	}
}

func (c *caller) settle(ctx context.Context, id request.ID, err error) verdict.Verdict {
	if refusal, ok := verdict.As(err); ok {
		return refusal.Verdict
	}
	if errors.Is(err, peer.ErrUnsent) {
		return verdict.NotRun
	}
	settled, err := peer.Call[request.Settle, request.Settled](ctx, c.bench.client, c.bench.address, MethodSettle,
		request.Settle{ID: id, Process: peer.ServerIncarnation(err)})
	if err != nil {
		return verdict.MayHaveRun
	}
	return settled.Verdict
}

// Connections between an entry and an agent break again and again, at any byte and in both
// directions, while callers book. An airline would be billed twice, or told "not run" of a bill that
// exists. Each booking must run once, unless its caller was told that it may have run.
func TestBookingsRunAtMostOnceWhileConnectionsBreak(t *testing.T) {
	const callers, bookings = 16, 40
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			b := newBench(t, ticket.KindService)
			b.server.started = make(chan string, 10*callers*bookings)
			via := newCutter(t, b.address, seed)
			c := &caller{bench: b, client: b.client, via: via}
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
			for _, call := range b.server.calls {
				runs[string(call.Body)]++
			}
			inDoubt := 0
			for i := range callers {
				for n, v := range verdicts[i] {
					body := fmt.Sprintf("%d-%d", i, n)
					if runs[body] > 1 || v == verdict.Ran && runs[body] != 1 {
						t.Errorf("booking %s ran %d times, its caller heard %s", body, runs[body], v)
					}
					if v == verdict.MayHaveRun {
						inDoubt++
					}
				}
			}
			t.Logf("%d bookings in %d runs, %d in doubt", callers*bookings, len(b.server.calls), inDoubt)
		})
	}
}
