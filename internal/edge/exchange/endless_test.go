package exchange_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

const (
	// answerMemory is the memory for all answers that are read at the same time, in bytes. The collector lets the heap grow to twice of it.
	answerMemory = 8 << 20
	// closeTimeout is how soon a server that sends without end must see its connection closed.
	closeTimeout = time.Second
	// socketBuffers bounds what the kernel takes of a sender before the reader has read it, in bytes.
	socketBuffers = 12 << 20
)

// endlessServer sends the head once and then the unit without end, to each request, until its connection is closed.
type endlessServer struct {
	address string
	// sent counts the bytes of all answers, and longest is the longest time in nanoseconds from a request to the end of its connection.
	sent, longest atomic.Int64
}

func startEndlessServer(t *testing.T, head, unit string) *endlessServer {
	t.Helper()
	block := []byte(unit)
	if len(unit) > 0 && len(unit) < 32<<10 {
		block = []byte(strings.Repeat(unit, 32<<10/len(unit)))
	}
	s := &endlessServer{}
	s.address = startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if !readRequest(reader) {
			return
		}
		started := time.Now()
		n, err := io.WriteString(conn, head)
		for s.sent.Add(int64(n)); err == nil; s.sent.Add(int64(n)) {
			n, err = conn.Write(block)
		}
		for took := int64(time.Since(started)); ; {
			if longest := s.longest.Load(); took <= longest || s.longest.CompareAndSwap(longest, took) {
				return
			}
		}
	})
	return s
}

// endlessAnswers are the ways in which an answer can have no end.
var endlessAnswers = []struct {
	name, head, unit string
}{
	{name: "header lines", head: "HTTP/1.1 200 OK\r\n", unit: "X-Field: value\r\n"},
	{name: "one header line", head: "HTTP/1.1 200 OK\r\nX-Field: ", unit: "v"},
	{name: "status line", head: "HTTP/1.1 200 ", unit: "O"},
	{name: "interim answers", unit: "HTTP/1.1 100 Continue\r\n\r\n"},
	{name: "no HTTP", unit: "\x00\xffbytes"},
	{name: "blank lines", unit: "\r\n"},
	{name: "no length", head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", unit: "x"},
	{name: "chunked", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", unit: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	{name: "one byte chunks", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", unit: "1\r\nx\r\n"},
	{name: "chunk size", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", unit: "0"},
	{name: "chunk extension", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;e=", unit: "v"},
	{name: "trailers", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", unit: "X-Field: value\r\n"},
	{name: "declared length far too large", head: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", unit: "x"},
	{name: "declared length of the usual limit", head: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 64<<20), unit: "x"},
}

// Guards against a server that sends without end and thereby takes the memory of the process: each call buffered far more than its share. A sound answer
// to another call at the same time must arrive whole.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const calls = 8
	for _, test := range endlessAnswers {
		t.Run(test.name, func(t *testing.T) {
			endless := startEndlessServer(t, test.head, test.unit)
			sound := startSoundServer(t, 1<<20)
			client := exchange.NewClient()
			defer client.Close()
			peak := watchHeap(t)
			var group conc.WaitGroup
			for range calls {
				group.Go(func() {
					if err := do(t.Context(), client, endless.address); !errors.Is(err, exchange.ErrAnswerLost) {
						t.Errorf("got %v, want ErrAnswerLost", err)
					}
				})
			}
			group.Go(func() {
				if err := do(t.Context(), client, sound); err != nil {
					t.Errorf("sound answer: %v", err)
				}
			})
			group.Wait()
			growth := peak()
			if growth > 2*answerMemory {
				t.Errorf("the heap grew by %d KiB, want at most %d KiB", growth>>10, 2*answerMemory>>10)
			}
			t.Logf("the heap grew by %d KiB", growth>>10)
			endless.check(t, calls)
		})
	}
}

// check checks that the server's connections were closed in time, and how much it could send on each of them.
func (s *endlessServer) check(t *testing.T, connections int64) {
	t.Helper()
	if sent, limit := s.sent.Load(), connections*(exchange.DefaultMaxBody+socketBuffers); sent > limit {
		t.Errorf("%d KiB sent on %d connections, want at most %d KiB", sent>>10, connections, limit>>10)
	}
	if longest := time.Duration(s.longest.Load()); longest > closeTimeout {
		t.Errorf("a connection was closed after %v, want %v", longest, closeTimeout)
	}
	t.Logf("%d KiB sent, closed after %v", s.sent.Load()>>10, time.Duration(s.longest.Load()))
}

// startSoundServer starts a server whose answers have a body of the given length.
func startSoundServer(t *testing.T, length int) string {
	t.Helper()
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("s", length))
	return startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for readRequest(reader) {
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	})
}

// watchHeap collects garbage as a gateway does, and returns a function that returns by how much the heap has grown at most, in bytes.
func watchHeap(t *testing.T) func() uint64 {
	t.Helper()
	percent := debug.SetGCPercent(25)
	t.Cleanup(func() { debug.SetGCPercent(percent) })
	// The first collection moves what pools hold to where the second one frees it.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before, peak := stats.HeapAlloc, uint64(0)
	stop := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapAlloc)
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	return func() uint64 {
		close(stop)
		group.Wait()
		return peak - min(peak, before)
	}
}

// Guards against an answer within the bounds that is cut, or ends a call.
func TestAnswersWithinTheBoundsAreWhole(t *testing.T) {
	for _, test := range []struct {
		name, head, tail string
	}{
		{name: "declared length", head: fmt.Sprintf("Content-Length: %d\r\n\r\n", exchange.DefaultMaxBody)},
		{name: "no length", head: "\r\n"},
		{name: "chunked", head: fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", exchange.DefaultMaxBody), tail: "\r\n0\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			body := strings.Repeat("0123456789abcdef", exchange.DefaultMaxBody/16)
			address := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				write(t, conn, "HTTP/1.1 200 OK\r\n"+test.head+body+test.tail)
			})
			client := exchange.NewClient()
			defer client.Close()
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(req)
			defer fasthttp.ReleaseResponse(resp)
			req.SetRequestURI("http://" + address + "/call")
			if err := client.Do(t.Context(), req, resp); err != nil {
				t.Fatal(err)
			}
			if string(resp.Body()) != body {
				t.Errorf("%d bytes, want %d", len(resp.Body()), len(body))
			}
		})
	}
}

// Guards against a connection that is kept although its server goes on to send after the answer.
func TestConnectionWithMoreThanTheAnswerIsClosed(t *testing.T) {
	endless := startEndlessServer(t, okAnswer, "x")
	client := exchange.NewClient()
	defer client.Close()
	if err := do(t.Context(), client, endless.address); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(closeTimeout); endless.longest.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the connection is open after %v", closeTimeout)
		}
	}
	endless.check(t, 1)
}
