package backendserver_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

// Guards against an engine that sends without end, and thereby takes the processor of the agent until the call's deadline.
func TestEndlessStreamIsClosed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for _, test := range []struct {
		name, start, unit string
		ok                bool
	}{
		{name: "comments", unit: ": comment\n"},
		{name: "blank lines", unit: "\n"},
		{name: "after the closing event", start: "data: {\"done\":true}\n\n", unit: ": comment\n", ok: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener := listen(t)
			var group conc.WaitGroup
			defer group.Wait()
			defer func() { _ = listener.Close() }()
			group.Go(func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				sendEndless(conn, head+test.start, test.unit)
			})
			client := backendserver.NewEngine("http://" + listener.Addr().String())
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			started := time.Now()
			_, err := generate(ctx, client, backendserver.GenerateRequest{SampleID: "s"})
			if took := time.Since(started); took > time.Second {
				t.Errorf("the stream was read for %v", took)
			}
			if test.ok != (err == nil) || err != nil && !errors.Is(err, backendserver.ErrAnswerLost) {
				t.Error(err)
			}
		})
	}
}

// sendEndless sends the start and then the unit until the connection is closed.
func sendEndless(conn net.Conn, start, unit string) {
	_, err := io.WriteString(conn, start)
	block := make([]byte, 0, 64<<10)
	for len(block) < 32<<10 {
		block = append(block, unit...)
	}
	for err == nil {
		_, err = conn.Write(block)
	}
}
