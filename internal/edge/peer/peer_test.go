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

// testPeers is a server and a client that are connected over the loopback interface.
type testPeers struct {
	server          *Server
	client          *Client
	address         netip.AddrPort
	handlerStarted  chan struct{}
	releaseHandlers chan struct{}
	handlerEnded    chan error
}

func listen(t testing.TB) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

func newTestPeers(t testing.TB, opts ...Option) *testPeers {
	t.Helper()
	p := &testPeers{
		handlerStarted:  make(chan struct{}, 1000),
		releaseHandlers: make(chan struct{}),
		handlerEnded:    make(chan error, 1000),
	}
	l, address := listen(t)
	p.address = address
	ctx, cancel := context.WithCancel(context.Background())
	p.server = NewServer(ctx, l, p.newRegistry(), testSecret, opts...)
	p.client = newTestClient(t, testSecret, opts...)
	t.Cleanup(func() {
		cancel()
		_ = p.server.Close()
	})
	return p
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

func (p *testPeers) newRegistry() *Registry {
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
		p.handlerStarted <- struct{}{}
		if err := out.Head(request.AnswerHead{Status: 200}); err != nil {
			return text{}, err
		}
		select {
		case <-p.releaseHandlers:
		case <-ctx.Done():
			p.handlerEnded <- context.Cause(ctx)
			return text{}, context.Cause(ctx)
		}
		_, err := out.Write([]byte(q.Text))
		return text{Text: "end"}, err
	})
	return r
}

func readAnswer[E any](answer *Answer[E]) (string, error) {
	var content []byte
	for {
		chunk, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return string(content), nil
		}
		if err != nil {
			return string(content), err
		}
		content = append(content, chunk...)
	}
}

func TestCallAndOpenStream(t *testing.T) {
	for _, test := range []struct {
		name string
		opts []Option
	}{
		{name: "plain"},
		{name: "small window", opts: []Option{WithWindow(1000)}},
		{name: "tls", opts: []Option{WithTLS(testTLS(t, net.IPv4(127, 0, 0, 1)))}},
	} {
		t.Run(test.name, func(t *testing.T) {
			peers := newTestPeers(t, test.opts...)
			got, err := Call[text, text](t.Context(), peers.client, peers.address, methodEcho, text{Text: "hello"})
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(text{Text: "hello"}, got); diff != "" {
				t.Error(diff)
			}
			body := string(make([]byte, 1<<20))
			answer, err := OpenStream[text, text](t.Context(), peers.client, peers.address, methodStream, text{Text: body})
			if err != nil {
				t.Fatal(err)
			}
			content, err := readAnswer(answer)
			if err != nil || content != body || answer.End().Text != "end" || answer.Head().Status != 200 {
				t.Errorf("%d bytes, head %v, end %v, error %v", len(content), answer.Head(), answer.End(), err)
			}
		})
	}
}
