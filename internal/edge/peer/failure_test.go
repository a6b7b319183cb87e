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

// A caller would see the end of its answer missing, or another caller's bytes in it. The server sends
// the answer whole; on the way a frame is lost, doubled, cut short or crossed with that of another
// stream, or belongs to another connection. Cause: a fault below us or in our own multiplexing.
func TestTamperedAnswerIsNeverWhole(t *testing.T) {
	body := strings.Repeat("x", 3*chunkSize)
	for _, tc := range []struct {
		name   string
		tamper func(f frame) []frame
	}{
		{name: "data frame lost", tamper: onceData(func(frame) []frame { return nil })},
		{name: "data frame doubled", tamper: onceData(func(f frame) []frame { return []frame{f, f} })},
		{name: "data frame short", tamper: onceData(func(f frame) []frame {
			f.Payload = f.Payload[1:]
			return []frame{f}
		})},
		{name: "byte changed", tamper: onceData(func(f frame) []frame {
			f.Payload[7] ^= 1
			return []frame{f}
		})},
		{name: "frame of another stream", tamper: onceData(func(f frame) []frame {
			f.Stream++
			return []frame{f}
		})},
		{name: "frame of another connection", tamper: onceData(func(f frame) []frame {
			f.Incarnation++
			return []frame{f}
		})},
		{name: "end before the data", tamper: onceData(func(f frame) []frame {
			payload, _ := msgpack.Marshal(closing{Length: 1, Sum: 1})
			return []frame{{Kind: kindEnd, Incarnation: f.Incarnation, Stream: f.Stream, Payload: payload}}
		})},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			_, address := newProxy(t, b.address, tc.tamper)
			a, err := Open[text, text](t.Context(), b.client, address, methodStream, text{Text: body})
			if err == nil {
				_, err = readAll(a)
			}
			if !errors.Is(err, ErrLost) {
				t.Errorf("got error %v, not ErrLost", err)
			}
		})
	}
}

// onceData tampers with the second data frame.
func onceData(tamper func(frame) []frame) func(frame) []frame {
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

// A caller waits for an answer that never ends. The connection is cut, or its peer freezes with the
// connection open, while the answer is under way. The caller must hear within the heartbeat timeout
// that the request may have run, and the handler must end.
func TestConnectionFailsMidAnswer(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(p *proxy)
	}{
		{name: "cut", fail: (*proxy).cut},
		{name: "frozen", fail: func(p *proxy) { close(p.frozen) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, WithHeartbeat(20*time.Millisecond, 100*time.Millisecond))
			p, address := newProxy(t, b.address, func(f frame) []frame { return []frame{f} })
			a, err := Open[text, text](t.Context(), b.client, address, methodHold, text{})
			if err != nil {
				t.Fatal(err)
			}
			tc.fail(p)
			if _, err := a.Next(); !errors.Is(err, ErrLost) {
				t.Errorf("got error %v, not ErrLost", err)
			}
			if cause := <-b.ended; cause == nil {
				t.Error("the handler ended without a cause")
			}
		})
	}
}

// An agent's process is stopped and woken long after its entry gave it up. The request that waited in
// its socket would run then, although its caller was told long ago that it may have run, and may have
// found out that it did not.
func TestWokenProcessActsOnNoOldFrame(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close(); _ = far.Close() }()
	conn := newProgressConn(near, defaultSettings())
	var sender conc.WaitGroup
	sender.Go(func() { _, _ = far.Write([]byte("old")) })
	conn.received = time.Now().Add(-time.Minute)
	if n, err := conn.Read(make([]byte, 10)); n != 0 || !errors.Is(err, ErrFrozen) {
		t.Errorf("%d bytes, error %v", n, err)
	}
	sender.Wait()
}

// An operator starts a host with another secret, or a stranger dials in. No request may pass in
// either direction, and the asking side must know that nothing was sent.
func TestWrongSecret(t *testing.T) {
	b := newBench(t)
	stranger := newTestClient(t, []byte("another secret"))
	_, err := Ask[text, text](t.Context(), stranger, b.address, methodEcho, text{})
	if !errors.Is(err, ErrUnsent) || !strings.Contains(err.Error(), ErrHandshake.Error()) {
		t.Errorf("client with another secret: %v", err)
	}
	for _, tc := range []struct {
		name  string
		frame frame
	}{
		{name: "request without handshake", frame: frame{Kind: kindRequest, Stream: 1}},
		{name: "proof without hello", frame: frame{Kind: kindProof}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", b.address.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			var buf bytes.Buffer
			_ = appendFrame(&buf, msgpack.NewEncoder(nil), tc.frame)
			if _, err := conn.Write(buf.Bytes()); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Error("the server answered")
			}
		})
	}
}

