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

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

const (
	testTimeout = 5 * time.Second
	modelPath   = "/v1/models/draftmodel/generate"
	streamBody  = `{"prompt":"x","maxTokens":100000,"stream":true}`
)

// connect opens a caller's connection that the test reads and writes itself.
func (f *fixture) connect() *net.TCPConn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(4 * testTimeout))
	return conn.(*net.TCPConn)
}

// rawRequest returns the text of a POST request; each of headers ends with a line break.
func rawRequest(path, body, headers string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", path, callerKey, headers, len(body), body)
}

func (f *fixture) write(conn net.Conn, text string) {
	f.t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		f.t.Fatal(err)
	}
}

// receive waits for a value from the channel.
func receive[T any](t *testing.T, description string, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("%s: not within %v", description, testTimeout)
		return *new(T)
	}
}

// newBlockingAgent returns an agent that blocks each call until its context ends, and reports the cause.
func newBlockingAgent() (a *fakeAgent, began chan struct{}, ended chan error) {
	began, ended = make(chan struct{}, 8), make(chan error, 8)
	return &fakeAgent{execute: func(ctx context.Context, _ request.Execute, _ peer.Sink) (request.AnswerEnd, error) {
		began <- struct{}{}
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return request.AnswerEnd{}, verdict.Refuse(verdict.NotRun, verdict.ReasonCancelled, 0, "gone")
	}}, began, ended
}

