package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

const (
	soon       = 5 * time.Second
	modelPath  = "/v1/models/draftmodel/generate"
	streamBody = `{"prompt":"x","maxTokens":100000,"stream":true}`
)

// connect opens a connection of a caller that the test itself reads and writes.
func (f *fixture) connect() *net.TCPConn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(4 * soon))
	return conn.(*net.TCPConn)
}

// raw is a request as it is sent; headers end with a line break.
func raw(path, body, headers string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", path, callerKey, headers, len(body), body)
}

func (f *fixture) write(conn net.Conn, text string) {
	f.t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		f.t.Fatal(err)
	}
}

// receive waits for a value of the channel.
func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(soon):
		t.Fatalf("%s: not within %v", what, soon)
		return *new(T)
	}
}

// waits makes an agent that holds each call until its context ends, and tells how it ended.
func waits() (a *fakeAgent, began chan struct{}, ended chan error) {
	began, ended = make(chan struct{}, 8), make(chan error, 8)
	return &fakeAgent{execute: func(ctx context.Context, _ request.Execute, _ peer.Sink) (request.AnswerEnd, error) {
		began <- struct{}{}
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return request.AnswerEnd{}, verdict.Refuse(verdict.NotRun, verdict.ReasonCancelled, 0, "gone")
	}}, began, ended
}

// floods makes an engine that sends tokens for as long as it can, and tells when it was stopped.
func floods() (a *fakeAgent, ended chan error) {
	ended = make(chan error, 8)
	return &fakeAgent{execute: func(ctx context.Context, _ request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		if err := out.Head(request.AnswerHead{Status: http.StatusOK}); err != nil {
			return request.AnswerEnd{}, err
		}
		event, err := json.Marshal(backendserver.Event{Text: strings.Repeat("pony ", 200), Version: 1})
		for err == nil {
			_, err = out.Write([]byte("data: " + string(event) + "\n\n"))
		}
		ended <- context.Cause(ctx)
		return request.AnswerEnd{}, err
	}}, ended
}

// A parent closes the connection while the booking still waits in an agent's queue.
// The HTTP library doesn't notice; the request would take its turn at the server for nobody. It must be cancelled at
// the agent at once, long before its deadline.
func TestCallerHangsUpWhileQueued(t *testing.T) {
	agent, began, ended := waits()
	f := newFixture(t, agent)
	conn := f.connect()
	f.write(conn, raw("/v1/services/billdesk/charge", "x", "Request-Timeout: 600\r\n"))
	receive(t, "request at the agent", began)
	_ = conn.Close()
	_ = receive(t, "cancellation", ended)
}

// A rider closes the connection in the middle of a stream of tokens.
// The engine would go on for nobody until its answer ends; the stream must be cancelled there.
func TestCallerHangsUpFromStream(t *testing.T) {
	agent, ended := floods()
	f := newFixture(t, agent)
	conn := f.connect()
	f.write(conn, raw(modelPath, streamBody, ""))
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	_ = receive(t, "cancellation", ended)
}

// A caller sends its next request on the same connection before the first is answered, as HTTP allows.
// The watch for a hang-up looks at the connection meanwhile; if it took a byte the next request would be lost, or read
// as another. Both must be answered, each with its own body.
func TestNextRequestOnTheConnectionIsNotLost(t *testing.T) {
	began, release := make(chan struct{}, 2), make(chan struct{})
	agent := &fakeAgent{execute: func(ctx context.Context, q request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		began <- struct{}{}
		<-release
		return echo(ctx, q, out)
	}}
	f := newFixture(t, agent)
	conn := f.connect()
	f.write(conn, raw("/v1/services/billdesk/charge", "first", ""))
	receive(t, "first request at the agent", began)
	f.write(conn, raw("/v1/services/billdesk/charge", "second", ""))
	close(release)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"first", "second"} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: %v", want, err)
		}
		body := make([]byte, len(want))
		if _, err := response.Body.Read(body); string(body) != want {
			t.Errorf("have %q (%v), want %q", body, err, want)
		}
	}
}

