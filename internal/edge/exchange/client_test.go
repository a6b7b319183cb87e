package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startServer starts a TCP server that runs serve on each connection, and returns its address.
func startServer(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// readRequest reports whether a complete request arrived.
func readRequest(reader *bufio.Reader) bool {
	var req fasthttp.Request
	return req.Read(reader) == nil
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Logf("write: %v", err)
	}
}

// do makes a call and drops the answer.
func do(ctx context.Context, client *exchange.Client, address string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/call")
	req.Header.SetMethod("POST")
	return client.Do(ctx, req, resp)
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against failures that are reported wrongly: a caller that gets ErrAnswerLost although nothing was
// sent fails needlessly, and one that gets ErrNotSent although the call ran makes it a second time.
func TestFailureSaysWhetherTheCallWasSent(t *testing.T) {
	cases := []struct {
		name  string
		serve func(t *testing.T, conn net.Conn, reader *bufio.Reader)
		want  error
	}{
		{name: "answered", serve: func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			write(t, conn, okAnswer)
		}},
		{name: "closed after the request was read", want: exchange.ErrAnswerLost,
			serve: func(_ *testing.T, _ net.Conn, reader *bufio.Reader) { readRequest(reader) }},
		{name: "cut inside the head", want: exchange.ErrAnswerLost,
			serve: func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				write(t, conn, "HTTP/1.1 200 OK\r\nContent-Le")
			}},
		{name: "cut inside the body", want: exchange.ErrAnswerLost,
			serve: func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				write(t, conn, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok")
			}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := startServer(t, func(conn net.Conn, reader *bufio.Reader) { c.serve(t, conn, reader) })
			client := exchange.NewClient()
			defer client.Close()
			if err := do(t.Context(), client, address); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestUnsentCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	client := exchange.NewClient()
	defer client.Close()
	if err := do(t.Context(), client, listener.Addr().String()); !errors.Is(err, exchange.ErrNotSent) {
		t.Errorf("refused dial: got %v", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := do(ended, client, listener.Addr().String()); !errors.Is(err, exchange.ErrNotSent) {
		t.Errorf("ended context: got %v", err)
	}
}

// Guards against calls that fail as "may have run" although they did not run: the server had just closed the
// idle connection, and the client sent the call on it and got a reset, from which it can't tell whether
// the call ran. The client must notice the close before it sends.
func TestIdleConnectionClosedByServerIsNotUsed(t *testing.T) {
	var served atomic.Int32
	closed := make(chan struct{}, 2)
	address := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if readRequest(reader) {
			served.Add(1)
			write(t, conn, okAnswer)
		}
		_ = conn.Close()
		closed <- struct{}{}
	})
	client := exchange.NewClient()
	defer client.Close()
	for range 2 {
		if err := do(t.Context(), client, address); err != nil {
			t.Fatalf("call after the server closed the idle connection: %v", err)
		}
		<-closed
	}
	if got := served.Load(); got != 2 {
		t.Errorf("served %d calls, want 2", got)
	}
}

// Guards against a call that waits on an idle connection that has gone silent although the caller asked for a new one.
func TestNewConnectionIsOpenedBesideAnIdleOne(t *testing.T) {
	var accepted atomic.Int32
	address := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		accepted.Add(1)
		for readRequest(reader) {
			write(t, conn, okAnswer)
		}
	})
	client := exchange.NewClient()
	defer client.Close()
	var req fasthttp.Request
	req.SetRequestURI("http://" + address + "/")
	for i, open := range []func(context.Context, *fasthttp.Request) (*exchange.Stream, error){client.Open, client.Open, client.OpenNew} {
		stream, err := open(t.Context(), &req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, stream); err != nil {
			t.Fatal(err)
		}
		if err := stream.Close(); err != nil {
			t.Fatal(err)
		}
		if got, want := accepted.Load(), int32(1+i/2); got != want {
			t.Errorf("%d connections after call %d, want %d", got, i+1, want)
		}
	}
}

