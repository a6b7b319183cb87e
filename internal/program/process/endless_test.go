package process

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	goruntime "runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// answerHeap bounds by how much answers that are too large may let the heap grow, in bytes: they hold 8 MiB, and as much may wait for the
	// collector.
	answerHeap = 16 << 20
	// endlessCloseTimeout is how soon a server that sends without end must see its connection closed.
	endlessCloseTimeout = time.Second
	// endlessBytes bounds what one connection takes of such a server, in bytes, the kernel's buffers included.
	endlessBytes = 16 << 20
)

// endlessServer answers requests with the header of another server's answer, and then sends without end until its connection is closed.
type endlessServer struct {
	t       *testing.T
	address string
	server  *platformtest.Server
	// framing replaces the header fields that say how long the body is; a header without end has none.
	framing string
	// soundEvents is the number of events of the server's stream that come before those without end. The framing must then be chunked.
	soundEvents int
	// unit appends the n-th unit of the body to the block; n starts at 0.
	unit appendUnit
	// requests counts the requests, sent the bytes of all answers, most those of the longest answer, and longest is the longest time in
	// nanoseconds from a request to the end of its connection.
	requests, sent, most, longest atomic.Int64
}

// linesOfEvent is the number of lines of an event of a stream with its frame as a chunk.
const linesOfEvent = 5

type appendUnit func(block []byte, n int) []byte

// makeEndless puts an endless server in the place of the server.
func (d *deployment) makeEndless(server *platformtest.Server, framing string, unit appendUnit) *endlessServer {
	d.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	s := &endlessServer{t: d.t, address: listener.Addr().String(), server: server, framing: framing, unit: unit}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			group.Go(func() { s.serve(conn) })
		}
	})
	d.t.Cleanup(func() {
		_ = listener.Close()
		cancel()
		group.Wait()
	})
	object, _ := d.store.Get("servers", server.ID)
	entry := map[string]any{}
	if err := json.Unmarshal(object.Spec, &entry); err != nil {
		d.t.Fatal(err)
	}
	entry["address"] = s.address
	d.store.Put("servers", server.ID, entry)
	return s
}

// serve answers the request of a connection. Orders and reports are answered as by the server.
func (s *endlessServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var req fasthttp.Request
	if req.Read(bufio.NewReader(conn)) != nil {
		return
	}
	if path := string(req.URI().Path()); path == "/order" || path == "/report" {
		s.relay(conn, &req)
		return
	}
	started := time.Now()
	s.requests.Add(1)
	sent := s.send(conn, &req)
	s.sent.Add(sent)
	raise(&s.most, sent)
	raise(&s.longest, int64(time.Since(started)))
}

// raise sets the maximum to the value if that is higher.
func raise(maximum *atomic.Int64, value int64) {
	for known := maximum.Load(); value > known && !maximum.CompareAndSwap(known, value); known = maximum.Load() {
	}
}

// open sends the request to the server.
func (s *endlessServer) open(req *fasthttp.Request) (net.Conn, *bufio.Reader) {
	upstream, err := net.Dial("tcp", s.server.Address().String())
	if err != nil {
		return nil, nil
	}
	writer := bufio.NewWriter(upstream)
	if req.Write(writer) != nil || writer.Flush() != nil {
		_ = upstream.Close()
		return nil, nil
	}
	return upstream, bufio.NewReader(upstream)
}

func (s *endlessServer) relay(conn net.Conn, req *fasthttp.Request) {
	req.SetConnectionClose()
	upstream, reader := s.open(req)
	if upstream == nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	_, _ = io.Copy(conn, reader)
}

// send sends the header of the server's answer and a body without end, and returns the number of bytes.
func (s *endlessServer) send(conn net.Conn, req *fasthttp.Request) int64 {
	upstream, reader := s.open(req)
	if upstream == nil {
		return 0
	}
	defer func() { _ = upstream.Close() }()
	var head strings.Builder
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return 0
		}
		if line == "\r\n" {
			break
		}
		if name, _, _ := strings.Cut(line, ":"); name != fasthttp.HeaderContentLength && name != fasthttp.HeaderTransferEncoding {
			head.WriteString(line)
		}
	}
	head.WriteString(s.framing)
	for range s.soundEvents * linesOfEvent {
		line, err := reader.ReadString('\n')
		if err != nil {
			return 0
		}
		head.WriteString(line)
	}
	total, err := io.WriteString(conn, head.String())
	block := make([]byte, 0, 64<<10)
	for n := 0; err == nil; {
		block = block[:0]
		for len(block) < 32<<10 {
			block = s.unit(block, n)
			n++
		}
		var written int
		written, err = conn.Write(block)
		total += written
	}
	return int64(total)
}

