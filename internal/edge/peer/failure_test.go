package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// Guards against an answer that is accepted although it is incomplete or contains data of another caller. A fault in the
// network or in the multiplexing drops, duplicates, truncates or changes a frame, or delivers it to another stream or connection.
func TestTamperedAnswerIsNeverWhole(t *testing.T) {
	body := strings.Repeat("x", 3*chunkSize)
	for _, test := range []struct {
		name   string
		tamper func(f frame) []frame
	}{
		{name: "data frame dropped", tamper: tamperSecondData(func(frame) []frame { return nil })},
		{name: "data frame duplicated", tamper: tamperSecondData(func(f frame) []frame { return []frame{f, f} })},
		{name: "data frame truncated", tamper: tamperSecondData(func(f frame) []frame {
			f.Payload = f.Payload[1:]
			return []frame{f}
		})},
		{name: "byte changed", tamper: tamperSecondData(func(f frame) []frame {
			f.Payload[7] ^= 1
			return []frame{f}
		})},
		{name: "frame of another stream", tamper: tamperSecondData(func(f frame) []frame {
			f.StreamID++
			return []frame{f}
		})},
		{name: "frame of another connection", tamper: tamperSecondData(func(f frame) []frame {
			f.ConnectionID++
			return []frame{f}
		})},
		{name: "end before the data", tamper: tamperSecondData(func(f frame) []frame {
			payload, _ := msgpack.Marshal(endMessage{Length: 1, Checksum: 1})
			return []frame{{Kind: kindEnd, ConnectionID: f.ConnectionID, StreamID: f.StreamID, Payload: payload}}
		})},
	} {
		t.Run(test.name, func(t *testing.T) {
			peers := newTestPeers(t)
			_, address := newProxy(t, peers.address, test.tamper)
			answer, err := OpenStream[text, text](t.Context(), peers.client, address, methodStream, text{Text: body})
			if err == nil {
				_, err = readAnswer(answer)
			}
			if !errors.Is(err, ErrLost) {
				t.Errorf("got error %v, not ErrLost", err)
			}
		})
	}
}

// tamperSecondData returns a function that applies tamper to the second data frame and passes on all others.
func tamperSecondData(tamper func(frame) []frame) func(frame) []frame {
	count := 0
	return func(f frame) []frame {
		if f.Kind != kindData {
			return []frame{f}
		}
		count++
		if count != 2 {
			return []frame{f}
		}
		return tamper(f)
	}
}

// Guards against a caller that waits forever for the rest of an answer. The connection breaks, or the peer is suspended with the
// connection open, in the middle of an answer. Within the heartbeat timeout the caller must get ErrLost, and the handler must end.
func TestConnectionFailsMidAnswer(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(p *proxy)
	}{
		{name: "cut", fail: (*proxy).cut},
		{name: "frozen", fail: func(p *proxy) { close(p.frozen) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			peers := newTestPeers(t, WithHeartbeat(20*time.Millisecond, 100*time.Millisecond))
			p, address := newProxy(t, peers.address, func(f frame) []frame { return []frame{f} })
			answer, err := OpenStream[text, text](t.Context(), peers.client, address, methodHold, text{})
			if err != nil {
				t.Fatal(err)
			}
			test.fail(p)
			if _, err := answer.Next(); !errors.Is(err, ErrLost) {
				t.Errorf("got error %v, not ErrLost", err)
			}
			if cause := <-peers.handlerEnded; cause == nil {
				t.Error("the handler ended without a cause")
			}
		})
	}
}

// Guards against a request that runs after its caller has given up on it. A process is suspended, and resumed long after the client
// has closed the connection. The request in its socket buffer must not run: the caller got an error that says that it may have run, and may
// have found out since that it did not.
func TestWokenProcessActsOnNoOldFrame(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = local.Close(); _ = remote.Close() }()
	conn := newProgressConn(local, defaultSettings())
	var sender conc.WaitGroup
	sender.Go(func() { _, _ = remote.Write([]byte("old")) })
	conn.lastRead = time.Now().Add(-time.Minute)
	if n, err := conn.Read(make([]byte, 10)); n != 0 || !errors.Is(err, ErrFrozen) {
		t.Errorf("%d bytes, error %v", n, err)
	}
	sender.Wait()
}

