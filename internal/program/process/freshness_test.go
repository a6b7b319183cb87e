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

// lockedBuffer collects a log that is read while it is written.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// An entry starts while it reaches neither the platform nor another host. It refused every request, but reported itself
// ready to the load balancer and logged that it was serving, so clients were sent to it instead of to hosts that serve. It
// must report that it isn't ready, and why, and become ready by itself. Its shutdown must not wait for leases that it
// never held.
func TestEntryIsReadyOnceItsConfigurationIsConfirmed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	topology, err := scenario.NewTopology(scenario.Sahil(), loopback.NewAllocator())
	if err != nil {
		t.Fatal(err)
	}
	set := topology.Entries[0]
	set.LeaveDelay = 0
	log := &lockedBuffer{}
	isolated, err := StartEntry(ctx, set, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the log contains a warning", func() bool { return log.contains("isolated: all requests are refused") })
	if status, body := readyStatus(t, set.AdminListen.String()); status != http.StatusServiceUnavailable || !strings.Contains(body, "isolated") {
		t.Errorf("readiness of the isolated entry: status %d, body %s", status, body)
	}
	if err := isolated.Drain(ctx); err != nil {
		t.Error(err)
	}
	if log.contains("lease is not released") {
		t.Error("shutdown waited for leases that were never held")
	}
	isolated.Close()

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
	eventually(t, "the entry is ready", func() bool {
		status, _ := readyStatus(t, set.AdminListen.String())
		return status == http.StatusOK
	})
	eventually(t, "the log contains the confirmation", func() bool { return log.contains("configuration confirmed") })
}

func readyStatus(t *testing.T, address string) (int, string) {
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
			t.Fatalf("timeout: %s", what)
		}
	}
}
