package callerconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// Guards against a body whose end is taken for another than the library's, so that the next request on the connection would be misread or
// wait without end.
func TestFramingAgreesWithTheLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := drawRequest(t)
		const next = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n"
		data := []byte(request + next)
		end := headEnd(data, 0)
		framed := bodyFraming(data[:end])
		used := end
		for !framed.done() {
			part := data[used:min(len(data), used+rapid.IntRange(1, 40).Draw(t, "part"))]
			if len(part) == 0 {
				t.Fatal("the body has no end")
			}
			n, _ := framed.scan(part)
			used += n
		}
		if used != len(request) {
			t.Fatalf("the request ends after %d bytes, want %d", used, len(request))
		}
		reader := bufio.NewReader(bytes.NewReader(data))
		var library fasthttp.Request
		if err := library.Read(reader); err != nil {
			t.Fatal(err)
		}
		rest, err := io.ReadAll(reader)
		if err != nil || string(rest) != next {
			t.Fatalf("the library leaves %q, %v", rest, err)
		}
	})
}

// drawRequest draws a whole request with a body of any kind.
func drawRequest(t *rapid.T) string {
	head := "POST /x HTTP/1.1\r\nHost: a\r\n"
	if rapid.Bool().Draw(t, "more lines") {
		head += "X-More: " + strings.Repeat("a\tb", rapid.IntRange(0, 20).Draw(t, "length")) + "\r\n"
	}
	content := rapid.StringMatching(`[a-z\r\n:;0]{0,200}`)
	switch rapid.SampledFrom([]string{"none", "declared", "chunked"}).Draw(t, "kind") {
	case "none":
		return head + "\r\n"
	case "declared":
		body := content.Draw(t, "body")
		name := rapid.SampledFrom([]string{"Content-Length", "content-length"}).Draw(t, "name")
		return fmt.Sprintf("%s%s: %d\r\n\r\n%s", head, name, len(body), body)
	default:
		var body strings.Builder
		for range rapid.IntRange(0, 5).Draw(t, "chunks") {
			if chunk := content.Draw(t, "chunk"); chunk != "" {
				fmt.Fprintf(&body, rapid.SampledFrom([]string{"%x", "%X", "0%x"}).Draw(t, "size")+"\r\n%s\r\n", len(chunk), chunk)
			}
		}
		body.WriteString("0\r\n")
		if rapid.Bool().Draw(t, "trailer") {
			body.WriteString("X-Sum: 1\r\n")
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n" + body.String() + "\r\n"
	}
}

// Guards against a head whose end is missed when it arrives in parts.
func TestHeadEnd(t *testing.T) {
	for _, head := range []string{"GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\n\n", "\r\n\r\nGET / HTTP/1.1\r\na:b\r\n\r\n", "GET / HTTP/1.1\r\n\n"} {
		data := []byte(head + "rest")
		for known := range len(head) {
			if end := headEnd(data, known); end != len(head) {
				t.Errorf("%q from %d on ends after %d bytes, want %d", data, known, end, len(head))
			}
		}
		for length := range len(head) {
			if end := headEnd(data[:length], 0); end != 0 {
				t.Errorf("%q ends after %d bytes", data[:length], end)
			}
		}
	}
}
