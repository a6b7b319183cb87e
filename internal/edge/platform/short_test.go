package platform_test

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Guards against a truncated answer counting as a successful write or an empty read, as when the platform's host crashes
// while it sends the answer. Only a complete answer counts: a write with half of one must return ErrOutcomeUnknown, and a
// read ErrUnavailable.
func TestShortAnswerIsNoAnswer(t *testing.T) {
	answers := []string{
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 40\r\n\r\n{\"version\":1",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"ver",
	}
	for _, answer := range answers {
		client := newTruncatingClient(t, answer)
		_, put := client.Put(t.Context(), "lease/a", json.RawMessage(`1`), 0)
		writes := map[string]error{
			"put":    put,
			"delete": client.Delete(t.Context(), "lease/a", 1),
			"order":  client.Order(t.Context(), platform.ServerOrder{}),
			"report": client.Report(t.Context(), "w/o", json.RawMessage(`1`)),
		}
		for name, err := range writes {
			if !errors.Is(err, platform.ErrOutcomeUnknown) {
				t.Errorf("%s answered %q: %v", name, answer, err)
			}
		}
		_, get := client.Get(t.Context(), "lease/a")
		_, list := client.List(t.Context(), "lease/")
		_, watch := client.Watch(t.Context(), "lease/a", 0, time.Millisecond)
		for name, err := range map[string]error{"get": get, "list": list, "watch": watch} {
			if !errors.Is(err, platform.ErrUnavailable) {
				t.Errorf("%s answered %q: %v", name, answer, err)
			}
		}
	}
}

// newTruncatingClient returns a client of a server that answers each call with these bytes and closes the connection.
func newTruncatingClient(t *testing.T, answer string) *platform.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write([]byte(answer))
			}
			_ = conn.Close()
		}
	})
	client := platform.NewClient("http://" + listener.Addr().String())
	t.Cleanup(func() {
		client.Close()
		_ = listener.Close()
		group.Wait()
	})
	return client
}
