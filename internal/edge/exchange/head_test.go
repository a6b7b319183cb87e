package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// readerConn is a connection that reads from a reader.
type readerConn struct {
	net.Conn
	io.Reader
}

func (c readerConn) Read(data []byte) (int, error) { return c.Reader.Read(data) }

func newTestConnection(source io.Reader) *connection {
	conn := &connection{key: "http://server", socket: readerConn{Reader: source}}
	conn.reader = bufio.NewReader(conn)
	return conn
}

// Guards against heads that the library reads in another way than the protocol, however they arrive. What follows a head must not be lost.
func TestAwaitHead(t *testing.T) {
	const rest = "the body"
	tests := []struct {
		name, sent, want string
		malformed        bool
	}{
		{name: "usual", sent: "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", want: "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"},
		{name: "no fields", sent: "HTTP/1.1 204\r\n\r\n", want: "HTTP/1.1 204\r\n\r\n"},
		{name: "HTTP/1.0", sent: "HTTP/1.0 200 OK\r\n\r\n", want: "HTTP/1.0 200 OK\r\n\r\n"},
		{name: "later version", sent: "HTTP/1.9 200 OK\r\nX-A: b\r\n\r\n", want: "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"},
		{name: "bare line feeds", sent: "HTTP/1.1 200 OK\nX-A: b\n\n", want: "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"},
		{name: "folded fields", sent: "HTTP/1.1 200 OK\r\nX-A: b\r\n\t c\n d: e\r\nX-F: g\r\n \r\n\r\n",
			want: "HTTP/1.1 200 OK\r\nX-A: b c d: e\r\nX-F: g \r\n\r\n"},
		{name: "interim answers", sent: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103\nLink: a\n\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
			want: "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"},
		{name: "unknown class", sent: "HTTP/1.1 999 Odd\r\n\r\n", want: "HTTP/1.1 999 Odd\r\n\r\n"},
		{name: "status 000", sent: "HTTP/1.1 000 OK\r\n\r\n", malformed: true},
		{name: "status 099", sent: "HTTP/1.1 099 OK\r\n\r\n", malformed: true},
		{name: "no status", sent: "HTTP/1.1\r\n\r\n", malformed: true},
		{name: "blank line first", sent: "\r\nHTTP/1.1 200 OK\r\n\r\n", malformed: true},
		{name: "another protocol", sent: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n", malformed: true},
		{name: "another major version", sent: "HTTP/2.0 200 OK\r\n\r\n", malformed: true},
		{name: "blank in a name", sent: "HTTP/1.1 200 OK\r\nContent Length: 8\r\n\r\n", malformed: true},
		{name: "blank after a name", sent: "HTTP/1.1 200 OK\r\nContent-Length : 8\r\n\r\n", malformed: true},
		{name: "fold without a field", sent: "HTTP/1.1 200 OK\r\n X-A: b\r\n\r\n", malformed: true},
		{name: "control character in a fold", sent: "HTTP/1.1 200 OK\r\nX-A: b\r\n \x01\r\n\r\n", malformed: true},
		{name: "bare carriage return", sent: "HTTP/1.1 200 OK\r\nX-A: b\rc\r\n\r\n", malformed: true},
		{name: "line without a colon", sent: "HTTP/1.1 200 OK\r\nX-A\r\n\r\n", malformed: true},
		{name: "transfer encoding in HTTP/1.0", sent: "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", malformed: true},
		{name: "malformed interim answer", sent: "HTTP/1.1 100 Continue\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", malformed: true},
	}
	for _, test := range tests {
		for arrival, reader := range map[string]func(io.Reader) io.Reader{
			"at once": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader, "with its end": iotest.DataErrReader,
		} {
			t.Run(test.name+", "+arrival, func(t *testing.T) {
				conn := newTestConnection(reader(strings.NewReader(test.sent + rest)))
				err := conn.awaitHead()
				if test.malformed {
					if !IsMalformed(err) || !errors.Is(err, ErrAnswerLost) {
						t.Errorf("error %v", err)
					}
					return
				}
				got, readErr := io.ReadAll(conn.reader)
				if err != nil || readErr != nil {
					t.Fatal(err, readErr)
				}
				if diff := cmp.Diff(test.want+rest, string(got)); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

func TestAwaitHeadBounds(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	for name, unit := range map[string]string{"interim answers": interim, "fields": "X-A: b\r\n", "value": "bbbbbbbb", "folds": " b\r\n"} {
		t.Run(name, func(t *testing.T) {
			sent := strings.Repeat(unit, 1<<17/len(unit))
			if name != "interim answers" {
				sent = "HTTP/1.1 200 OK\r\nX-A: b\r\nX-B: " + sent
			}
			if err := newTestConnection(strings.NewReader(sent)).awaitHead(); !errors.Is(err, bufio.ErrBufferFull) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// Guards against a head that ends in its middle and counts as whole.
func TestAwaitHeadAtTheEndOfTheConnection(t *testing.T) {
	const whole = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"
	for _, sent := range []string{whole, strings.ReplaceAll(whole, "\r\n", "\n")} {
		for cut := range len(sent) {
			if err := newTestConnection(strings.NewReader(sent[:cut])).awaitHead(); !errors.Is(err, io.EOF) {
				t.Errorf("after %q: error %v", sent[:cut], err)
			}
		}
	}
}

// Guards against a call that waits until its deadline for the rest of a malformed head.
func TestMalformedHeadIsNotAwaitedToItsEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var server conc.WaitGroup
	defer server.Wait()
	server.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\n")
		_, _ = io.Copy(io.Discard, conn)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + listener.Addr().String() + "/")
	var observed []string
	client := NewClient(WithMalformedObserver(func(e *MalformedError) { observed = append(observed, e.Fault) }))
	defer client.Close()
	if err := client.Do(ctx, &req, &resp); !IsMalformed(err) {
		t.Errorf("error %v", err)
	}
	if ctx.Err() != nil {
		t.Error("the call waited for its deadline")
	}
	if len(observed) != 1 {
		t.Errorf("observed %q", observed)
	}
}

// FuzzAwaitHead checks that the library finds only what the protocol allows in a head that passes the check.
func FuzzAwaitHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.2 100\nX-A:\n b\n\nHTTP/1.0 999 \xff\r\nTransfer-Encoding: chunked\n\n"))
	f.Add([]byte("HTTP/1.1 000 OK\r\nContent Length: 1\r\nX : b\r\n\x01: c\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		conn := newTestConnection(bytes.NewReader(sent))
		if conn.awaitHead() != nil {
			return
		}
		var header fasthttp.ResponseHeader
		if header.Read(conn.reader) != nil {
			return
		}
		if status := header.StatusCode(); status < fasthttp.StatusOK || status > 999 {
			t.Errorf("status %d", status)
		}
		if version := string(header.Protocol()); version != "HTTP/1.1" && version != "HTTP/1.0" {
			t.Errorf("version %q", version)
		}
		if hasControl(header.StatusMessage()) {
			t.Errorf("reason %q", header.StatusMessage())
		}
		for name, value := range header.All() {
			if !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
				t.Errorf("field %q: %q", name, value)
			}
		}
	})
}

// The cost of reading a head of the usual size, with the check and without it, and of a check of the decoded head.
func BenchmarkHead(b *testing.B) {
	sent := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nDate: Mon, 02 Jan 2006 15:04:05 GMT\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
		"X-Server-Load: 3,0,12\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 12\r\nContent-Length: 800\r\n\r\n")
	folded := slices.Concat(sent[:len(sent)-2], []byte("X-A: b\r\n c\r\n\r\n"))
	for _, test := range []struct {
		name        string
		sent        []byte
		raw, parsed bool
	}{
		{name: "library", sent: sent},
		{name: "library and check", sent: sent, raw: true},
		{name: "library and check, folded", sent: folded, raw: true},
		{name: "library and check of the decoded head", sent: sent, parsed: true},
	} {
		b.Run(test.name, func(b *testing.B) {
			source := bytes.NewReader(nil)
			conn := newTestConnection(source)
			var header fasthttp.ResponseHeader
			b.ReportAllocs()
			for b.Loop() {
				source.Reset(test.sent)
				conn.reader.Reset(conn)
				if test.raw {
					if err := conn.awaitHead(); err != nil {
						b.Fatal(err)
					}
				}
				if err := header.Read(conn.reader); err != nil {
					b.Fatal(err)
				}
				if test.parsed {
					for name, value := range header.All() {
						if !httpguts.ValidHeaderFieldName(string(name)) || hasControl(value) {
							b.Fatal(name)
						}
					}
				}
			}
		})
	}
}