// Guards against requests of an unauthenticated client: a host with another secret, or one that skips parts of the handshake.
// The client must get ErrUnsent.
func TestWrongSecret(t *testing.T) {
	peers := newTestPeers(t)
	client := newTestClient(t, []byte("another secret"))
	_, err := Call[text, text](t.Context(), client, peers.address, methodEcho, text{})
	if !errors.Is(err, ErrUnsent) || !strings.Contains(err.Error(), ErrHandshake.Error()) {
		t.Errorf("client with another secret: %v", err)
	}
	for _, test := range []struct {
		name  string
		frame frame
	}{
		{name: "request without handshake", frame: frame{Kind: kindRequest, StreamID: 1}},
		{name: "proof without hello", frame: frame{Kind: kindProof}},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", peers.address.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			var buf bytes.Buffer
			_ = appendFrame(&buf, msgpack.NewEncoder(nil), test.frame)
			if _, err := conn.Write(buf.Bytes()); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Error("the server answered")
			}
		})
	}
}

// Guards against a reflection attack: a client without the secret sends back the server's own proof. The server must reject it and
// close the connection, since each side signs its proof with a different label.
func TestReflectedProofIsRejected(t *testing.T) {
	peers := newTestPeers(t)
	conn, err := net.Dial("tcp", peers.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := newFrameReader(conn, maxHandshakeFrame)
	if err := sendHandshake(conn, kindHello, hello{Version: protocolVersion, Nonce: newNonce()}); err != nil {
		t.Fatal(err)
	}
	var serverChallenge challenge
	if err := receiveHandshake(reader, kindChallenge, &serverChallenge); err != nil {
		t.Fatal(err)
	}
	if err := sendHandshake(conn, kindProof, proof{Proof: serverChallenge.Proof}); err != nil {
		t.Fatal(err)
	}
	if f, err := reader.next(); err == nil {
		t.Errorf("the server answered with kind %d", f.Kind)
	}
}

// Guards against a request that runs twice, such as a duplicate booking. Its frame arrives twice on a connection, and the second
// one must be dropped because the stream ID was used before.
func TestDoubledRequestRunsOnce(t *testing.T) {
	peers := newTestPeers(t)
	conn, err := net.Dial("tcp", peers.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := newFrameReader(conn, defaultMaxFrame)
	id, err := clientHandshake(conn, reader, testSecret)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := msgpack.Marshal(text{Text: "x"})
	holdRequest, _ := msgpack.Marshal(requestMessage{Method: methodHold, Body: body})
	echoRequest, _ := msgpack.Marshal(requestMessage{Method: methodEcho, Body: body})
	var buf bytes.Buffer
	for _, f := range []frame{
		{Kind: kindRequest, ConnectionID: id.connectionID, StreamID: 1, Payload: holdRequest},
		{Kind: kindRequest, ConnectionID: id.connectionID, StreamID: 1, Payload: holdRequest},
		{Kind: kindRequest, ConnectionID: id.connectionID, StreamID: 2, Payload: echoRequest},
	} {
		_ = appendFrame(&buf, msgpack.NewEncoder(nil), f)
	}
	if _, err := conn.Write(buf.Bytes()); err != nil {
		t.Fatal(err)
	}
	for f := (frame{}); f.Kind != kindEnd || f.StreamID != 2; {
		if f, err = reader.next(); err != nil {
			t.Fatal(err)
		}
	}
	<-peers.handlerStarted
	close(peers.releaseHandlers)
	for f := (frame{}); f.Kind != kindEnd || f.StreamID != 1; {
		if f, err = reader.next(); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(peers.handlerStarted); got != 0 {
		t.Errorf("the request ran %d times too often", got)
	}
}

// Guards against answers that are truncated when a server drains while many callers read. Each caller must get its complete
// answer, and a new request must be refused as not run.
func TestDrainCompletesRunningAnswers(t *testing.T) {
	const streams = 200
	body := strings.Repeat("y", 2*defaultWindow)
	peers := newTestPeers(t)
	var readers conc.WaitGroup
	failures := make(chan string, streams)
	for range streams {
		readers.Go(func() {
			answer, err := OpenStream[text, text](t.Context(), peers.client, peers.address, methodHold, text{Text: body})
			if err != nil {
				failures <- err.Error()
				return
			}
			if got, err := readAnswer(answer); err != nil || got != body || answer.End().Text != "end" {
				failures <- fmt.Sprintf("%d bytes, error %v", len(got), err)
			}
		})
	}
	for range streams {
		<-peers.handlerStarted
	}
	var drain conc.WaitGroup
	drain.Go(func() {
		if err := peers.server.Drain(t.Context()); err != nil {
			failures <- err.Error()
		}
	})
	refusal := callUntilRefused(t, peers)
	want := verdict.Refuse(verdict.NotRun, verdict.ReasonLeaving, retryAfter, "the process is leaving")
	if diff := cmp.Diff(want, refusal); diff != "" {
		t.Error(diff)
	}
	close(peers.releaseHandlers)
	readers.Wait()
	drain.Wait()
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
}

// Guards against a draining server that applies its close timeout to running requests. An answer that takes longer than the
// timeout must still be complete.
func TestDrainWaitsForLongAnswer(t *testing.T) {
	const closeTimeout = 100 * time.Millisecond
	peers := newTestPeers(t, func(s *settings) { s.closeTimeout = closeTimeout })
	answer, err := OpenStream[text, text](t.Context(), peers.client, peers.address, methodHold, text{Text: "whole"})
	if err != nil {
		t.Fatal(err)
	}
	drained := make(chan error, 1)
	var drain conc.WaitGroup
	drain.Go(func() { drained <- peers.server.Drain(t.Context()) })
	if refusal := callUntilRefused(t, peers); refusal.Reason != verdict.ReasonLeaving {
		t.Error(refusal)
	}
	ticker.Sleep(t.Context(), 3*closeTimeout)
	if len(drained) > 0 {
		t.Error("the server closed with a request running")
	}
	close(peers.releaseHandlers)
	if got, err := readAnswer(answer); err != nil || got != "whole" {
		t.Errorf("got %q, error %v", got, err)
	}
	drain.Wait()
}

func callUntilRefused(t *testing.T, peers *testPeers) *verdict.Refusal {
	t.Helper()
	for {
		_, err := Call[text, text](t.Context(), peers.client, peers.address, methodEcho, text{})
		if refusal, ok := verdict.As(err); ok {
			return refusal
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against head-of-line blocking: without a flow-control window the long answer for a slow reader fills the connection
// and blocks all other requests on it.
func TestSlowReaderDoesNotBlockOtherRequests(t *testing.T) {
	peers := newTestPeers(t)
	slow, err := OpenStream[text, text](t.Context(), peers.client, peers.address, methodStream, text{Text: strings.Repeat("z", 8<<20)})
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if _, err := Call[text, text](ctx, peers.client, peers.address, methodEcho, text{}); err != nil {
			t.Fatal(err)
		}
		cancel()
	}
	slow.stream.mu.Lock()
	buffered := slow.stream.buffered
	slow.stream.mu.Unlock()
	if buffered > defaultWindow {
		t.Errorf("%d bytes are buffered", buffered)
	}
	if got, err := readAnswer(slow); err != nil || len(got) != 8<<20 {
		t.Errorf("%d bytes, error %v", len(got), err)
	}
}

func TestCancelAndDeadlineReachTheHandler(t *testing.T) {
	for _, test := range []struct {
		name         string
		timeout      time.Duration
		cancelAnswer bool
		want         error
	}{
		{name: "cancelled", timeout: time.Hour, cancelAnswer: true, want: ErrCancelled},
		{name: "deadline", timeout: 50 * time.Millisecond, want: context.DeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			peers := newTestPeers(t)
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			answer, err := OpenStream[text, text](ctx, peers.client, peers.address, methodHold, text{})
			if err != nil {
				t.Fatal(err)
			}
			if test.cancelAnswer {
				answer.Cancel()
			}
			if cause := <-peers.handlerEnded; !errors.Is(cause, test.want) && !errors.Is(cause, ErrCancelled) {
				t.Errorf("the handler's context ended with %v", cause)
			}
		})
	}
}

func TestRequestThatDidNotRun(t *testing.T) {
	peers := newTestPeers(t)
	l, address := listen(t)
	_ = l.Close()
	if _, err := Call[text, text](t.Context(), peers.client, address, methodEcho, text{}); !errors.Is(err, ErrUnsent) {
		t.Errorf("no listener: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Call[text, text](ctx, peers.client, peers.address, methodEcho, text{}); !errors.Is(err, ErrUnsent) {
		t.Errorf("cancelled before the call: %v", err)
	}
	_, err := Call[text, text](t.Context(), peers.client, peers.address, methodEcho, text{Text: strings.Repeat("x", defaultMaxFrame)})
	if refusal, ok := verdict.As(err); !ok || refusal.Verdict != verdict.NotRun {
		t.Errorf("too large: %v", err)
	}
	_, err = Call[text, text](t.Context(), peers.client, peers.address, "unknown", text{})
	if refusal, ok := verdict.As(err); !ok || refusal.Verdict != verdict.NotRun {
		t.Errorf("unknown method: %v", err)
	}
}

// Guards against idle connections that stay open, and against a client that can't connect again after it closed one.
func TestIdleConnectionIsClosed(t *testing.T) {
	peers := newTestPeers(t, WithIdleTimeout(10*time.Millisecond))
	for range 3 {
		if _, err := Call[text, text](t.Context(), peers.client, peers.address, methodEcho, text{}); err != nil {
			t.Fatal(err)
		}
		for len(peers.server.connections()) > 0 {
			ticker.Sleep(t.Context(), time.Millisecond)
		}
	}
}

// FuzzHandshake sends arbitrary bytes of a client without the secret to the server side of the handshake. It must fail and accept
// only small frames.
func FuzzHandshake(f *testing.F) {
	var buf bytes.Buffer
	payload, _ := msgpack.Marshal(hello{Version: protocolVersion, Nonce: newNonce()})
	_ = appendFrame(&buf, msgpack.NewEncoder(nil), frame{Kind: kindHello, Payload: payload})
	payload, _ = msgpack.Marshal(proof{Proof: newNonce()})
	_ = appendFrame(&buf, msgpack.NewEncoder(nil), frame{Kind: kindProof, Payload: payload})
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, client := net.Pipe()
		var reader conc.WaitGroup
		reader.Go(func() { _, _ = io.Copy(io.Discard, client) })
		_, err := serverHandshake(conn, newFrameReader(bytes.NewReader(data), maxHandshakeFrame), testSecret, 1)
		_ = conn.Close()
		_ = client.Close()
		reader.Wait()
		if err == nil {
			t.Error("the server accepted a client without the secret")
		}
	})
}

func FuzzFrame(f *testing.F) {
	var buf bytes.Buffer
	_ = appendFrame(&buf, msgpack.NewEncoder(nil), frame{Kind: kindData, ConnectionID: 1 << 60, StreamID: 7, Payload: []byte("abc")})
	f.Add(buf.Bytes())
	f.Add([]byte{0, 0, 0, 1, 0xc0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newFrameReader(bytes.NewReader(data), 1<<16)
		original, err := reader.next()
		if err != nil {
			return
		}
		var reencoded bytes.Buffer
		if err := appendFrame(&reencoded, msgpack.NewEncoder(nil), original); err != nil {
			t.Fatal(err)
		}
		decoded, err := newFrameReader(&reencoded, 1<<16+frameOverhead).next()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(original, decoded); diff != "" {
			t.Error(diff)
		}
		if length := binary.BigEndian.Uint32(data); int(length) < len(original.Payload) {
			t.Errorf("payload of %d bytes in a frame of %d", len(original.Payload), length)
		}
	})
}