// check checks that the endless answers were read in part only, and ended in time.
func (s *endlessServer) check() {
	s.t.Helper()
	if s.requests.Load() == 0 {
		s.t.Error("no request reached the endless server")
	}
	if most := s.most.Load(); most > endlessBytes {
		s.t.Errorf("%d KiB were read of an answer, want at most %d KiB", most>>10, endlessBytes>>10)
	}
	if longest := time.Duration(s.longest.Load()); longest > endlessCloseTimeout {
		s.t.Errorf("a connection was closed after %v, want %v", longest, endlessCloseTimeout)
	}
	s.t.Logf("%d requests, %d KiB sent, %d KiB at most, closed after %v", s.requests.Load(), s.sent.Load()>>10, s.most.Load()>>10, time.Duration(s.longest.Load()))
}

// watchHeap collects garbage as a gateway does, and returns a function that checks by how much the heap has grown since.
func watchHeap(t *testing.T) func() {
	t.Helper()
	percent := debug.SetGCPercent(gcPercent)
	t.Cleanup(func() { debug.SetGCPercent(percent) })
	// The first collection moves what pools hold to where the second one frees it.
	goruntime.GC()
	goruntime.GC()
	var stats goruntime.MemStats
	goruntime.ReadMemStats(&stats)
	before, peak := stats.HeapAlloc, uint64(0)
	stop := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		for {
			var now goruntime.MemStats
			goruntime.ReadMemStats(&now)
			peak = max(peak, now.HeapAlloc)
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	return func() {
		t.Helper()
		close(stop)
		group.Wait()
		growth := peak - min(peak, before)
		t.Logf("the heap grew by %d KiB", growth>>10)
		if growth > answerHeap {
			t.Errorf("the heap grew by %d KiB, want at most %d KiB", growth>>10, answerHeap>>10)
		}
	}
}

// constant returns a function that appends the unit, repeated to some hundred bytes.
func constant(unit string) appendUnit {
	repeated := strings.Repeat(unit, max(1, 512/len(unit)))
	return func(block []byte, _ int) []byte { return append(block, repeated...) }
}

// events returns a function that appends events with the given data, numbered from 1 on.
func events(data string) appendUnit {
	return func(block []byte, n int) []byte { return fmt.Appendf(block, "id: %d\ndata: %s\n\n", n+1, data) }
}

const (
	noLength = "Connection: close\r\n\r\n"
	chunked  = "Transfer-Encoding: chunked\r\n\r\n"
)

// chunk returns the content as a chunk of a body.
func chunk(content string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(content), content) }

// Guards against a server that answers calls without end, and thereby takes the memory of the gateway or fails calls that another server
// could answer.
func TestCallsWithAnEndlessServer(t *testing.T) {
	const calls = 8
	for _, test := range []struct {
		name, framing string
		behaviour     platformtest.Behaviour
		unit          appendUnit
	}{
		{name: "header lines", unit: constant("X-Field: value\r\n")},
		{name: "one header line", framing: "X-Field: ", unit: constant("v")},
		{name: "no length", framing: noLength, unit: constant("x")},
		{name: "chunked", framing: chunked, unit: constant(chunk(strings.Repeat("x", 1000)))},
		{name: "one byte chunks", framing: chunked, unit: constant(chunk("x"))},
		{name: "chunk size", framing: chunked, unit: constant("0")},
		{name: "chunk extension", framing: chunked + "1;e=", unit: constant("v")},
		{name: "trailers", framing: chunked + "0\r\n", unit: constant("X-Field: value\r\n")},
		{name: "declared length too large", framing: "Content-Length: 1000000000000\r\n\r\n", unit: constant("x")},
		{name: "refusal of no length", behaviour: platformtest.Shed, framing: noLength, unit: constant("x")},
		{name: "refusal in chunks", behaviour: platformtest.Shed, framing: chunked, unit: constant(chunk(strings.Repeat("x", 1000)))},
		{name: "unsigned", behaviour: platformtest.Unsigned, framing: noLength, unit: constant("x")},
		{name: "failure", behaviour: platformtest.Fail, framing: noLength, unit: constant("x")},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			d.services[0].SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return test.behaviour })
			endless := d.makeEndless(d.services[0], test.framing, test.unit)
			d.eventually("the endless server is registered", func() bool { return d.knowsAddress(endless.address) })
			checkHeap := watchHeap(t)
			var group conc.WaitGroup
			for i := range calls {
				group.Go(func() {
					id := fmt.Sprintf("call-%d", i)
					got, err := d.tryCall(d.gateways[0], http.MethodGet, "/safe/x", keyNorth, id, "")
					if err != nil || got.status != http.StatusOK || !strings.HasPrefix(got.body, "desk-1 answers") {
						t.Errorf("%s: status %d, %.100q, %v", id, got.status, got.body, err)
					}
				})
			}
			group.Wait()
			checkHeap()
			endless.check()
		})
	}
}