// newFloodingAgent returns an agent that sends tokens until it is stopped, and reports the cause.
func newFloodingAgent() (a *fakeAgent, ended chan error) {
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

// A caller closes the connection while its call waits in an agent's queue. The HTTP library doesn't notice, so that
// the call would still get its turn at the server. It must be cancelled at the agent at once, long before its
// deadline.
func TestCallerHangsUpWhileQueued(t *testing.T) {
	agent, began, ended := newBlockingAgent()
	f := newFixture(t, agent)
	conn := f.connect()
	f.write(conn, rawRequest("/v1/services/billdesk/charge", "x", "Request-Timeout: 600\r\n"))
	receive(t, "request at the agent", began)
	_ = conn.Close()
	_ = receive(t, "cancellation", ended)
}

// A caller closes the connection in the middle of a stream of tokens. The backend server would keep generating until
// the answer ends; it must be cancelled there.
func TestCallerHangsUpFromStream(t *testing.T) {
	agent, ended := newFloodingAgent()
	f := newFixture(t, agent)
	conn := f.connect()
	f.write(conn, rawRequest(modelPath, streamBody, ""))
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	_ = receive(t, "cancellation", ended)
}

// A caller sends its next request on the same connection before the first is answered, which HTTP allows. Meanwhile
// the hang-up detection reads from the connection. If it consumed a byte, the next request would be lost or misread.
// Both must be answered, each with its own body.
func TestNextRequestOnTheConnectionIsNotLost(t *testing.T) {
	began, release := make(chan struct{}, 2), make(chan struct{})
	agent := &fakeAgent{execute: func(ctx context.Context, req request.Execute, out peer.Sink) (request.AnswerEnd, error) {
		began <- struct{}{}
		<-release
		return echo(ctx, req, out)
	}}
	f := newFixture(t, agent)
	conn := f.connect()
	f.write(conn, rawRequest("/v1/services/billdesk/charge", "first", ""))
	receive(t, "first request at the agent", began)
	f.write(conn, rawRequest("/v1/services/billdesk/charge", "second", ""))
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

// A caller stops reading in the middle of a stream, and the connection stays open. Writes to it would block for half
// an hour. The stream must end at its deadline, both at the backend server and at the entry, whose drain would
// otherwise wait for it.
func TestCallerStopsReading(t *testing.T) {
	agent, ended := newFloodingAgent()
	f := newFixture(t, agent)
	conn := f.connect()
	_ = conn.SetReadBuffer(4 << 10)
	f.write(conn, rawRequest(modelPath, streamBody, "Request-Timeout: 1\r\n"))
	_ = receive(t, "end at the engine", ended)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := f.entry.Drain(ctx, 0); err != nil {
		t.Error(err)
	}
}

// A caller sends a body above the limit. It must get a status and a verdict that say so, and nothing may run.
func TestBodyAboveTheLimit(t *testing.T) {
	ready := &fakeAgent{}
	f := newFixture(t, ready)
	response, refusal := f.exchange(t, rawRequest("/v1/services/billdesk/charge", strings.Repeat("x", 1<<20+1), ""))
	if response.StatusCode != http.StatusRequestEntityTooLarge || refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.ReasonTooLarge || runs(ready) != 0 {
		t.Errorf("have status %d and %+v, %d runs", response.StatusCode, refusal, runs(ready))
	}
}

// A caller writes a body of five times the limit to its end before it reads the answer, as simple clients do. The
// entry refused after the first part and closed the connection with the rest unread, which resets it: the caller saw a
// broken connection and could not know that nothing had run.
func TestBodyAboveTheLimitIsRefusedToACallerThatWritesItAll(t *testing.T) {
	f := newFixture(t, &fakeAgent{})
	for range 20 {
		conn := f.connect()
		f.write(conn, rawRequest("/v1/services/billdesk/charge", strings.Repeat("x", 5<<20), ""))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d: %v", response.StatusCode, err)
		}
	}
}

// writeIgnoringErrors writes as much of text as the other side accepts.
func (*fixture) writeIgnoringErrors(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

// When the entry leaves, a load balancer holds many idle connections, some of which never carried a request. There is
// nothing on them to cut off, so the drain must not wait for them until its deadline.
func TestIdleConnectionsDoNotDelayTheDrain(t *testing.T) {
	f := newFixture(t, &fakeAgent{})
	for i := range 40 {
		conn := f.connect()
		if i%2 == 0 {
			continue
		}
		f.write(conn, rawRequest("/v1/services/billdesk/charge", "x", ""))
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	if err := f.entry.Drain(ctx, 0); err != nil {
		t.Error(err)
	}
}

// Guards against a request that is passed on during a drain, and cut at its end: it must be refused unless it is answered before.
func TestDrainRefusesWhatItMayNotAnswer(t *testing.T) {
	for _, test := range []struct {
		timeout string
		status  int
		runs    int
	}{
		{timeout: "Request-Timeout: 600\r\n", status: http.StatusServiceUnavailable},
		{timeout: "Request-Timeout: 1\r\n", status: http.StatusOK, runs: 1},
	} {
		t.Run(strings.TrimSpace(test.timeout), func(t *testing.T) {
			ready := &fakeAgent{}
			f := newFixture(t, ready)
			conn := f.connect()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			drained := make(chan error, 1)
			var drain conc.WaitGroup
			drain.Go(func() { drained <- f.entry.Drain(ctx, 0) })
			for f.entry.stop.Load() == nil {
				time.Sleep(time.Millisecond)
			}
			f.write(conn, rawRequest("/v1/services/billdesk/charge", "x", test.timeout))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != test.status || !response.Close || runs(ready) != test.runs {
				t.Errorf("status %d, closes %v, %d runs", response.StatusCode, response.Close, runs(ready))
			}
			_ = response.Body.Close()
			if err := <-drained; err != nil {
				t.Error(err)
			}
			drain.Wait()
		})
	}
}

// shortReadConfig has a short ReadTimeout.
var shortReadConfig = Config{HostID: "entry-1", BodyLimitBytes: 1 << 20, Incarnation: 7, ReadTimeout: 200 * time.Millisecond}

// A caller loses its network in the middle of a request, and its connection stays open without traffic. It would stay
// open forever and hold up the drain until its deadline. The request must be refused, and the host must drain.
func TestIncompleteRequestTimesOut(t *testing.T) {
	whole := rawRequest("/v1/services/billdesk/charge", "body", "")
	for _, half := range []string{whole[:20], whole[:len(whole)-2]} {
		ready := &fakeAgent{}
		f := newFixtureWithConfig(t, shortReadConfig, ready)
		response, refusal := f.exchange(t, half)
		if response.StatusCode != http.StatusRequestTimeout || refusal.Verdict != verdict.NotRun || runs(ready) != 0 {
			t.Errorf("%q: status %d, %+v, %d runs", half, response.StatusCode, refusal, runs(ready))
		}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if err := f.entry.Drain(ctx, 0); err != nil {
			t.Error(err)
		}
		cancel()
	}
}

// A caller hangs up after it has waited for longer than the read timeout. The hang-up detection reads from the same
// connection; the read timeout must not have ended it.
func TestCallerHangsUpAfterTheReadTimeout(t *testing.T) {
	agent, began, ended := newBlockingAgent()
	f := newFixtureWithConfig(t, shortReadConfig, agent)
	conn := f.connect()
	f.write(conn, rawRequest("/v1/services/billdesk/charge", "x", "Request-Timeout: 600\r\n"))
	receive(t, "request at the agent", began)
	time.Sleep(2 * shortReadConfig.ReadTimeout) // let the read timeout pass
	_ = conn.Close()
	_ = receive(t, "cancellation", ended)
}
