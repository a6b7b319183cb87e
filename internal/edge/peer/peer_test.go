package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

const (
	methodEcho   Method = "echo"
	methodStream Method = "stream"
	methodHold   Method = "hold"
)

type text struct{ Text string }

var testSecret = []byte("a secret of the tests")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bench is a server and a client on loopback.
type bench struct {
	server  *Server
	client  *Client
	address netip.AddrPort
	started chan struct{}
	release chan struct{}
	ended   chan error
}

func listen(t testing.TB) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

func newBench(t testing.TB, opts ...Option) *bench {
	t.Helper()
	b := &bench{
		started: make(chan struct{}, 1000),
		release: make(chan struct{}),
		ended:   make(chan error, 1000),
	}
	l, address := listen(t)
	b.address = address
	ctx, cancel := context.WithCancel(context.Background())
	b.server = NewServer(ctx, l, b.registry(), testSecret, opts...)
	b.client = newTestClient(t, testSecret, opts...)
	t.Cleanup(func() {
		cancel()
		_ = b.server.Close()
	})
	return b
}

func newTestClient(t testing.TB, secret []byte, opts ...Option) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	client := NewClient(ctx, secret, opts...)
	t.Cleanup(func() {
		cancel()
		client.Wait()
	})
	return client
}

func (b *bench) registry() *Registry {
	r := NewRegistry()
	Handle(r, methodEcho, func(_ context.Context, q text) (text, error) { return q, nil })
	HandleStream(r, methodStream, func(_ context.Context, q text, out Sink) (text, error) {
		if err := out.Head(request.AnswerHead{Status: 200}); err != nil {
			return text{}, err
		}
		if _, err := out.Write([]byte(q.Text)); err != nil {
			return text{}, err
		}
		return text{Text: "end"}, nil
	})
	HandleStream(r, methodHold, func(ctx context.Context, q text, out Sink) (text, error) {
		b.started <- struct{}{}
		if err := out.Head(request.AnswerHead{Status: 200}); err != nil {
			return text{}, err
		}
		select {
		case <-b.release:
		case <-ctx.Done():
			b.ended <- context.Cause(ctx)
			return text{}, context.Cause(ctx)
		}
		_, err := out.Write([]byte(q.Text))
		return text{Text: "end"}, err
	})
	return r
}

func readAll[E any](a *Answer[E]) (string, error) {
	var whole []byte
	for {
		chunk, err := a.Next()
		if errors.Is(err, io.EOF) {
			return string(whole), nil
		}
		if err != nil {
			return string(whole), err
		}
		whole = append(whole, chunk...)
	}
}

func TestAskAndOpen(t *testing.T) {
	for _, tc := range []struct {
		name string
		opts []Option
	}{
		{name: "plain"},
		{name: "small window", opts: []Option{WithWindow(1000)}},
		{name: "tls", opts: []Option{WithTLS(testTLS(t, net.IPv4(127, 0, 0, 1)))}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, tc.opts...)
			got, err := Ask[text, text](t.Context(), b.client, b.address, methodEcho, text{Text: "hello"})
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(text{Text: "hello"}, got); diff != "" {
				t.Error(diff)
			}
			body := string(make([]byte, 1<<20))
			a, err := Open[text, text](t.Context(), b.client, b.address, methodStream, text{Text: body})
			if err != nil {
				t.Fatal(err)
			}
			whole, err := readAll(a)
			if err != nil || whole != body || a.End().Text != "end" || a.Head().Status != 200 {
				t.Errorf("%d bytes, head %v, end %v, error %v", len(whole), a.Head(), a.End(), err)
			}
		})
	}
}
