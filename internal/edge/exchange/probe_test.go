package exchange_test

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// Guards against a server that counts as ended although it runs, or as running although it has ended, and against a probe whose connection is
// thrown away.
func TestProbe(t *testing.T) {
	client := exchange.NewClient()
	defer client.Close()

	t.Run("running", func(t *testing.T) {
		var connections atomic.Int32
		address := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
			connections.Add(1)
			for readRequest(reader) {
				write(t, conn, okAnswer)
			}
		})
		defer client.Close()
		if err := client.Probe(t.Context(), netip.MustParseAddrPort(address)); err != nil {
			t.Fatal(err)
		}
		if err := do(t.Context(), client, address); err != nil {
			t.Fatal(err)
		}
		if got := connections.Load(); got != 1 {
			t.Errorf("%d connections, want 1: the call uses that of the probe", got)
		}
	})
	t.Run("refuses connections", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		_ = listener.Close()
		if err := client.Probe(t.Context(), address); !errors.Is(err, exchange.ErrEnded) {
			t.Errorf("got %v, want %v", err, exchange.ErrEnded)
		}
	})
	t.Run("closes connections at once", func(t *testing.T) {
		address := startServer(t, func(net.Conn, *bufio.Reader) {})
		if err := client.Probe(t.Context(), netip.MustParseAddrPort(address)); !errors.Is(err, exchange.ErrEnded) {
			t.Errorf("got %v, want %v", err, exchange.ErrEnded)
		}
	})
	t.Run("can't be told in time", func(t *testing.T) {
		address := startServer(t, func(_ net.Conn, reader *bufio.Reader) { readRequest(reader) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		<-ctx.Done()
		if err := client.Probe(ctx, netip.MustParseAddrPort(address)); err == nil || errors.Is(err, exchange.ErrEnded) {
			t.Errorf("got %v, want an error that leaves it open", err)
		}
	})
}
