package cmd

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"path/filepath"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// startRawProcess answers each request with the given bytes, and returns its URL.
func startRawProcess(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving conc.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			if req.Read(bufio.NewReader(conn)) == nil {
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return "http://" + listener.Addr().String()
}

// Guards against commands that take a malformed answer for a success.
func TestCommandsRefuseMalformedAnswers(t *testing.T) {
	ticket := filepath.Join("..", "..", "..", "examples", "sahil", "ticket-1.json")
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 12\r\n\r\n{\"number\":1}", "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 12\r\n\r\n{\"number\":1}",
	} {
		url := startRawProcess(t, answer)
		for name, test := range map[string]struct {
			arguments []string
			exit      int
		}{
			"apply":  {arguments: []string{"ticket", "apply", "--entry", url, "--number", "1", ticket}, exit: ExitMayHaveRun},
			"status": {arguments: []string{"ticket", "status", "--entry", url, "1"}, exit: ExitFailure},
			"state":  {arguments: []string{"state", url}, exit: ExitFailure},
		} {
			t.Run(name+", "+answer[9:24], func(t *testing.T) {
				var out bytes.Buffer
				if exit := run(t.Context(), append([]string{"oleandershelf"}, test.arguments...), &out, &out); exit != test.exit {
					t.Errorf("exit code %d, want %d; output %q", exit, test.exit, out.String())
				}
			})
		}
	}
}
