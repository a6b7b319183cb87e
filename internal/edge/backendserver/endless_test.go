package backendserver_test

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

// Guards against an engine that sends without end: its stream must be ended, and its connection closed.
func TestEndlessStreamOfEngineEnds(t *testing.T) {
	const token = `data: {"text":"x","version":1}` + "\n\n"
	for _, test := range []struct {
		name, start, unit string
		// complete is set if all tokens and the closing event precede what has no end.
		complete bool
	}{
		{name: "tokens", unit: token},
		{name: "one line", start: "data: ", unit: "x"},
		{name: "comments", unit: ": comment\n"},
		{name: "blank lines", unit: "\n"},
		{name: "after the closing event", start: token + `data: {"done":true,"tokens":1}` + "\n\n", unit: ": comment\n", complete: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener := listen(t)
			closed := make(chan struct{})
			var group conc.WaitGroup
			group.Go(func() {
				defer close(closed)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				var req fasthttp.Request
				if req.Read(bufio.NewReader(conn)) != nil {
					return
				}
				block := strings.Repeat(test.unit, 16<<10/len(test.unit))
				for _, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+test.start); err == nil; {
					_, err = io.WriteString(conn, block)
				}
			})
			client := backendserver.NewEngine("http://" + listener.Addr().String())
			defer client.Close()
			started := time.Now()
			_, err := generate(t.Context(), client, sampleRequest)
			if test.complete != (err == nil) || err != nil && !errors.Is(err, backendserver.ErrAnswerLost) {
				t.Errorf("got %v", err)
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection is open after a second")
			}
			if took := time.Since(started); took > time.Second {
				t.Errorf("ended after %v", took)
			}
			_ = listener.Close()
			group.Wait()
		})
	}
}
