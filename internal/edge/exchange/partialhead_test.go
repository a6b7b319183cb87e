package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// Guards against an answer that passes for a whole one although its server stopped in the middle of the head, or of the body.
func TestPartialAnswerIsNotWhole(t *testing.T) {
	const body = "0123456789"
	heads := map[string]string{
		"length first":     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-First: a\r\nX-Second: b\r\n\r\n",
		"length last":      "HTTP/1.1 200 OK\r\nX-First: a\r\nX-Second: b\r\nContent-Length: 10\r\n\r\n",
		"chunked":          "HTTP/1.1 200 OK\r\nX-First: a\r\nX-Second: b\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until close":      "HTTP/1.1 200 OK\r\nX-First: a\r\nX-Second: b\r\nConnection: close\r\n\r\n",
		"after a 100":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-First: a\r\nContent-Length: 10\r\n\r\n",
		"no body":          "HTTP/1.1 204 No Content\r\nX-First: a\r\nX-Second: b\r\n\r\n",
		"chunked, trailer": "HTTP/1.1 200 OK\r\nX-First: a\r\nTrailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n",
	}
	for name, head := range heads {
		for _, lineEnd := range []string{"\r\n", "\n"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, line ends %q, reset %v", name, lineEnd, reset), func(t *testing.T) {
					whole := strings.ReplaceAll(head, "\r\n", lineEnd)
					headLength := len(whole)
					switch {
					case strings.HasPrefix(name, "chunked"):
						whole += "a\r\n" + body + "\r\n0\r\n"
						if strings.HasSuffix(name, "trailer") {
							whole += "X-End: e\r\n"
						}
						whole += "\r\n"
					case name != "no body":
						whole += body
					}
					for cut := range len(whole) {
						untilClose := name == "until close" && cut >= headLength
						if untilClose && !reset {
							// An answer that ends with its connection can't be told from one that was closed early.
							continue
						}
						checkPartial(t, whole[:cut], reset)
					}
				})
			}
		}
	}
}

// checkPartial checks that a call whose server sends only a part of an answer, and then closes or resets the connection, has no whole answer.
func checkPartial(t *testing.T, part string, reset bool) {
	t.Helper()
	address := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if !readRequest(reader) {
			return
		}
		write(t, conn, part)
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			// The part arrives before the reset, which drops what has not been read.
			time.Sleep(time.Millisecond)
			_ = tcp.SetLinger(0)
		}
	})
	client := exchange.NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := do(ctx, client, address); err == nil {
		t.Errorf("after %q the answer counts as whole", part)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + "/stream")
	stream, err := client.Open(ctx, req)
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	if _, err := io.ReadAll(stream); err == nil {
		t.Errorf("after %q the stream ends as whole", part)
	}
}
