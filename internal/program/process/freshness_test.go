package process

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/program/loopback"
	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// lockedLog is a log that is read while it is written.
type lockedLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedLog) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// An entry starts while it reaches neither the platform nor another host. It refuses every request, and yet told the
// balancer that it was ready and its log that it was serving, so callers were sent to it beside hosts that serve. It must say
// that it isn't ready, and why, and become ready by itself; and its end must not wait for leases that it never had.
func TestEntryIsReadyOnceItsConfigurationIsConfirmed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	topology, err := scenario.NewTopology(scenario.Sahil(), loopback.NewAllocator())
	if err != nil {
		t.Fatal(err)
	}
	set := topology.Entries[0]
	set.LeaveDelay = 0
	log := &lockedLog{}
	alone, err := StartEntry(ctx, set, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "a warning", func() bool { return log.has("isolated: all requests are refused") })
	if status, body := readiness(t, set.AdminListen.String()); status != http.StatusServiceUnavailable || !strings.Contains(body, "isolated") {
		t.Errorf("status %d: %s", status, body)
	}
	if err := alone.Drain(ctx); err != nil {
		t.Error(err)
	}
	if log.has("lease is not released") {
		t.Error("it waited for leases that it never had")
	}
	alone.Close()

	l, err := net.Listen("tcp", topology.Platform.String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := standin.New(ctx, l, standin.WithHosts(topology.Hosts())); err != nil {
		t.Fatal(err)
	}
	entry, err := StartEntry(ctx, set, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	defer entry.Close()
	eventually(t, "ready", func() bool {
		status, _ := readiness(t, set.AdminListen.String())
		return status == http.StatusOK
	})
	eventually(t, "a line that says so", func() bool { return log.has("configuration confirmed") })
}

func readiness(t *testing.T, address string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}