// A client that proves nothing replays the server's own proof as its own. Labels in the signed text
// tell the sides apart, so the server must hang up.
func TestReflectedProof(t *testing.T) {
	b := newBench(t)
	conn, err := net.Dial("tcp", b.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := newFrameReader(conn, maxHandshakeFrame)
	if err := sendPayload(conn, kindHello, hello{Version: protocolVersion, Nonce: newNonce()}); err != nil {
		t.Fatal(err)
	}
	var answer challenge
	if err := receivePayload(reader, kindChallenge, &answer); err != nil {
		t.Fatal(err)
	}
	if err := sendPayload(conn, kindProof, proof{Proof: answer.Proof}); err != nil {
		t.Fatal(err)
	}
	if f, err := reader.next(); err == nil {
		t.Errorf("the server answered with kind %d", f.Kind)
	}
}

// A request frame arrives twice on one connection. The caller would see its booking made twice; the
// second frame must be dropped since its stream was seen.
func TestDoubledRequestRunsOnce(t *testing.T) {
	b := newBench(t)
	conn, err := net.Dial("tcp", b.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := newFrameReader(conn, defaultMaxFrame)
	id, err := greet(conn, reader, testSecret)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := msgpack.Marshal(text{Text: "x"})
	payload, _ := msgpack.Marshal(call{Method: methodHold, Body: body})
	echo, _ := msgpack.Marshal(call{Method: methodEcho, Body: body})
	var buf bytes.Buffer
	for _, f := range []frame{
		{Kind: kindRequest, Incarnation: id.incarnation, Stream: 1, Payload: payload},
		{Kind: kindRequest, Incarnation: id.incarnation, Stream: 1, Payload: payload},
		{Kind: kindRequest, Incarnation: id.incarnation, Stream: 2, Payload: echo},
	} {
		_ = appendFrame(&buf, msgpack.NewEncoder(nil), f)
	}
	if _, err := conn.Write(buf.Bytes()); err != nil {
		t.Fatal(err)
	}
	for f := (frame{}); f.Kind != kindEnd || f.Stream != 2; {
		if f, err = reader.next(); err != nil {
			t.Fatal(err)
		}
	}
	<-b.started
	close(b.release)
	for f := (frame{}); f.Kind != kindEnd || f.Stream != 1; {
		if f, err = reader.next(); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(b.started); got != 0 {
		t.Errorf("the request ran %d more times", got)
	}
}

// An entry host is replaced while many callers read their answers. Each must get its whole answer,
// and a new request must be refused as not run.
func TestDrainCutsOffNothing(t *testing.T) {
	const streams = 200
	body := strings.Repeat("y", 2*defaultWindow)
	b := newBench(t)
	var readers conc.WaitGroup
	failures := make(chan string, streams)
	for range streams {
		readers.Go(func() {
			a, err := Open[text, text](t.Context(), b.client, b.address, methodHold, text{Text: body})
			if err != nil {
				failures <- err.Error()
				return
			}
			if got, err := readAll(a); err != nil || got != body || a.End().Text != "end" {
				failures <- fmt.Sprintf("%d bytes, error %v", len(got), err)
			}
		})
	}
	for range streams {
		<-b.started
	}
	var drain conc.WaitGroup
	drain.Go(func() {
		if err := b.server.Drain(t.Context()); err != nil {
			failures <- err.Error()
		}
	})
	refusal := askUntilRefused(t, b)
	want := verdict.Refuse(verdict.NotRun, verdict.ReasonLeaving, retrySoon, "the process is leaving")
	if diff := cmp.Diff(want, refusal); diff != "" {
		t.Error(diff)
	}
	close(b.release)
	readers.Wait()
	drain.Wait()
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
}

// A host leaves while an answer takes longer than the moment that a closing server gives its clients.
// The answer must still come whole: the server waits for running requests first.
func TestDrainWaitsForLongAnswer(t *testing.T) {
	const goodbye = 100 * time.Millisecond
	b := newBench(t, func(s *settings) { s.closeTimeout = goodbye })
	a, err := Open[text, text](t.Context(), b.client, b.address, methodHold, text{Text: "whole"})
	if err != nil {
		t.Fatal(err)
	}
	drained := make(chan error, 1)
	var drain conc.WaitGroup
	drain.Go(func() { drained <- b.server.Drain(t.Context()) })
	if refusal := askUntilRefused(t, b); refusal.Reason != verdict.ReasonLeaving {
		t.Error(refusal)
	}
	ticker.Sleep(t.Context(), 3*goodbye)
	if len(drained) > 0 {
		t.Error("the server closed with a request running")
	}
	close(b.release)
	if got, err := readAll(a); err != nil || got != "whole" {
		t.Errorf("got %q, error %v", got, err)
	}
	drain.Wait()
}

func askUntilRefused(t *testing.T, b *bench) *verdict.Refusal {
	t.Helper()
	for {
		_, err := Ask[text, text](t.Context(), b.client, b.address, methodEcho, text{})
		if refusal, ok := verdict.As(err); ok {
			return refusal
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// One caller stops reading a long answer. Others on the same connection would wait for it: its
// answer fills the connection. The window keeps it out of their way.
func TestSlowReaderHoldsUpNoOther(t *testing.T) {
	b := newBench(t)
	slow, err := Open[text, text](t.Context(), b.client, b.address, methodStream, text{Text: strings.Repeat("z", 8<<20)})
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if _, err := Ask[text, text](ctx, b.client, b.address, methodEcho, text{}); err != nil {
			t.Fatal(err)
		}
		cancel()
	}
	slow.out.mu.Lock()
	buffered := slow.out.buffered
	slow.out.mu.Unlock()
	if buffered > defaultWindow {
		t.Errorf("%d bytes are buffered", buffered)
	}
	if got, err := readAll(slow); err != nil || len(got) != 8<<20 {
		t.Errorf("%d bytes, error %v", len(got), err)
	}
}

func TestCancelAndDeadlineReachTheHandler(t *testing.T) {
	for _, tc := range []struct {
		name    string
		timeout time.Duration
		hangUp  bool
		want    error
	}{
		{name: "cancelled", timeout: time.Hour, hangUp: true, want: ErrCancelled},
		{name: "deadline", timeout: 50 * time.Millisecond, want: context.DeadlineExceeded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
			defer cancel()
			a, err := Open[text, text](ctx, b.client, b.address, methodHold, text{})
			if err != nil {
				t.Fatal(err)
			}
			if tc.hangUp {
				a.Cancel()
			}
			if cause := <-b.ended; !errors.Is(cause, tc.want) && !errors.Is(cause, ErrCancelled) {
				t.Errorf("the handler's context ended with %v", cause)
			}
		})
	}
}

func TestUnsent(t *testing.T) {
	b := newBench(t)
	l, closed := listen(t)
	_ = l.Close()
	if _, err := Ask[text, text](t.Context(), b.client, closed, methodEcho, text{}); !errors.Is(err, ErrUnsent) {
		t.Errorf("nobody listens: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Ask[text, text](ctx, b.client, b.address, methodEcho, text{}); !errors.Is(err, ErrUnsent) {
		t.Errorf("cancelled before: %v", err)
	}
	_, err := Ask[text, text](t.Context(), b.client, b.address, methodEcho, text{Text: strings.Repeat("x", defaultMaxFrame)})
	if refusal, ok := verdict.As(err); !ok || refusal.Verdict != verdict.NotRun {
		t.Errorf("too large: %v", err)
	}
	_, err = Ask[text, text](t.Context(), b.client, b.address, "unknown", text{})
	if refusal, ok := verdict.As(err); !ok || refusal.Verdict != verdict.NotRun {
		t.Errorf("unknown method: %v", err)
	}
}

// An idle connection is closed, and the next request opens another.
func TestIdleConnectionIsClosed(t *testing.T) {
	b := newBench(t, WithIdleTimeout(10*time.Millisecond))
	for range 3 {
		if _, err := Ask[text, text](t.Context(), b.client, b.address, methodEcho, text{}); err != nil {
			t.Fatal(err)
		}
		for len(b.server.snapshot()) > 0 {
			ticker.Sleep(t.Context(), time.Millisecond)
		}
	}
}

// FuzzHandshake feeds a stranger's bytes to the serving side of a handshake: it must fail, without
// reading more than small frames.
func FuzzHandshake(f *testing.F) {
	var buf bytes.Buffer
	payload, _ := msgpack.Marshal(hello{Version: protocolVersion, Nonce: newNonce()})
	_ = appendFrame(&buf, msgpack.NewEncoder(nil), frame{Kind: kindHello, Payload: payload})
	payload, _ = msgpack.Marshal(proof{Proof: newNonce()})
	_ = appendFrame(&buf, msgpack.NewEncoder(nil), frame{Kind: kindProof, Payload: payload})
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		var peer conc.WaitGroup
		peer.Go(func() { _, _ = io.Copy(io.Discard, far) })
		_, err := accept(near, newFrameReader(bytes.NewReader(data), maxHandshakeFrame), testSecret, 1)
		_ = near.Close()
		_ = far.Close()
		peer.Wait()
		if err == nil {
			t.Error("a stranger was let in")
		}
	})
}

func FuzzFrame(f *testing.F) {
	var buf bytes.Buffer
	_ = appendFrame(&buf, msgpack.NewEncoder(nil), frame{Kind: kindData, Incarnation: 1 << 60, Stream: 7, Payload: []byte("abc")})
	f.Add(buf.Bytes())
	f.Add([]byte{0, 0, 0, 1, 0xc0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newFrameReader(bytes.NewReader(data), 1<<16)
		got, err := reader.next()
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := appendFrame(&again, msgpack.NewEncoder(nil), got); err != nil {
			t.Fatal(err)
		}
		back, err := newFrameReader(&again, 1<<16+frameOverhead).next()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(got, back); diff != "" {
			t.Error(diff)
		}
		if length := binary.BigEndian.Uint32(data); int(length) < len(got.Payload) {
			t.Errorf("payload of %d bytes in a frame of %d", len(got.Payload), length)
		}
	})
}
