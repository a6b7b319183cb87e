package agent

import (
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// The holder of the availability zone's lease orders an agent to take no new work and dies. The server is not stopped
// after all, and would be paid for but serve no requests, so the pause must expire. If the old holder resumes and sends
// another order, it must not override its successor's.
func TestPauseExpiresAndIsFenced(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		orders []request.Drain
		after  time.Duration
		want   bool
		fenced bool
	}{
		{"paused", []request.Drain{{Drain: true, Fencing: 5}}, time.Second, true, false},
		{"holder died", []request.Drain{{Drain: true, Fencing: 5}}, pauseDuration, false, false},
		{"revoked", []request.Drain{{Drain: true, Fencing: 5}, {Fencing: 5}}, time.Second, false, false},
		{"revoked by successor", []request.Drain{{Drain: true, Fencing: 5}, {Fencing: 6}}, time.Second, false, false},
		{"old holder resumed", []request.Drain{{Fencing: 6}, {Drain: true, Fencing: 5}}, time.Second, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p pause
			var err error
			for _, order := range test.orders {
				err = p.apply(now, order)
			}
			if p.active(now.Add(test.after)) != test.want || (err != nil) != test.fenced {
				t.Errorf("active %v, want %v; error %v", p.active(now.Add(test.after)), test.want, err)
			}
		})
	}
}