// Guards against a call that runs twice: the server reads the request on a keep-alive connection and closes it
// without an answer. Whether the call ran is unknown, so the client must not send it again.
func TestKeepAliveConnectionClosedDuringRequestIsLostAndNotRetried(t *testing.T) {
	var received atomic.Int32
	address := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for readRequest(reader) {
			if received.Add(1) > 1 {
				return
			}
			write(t, conn, okAnswer)
		}
	})
	client := exchange.NewClient()
	defer client.Close()
	if err := do(t.Context(), client, address); err != nil {
		t.Fatal(err)
	}
	if err := do(t.Context(), client, address); !errors.Is(err, exchange.ErrAnswerLost) {
		t.Errorf("got %v, want %v", err, exchange.ErrAnswerLost)
	}
	if got := received.Load(); got != 2 {
		t.Errorf("the server received %d requests, want 2", got)
	}
}

// Guards against a call that outlives its context, and against a call that receives the answer of an earlier
// one: a caller cancels before the server answers. The call must end as lost, and its connection must
// not be reused.
func TestCancelledCallEndsAndItsConnectionIsNotReused(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	var count atomic.Int32
	address := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for readRequest(reader) {
			if count.Add(1) == 1 {
				arrived <- struct{}{}
				<-release
				write(t, conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
				return
			}
			write(t, conn, okAnswer)
		}
	})
	client := exchange.NewClient()
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() {
		<-arrived
		cancel()
	})
	if err := do(ctx, client, address); !errors.Is(err, exchange.ErrAnswerLost) {
		t.Errorf("got %v, want %v", err, exchange.ErrAnswerLost)
	}
	group.Wait()
	close(release)
	if err := do(t.Context(), client, address); err != nil {
		t.Errorf("next call: %v", err)
	}
}

func TestStreamReadsChunksAndReportsTruncation(t *testing.T) {
	cases := []struct {
		name string
		end  string
		want error
	}{
		{name: "whole", end: "0\r\n\r\n", want: nil},
		{name: "cut", end: "", want: exchange.ErrAnswerLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				write(t, conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"+c.end)
			})
			client := exchange.NewClient()
			defer client.Close()
			req := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(req)
			req.SetRequestURI("http://" + address + "/stream")
			stream, err := client.Open(t.Context(), req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = stream.Close() }()
			body, err := io.ReadAll(stream)
			if !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if diff := cmp.Diff("abcde", string(body)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a caller that receives another caller's answer: a faulty server sent two answers to one
// request, and the second one stayed in the connection's buffer until the next call on the connection.
func TestSurplusAnswerIsNotGivenToTheNextCall(t *testing.T) {
	var connections atomic.Int32
	address := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		index := connections.Add(1)
		for readRequest(reader) {
			if index == 1 {
				write(t, conn, okAnswer+"HTTP/1.1 500 Crossed\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			write(t, conn, okAnswer)
		}
	})
	client := exchange.NewClient()
	defer client.Close()
	for range 2 {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + address + "/call")
		if err := client.Do(t.Context(), req, resp); err != nil {
			t.Fatal(err)
		}
		if got := resp.StatusCode(); got != 200 {
			t.Errorf("got the surplus answer, status %d", got)
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
}

// Guards against a request that a network holds up and delivers seconds after its caller gave it up: the kernel must not go on to send it.
func TestConnectionOfACallThatWasGivenUpIsReset(t *testing.T) {
	arrived := make(chan struct{})
	ended := make(chan error, 1)
	address := startServer(t, func(_ net.Conn, reader *bufio.Reader) {
		if !readRequest(reader) {
			return
		}
		close(arrived)
		_, err := reader.ReadByte()
		ended <- err
	})
	client := exchange.NewClient()
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	if err := do(ctx, client, address); !errors.Is(err, exchange.ErrAnswerLost) {
		t.Errorf("got %v, want %v", err, exchange.ErrAnswerLost)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want %v", err, syscall.ECONNRESET)
	}
}