// knowsAddress reports whether the first gateway sends requests to the address.
func (d *deployment) knowsAddress(address string) bool {
	for _, server := range d.gateways[0].view.Snapshot().Servers {
		if server.Address.String() == address {
			return true
		}
	}
	return false
}

// Guards against a server whose streams bring bytes without end, and thereby takes the memory or the processor of the gateway, or corrupts
// the output of an item. All items must be completed at the other server.
func TestItemsWithAnEndlessServer(t *testing.T) {
	for _, test := range []struct {
		name, framing string
		behaviour     platformtest.Behaviour
		unit          appendUnit
	}{
		{name: "header lines", unit: constant("X-Field: value\r\n")},
		{name: "data lines", framing: noLength, unit: constant("data: some text\n")},
		{name: "empty data lines", framing: noLength, unit: constant("data:\n")},
		{name: "data lines in chunks", framing: chunked, unit: constant(chunk("data: some text\n"))},
		{name: "one data line", framing: noLength + "data: ", unit: constant("x")},
		{name: "event lines", framing: noLength, unit: constant("event: piece\n")},
		{name: "event numbers", framing: noLength, unit: constant("id: 1\n")},
		{name: "comments", framing: noLength, unit: constant(": comment\n")},
		{name: "blank lines", framing: noLength, unit: constant("\n")},
		{name: "events without a number", framing: noLength, unit: constant("data: some text\n\n")},
		{name: "events", framing: noLength, unit: events("some text")},
		{name: "long events", framing: noLength, unit: events(strings.Repeat("x", 10<<10))},
		{name: "refusal", behaviour: platformtest.Shed, framing: noLength, unit: constant("x")},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			d.engines[0].SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return test.behaviour })
			endless := d.makeEndless(d.engines[0], test.framing, test.unit)
			d.eventually("the endless server is registered", func() bool { return d.knowsAddress(endless.address) })
			checkHeap := watchHeap(t)
			const groups = 4
			d.submit(d.gateways[0], "j1", submission(groups, groups, 1))
			d.checkResults(d.readAll(d.gateways[0], "j1", 2*groups), 2*groups, 5)
			checkHeap()
			endless.check()
		})
	}
}

// Guards against events that are lost because the stream went on without end after them: the item must resume after the last one.
func TestItemResumesAfterEndlessStream(t *testing.T) {
	d := newDeployment(t, 1)
	endless := d.makeEndless(d.engines[0], chunked, constant(chunk("data: some text\n")))
	endless.soundEvents = 2
	d.eventually("the endless server is registered", func() bool { return d.knowsAddress(endless.address) })
	d.submit(d.gateways[0], "j1", submission(4, 4, 1))
	d.checkResults(d.readAll(d.gateways[0], "j1", 8), 8, 5)
	endless.check()
	resumed := 0
	for _, request := range d.engines[1].Requests() {
		if request.Resumed() {
			resumed++
		}
	}
	if sent := int(endless.requests.Load()); resumed != sent {
		t.Errorf("%d of %d items were resumed", resumed, sent)
	}
}
