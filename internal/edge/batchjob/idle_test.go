package batchjob

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
)

// logLines collects the lines of a log.
type logLines struct {
	mu    sync.Mutex
	lines []map[string]any
}

func (l *logLines) Write(line []byte) (int, error) {
	var fields map[string]any
	if err := json.NewDecoder(bytes.NewReader(line)).Decode(&fields); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fields)
	return len(line), nil
}

// find returns the lines with the message.
func (l *logLines) find(message string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for _, line := range l.lines {
		if line["message"] == message {
			found = append(found, line)
		}
	}
	return found
}

// Guards against an item that lies at no server without a line that says since when and why.
func TestItemsAtNoServerAreLogged(t *testing.T) {
	for _, test := range []struct {
		name    string
		servers []backend.Server
		change  func(j *job)
		reason  idleReason
		level   string
	}{
		{name: "no server", reason: reasonNoFreeServer, level: "info"},
		{
			name: "no weights", servers: []backend.Server{{ID: "s", Pool: "p", Slots: 1, Models: map[string]int{"m": 1}}},
			reason: reasonNoWeights, level: "info",
		},
		{
			name: "held", servers: []backend.Server{{ID: "s", Pool: "p", Slots: 1, Models: map[string]int{"m": 2}}},
			change: func(j *job) { j.endRequested = true }, reason: reasonHeld, level: "warn",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			log := &logLines{}
			m := newTestManager(ctx, newMemoryStore().client(), fakeMembers{self: "self"})
			m.log = zerolog.New(log)
			defer m.Wait()
			defer cancel()
			m.balancer.Sync(time.Now(), test.servers)
			spec := newStoredSpec()
			spec.Pool, spec.Model, spec.MinVersion = "p", "m", 2
			j := newJob(spec)
			if test.change != nil {
				test.change(j)
			}
			m.startJob(j)
			time.Sleep(minIdleTime + 5*checkInterval)
			lines := log.find("items are at no server")
			if len(lines) != 1 {
				t.Fatalf("%d lines", len(lines))
			}
			longest := lines[0]["longest"].([]any)
			first := longest[0].(map[string]any)
			got := []any{lines[0]["level"], lines[0]["items"], len(longest), first["item"], first["state"], first["reason"]}
			if diff := cmp.Diff([]any{test.level, 2.0, 2, "a", "waiting", string(test.reason)}, got); diff != "" {
				t.Errorf("the line differs (-want +got):\n%s", diff)
			}
			if idle := m.metrics.idle.max(); idle < minIdleTime.Seconds() {
				t.Errorf("the metric says %v s", idle)
			}
			completeItem(j, "a")
			time.Sleep(3 * checkInterval)
			if lines := log.find("item is no longer without a server"); len(lines) != 1 || lines[0]["item"] != "a" {
				t.Errorf("lines of items that run again: %v", lines)
			}
		})
	}
}