// A rider's phone stops reading a stream in the middle, and the connection stays open.
// Writing to it would wait for half an hour. The stream must end at its deadline: at the engine, and at the entry,
// whose drain would wait for it else.
func TestCallerStopsReading(t *testing.T) {
	agent, ended := floods()
	f := newFixture(t, agent)
	conn := f.connect()
	_ = conn.SetReadBuffer(4 << 10)
	f.write(conn, raw(modelPath, streamBody, "Request-Timeout: 1\r\n"))
	_ = receive(t, "end at the engine", ended)
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	if err := f.entry.Drain(ctx, 0); err != nil {
		t.Error(err)
	}
}

// A caller sends a body above the limit.
// It must learn so with a status and a verdict, and nothing may run.
func TestBodyAboveTheLimit(t *testing.T) {
	ready := &fakeAgent{}
	f := newFixture(t, ready)
	response, refusal := f.exchange(t, raw("/v1/services/billdesk/charge", strings.Repeat("x", 1<<20+1), ""))
	if response.StatusCode != http.StatusRequestEntityTooLarge || refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.ReasonTooLarge || runs(ready) != 0 {
		t.Errorf("have status %d and %+v, %d runs", response.StatusCode, refusal, runs(ready))
	}
}

// A caller writes a body of five times the limit to its end and only then reads the answer, as plain clients do.
// The entry refused after the first part and closed the connection with the rest unread, which resets it: the caller saw
// a broken connection and could not know that nothing had run.
func TestBodyAboveTheLimitIsRefusedToACallerThatWritesItAll(t *testing.T) {
	f := newFixture(t, &fakeAgent{})
	for range 20 {
		conn := f.connect()
		f.write(conn, raw("/v1/services/billdesk/charge", strings.Repeat("x", 5<<20), ""))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d: %v", response.StatusCode, err)
		}
	}
}

// drip writes as much as the other side takes.
func (*fixture) drip(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

// A balancer keeps many connections open between requests, some of which never carried one, when the entry leaves.
// They hold nothing that could be cut off; the drain must not wait for them until its bound.
func TestKeptConnectionsDoNotHoldUpTheDrain(t *testing.T) {
	f := newFixture(t, &fakeAgent{})
	for i := range 40 {
		conn := f.connect()
		if i%2 == 0 {
			continue
		}
		f.write(conn, raw("/v1/services/billdesk/charge", "x", ""))
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*soon)
	defer cancel()
	if err := f.entry.Drain(ctx, 0); err != nil {
		t.Error(err)
	}
}

// shortReads are settings under which a request must come within a moment.
var shortReads = Config{HostID: "entry-1", BodyLimitBytes: 1 << 20, Incarnation: 7, ReadTimeout: 200 * time.Millisecond}

// A phone loses its network in the middle of a request, and its connection stays open without a byte. It would hold a place
// for ever, and the drain of the host until its bound. It must be refused, and the host must drain.
func TestHalfARequestIsGivenUp(t *testing.T) {
	whole := raw("/v1/services/billdesk/charge", "body", "")
	for _, half := range []string{whole[:20], whole[:len(whole)-2]} {
		ready := &fakeAgent{}
		f := newFixtureOf(t, shortReads, ready)
		response, refusal := f.exchange(t, half)
		if response.StatusCode != http.StatusRequestTimeout || refusal.Verdict != verdict.NotRun || runs(ready) != 0 {
			t.Errorf("%q: status %d, %+v, %d runs", half, response.StatusCode, refusal, runs(ready))
		}
		ctx, cancel := context.WithTimeout(context.Background(), soon)
		if err := f.entry.Drain(ctx, 0); err != nil {
			t.Error(err)
		}
		cancel()
	}
}

// A parent waits for longer than a request may take to come, and hangs up. The watch for hang-ups reads from the same
// connection; the bound on reading must not have ended it.
func TestCallerHangsUpAfterTheReadTimeout(t *testing.T) {
	agent, began, ended := waits()
	f := newFixtureOf(t, shortReads, agent)
	conn := f.connect()
	f.write(conn, raw("/v1/services/billdesk/charge", "x", "Request-Timeout: 600\r\n"))
	receive(t, "request at the agent", began)
	time.Sleep(2 * shortReads.ReadTimeout) // the time that the bound takes to pass
	_ = conn.Close()
	_ = receive(t, "cancellation", ended)
}
