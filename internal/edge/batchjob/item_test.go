package batchjob

import (
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
)

// newPacedBalancer returns a balancer of four servers, three of them with a usual pace of 30 ms an event.
func newPacedBalancer() *backend.Balancer {
	balancer := backend.NewBalancer("self", "near")
	var servers []backend.Server
	for _, id := range []string{"a", "b", "c", "d"} {
		servers = append(servers, backend.Server{ID: id, Pool: "p", Slots: 6})
	}
	balancer.Sync(time.Now(), servers)
	for _, server := range servers[1:] {
		balancer.RecordEventInterval(time.Now(), server.ID, 30*time.Millisecond)
	}
	return balancer
}

// Guards against streams that are moved because this entry reads late: an entry with a seventh of a core read the events of its streams
// late and then many at once, and moved 190 streams in half a second from servers that were as fast as ever. Streams must still move from
// a slow server.
func TestStreamsMoveFromSlowServersOnly(t *testing.T) {
	usual := 30 * time.Millisecond
	for _, test := range []struct {
		name string
		// gap returns the time before the n-th event.
		gap  func(n int) time.Duration
		want bool
	}{
		{name: "usual pace", gap: func(int) time.Duration { return usual }},
		{name: "read late and then many at once", gap: func(n int) time.Duration {
			if n%eventsPerSpan == 0 {
				return eventsPerSpan * usual
			}
			return 0
		}},
		{name: "a pause for new weights", gap: func(n int) time.Duration {
			if n == 20 {
				return 900 * time.Millisecond
			}
			return usual
		}},
		{name: "a slow server", gap: func(int) time.Duration { return 4 * usual }, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			monitor := paceMonitor{balancer: newPacedBalancer(), server: "a"}
			now := time.Unix(1_700_000_000, 0)
			moved := false
			for n := range 60 {
				now = now.Add(test.gap(n))
				moved = moved || monitor.eventReceived(now)
			}
			if moved != test.want {
				t.Errorf("moved: %v", moved)
			}
		})
	}
}
