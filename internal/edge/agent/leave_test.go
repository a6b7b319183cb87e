package agent

import (
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// The zone's duty holder tells an agent to take no new work, and dies. Nobody wants the server stopped any more,
// yet it would be paid for and serve nobody. Its pause must end by itself, and an order that the old holder
// sends after it woke must not undo what its successor said.
func TestPauseEndsAndIsFenced(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		orders []request.Drain
		after  time.Duration
		want   bool
		fenced bool
	}{
		{"paused", []request.Drain{{Drain: true, Fencing: 5}}, time.Second, true, false},
		{"holder died", []request.Drain{{Drain: true, Fencing: 5}}, pauseLife, false, false},
		{"taken back", []request.Drain{{Drain: true, Fencing: 5}, {Fencing: 5}}, time.Second, false, false},
		{"successor takes back", []request.Drain{{Drain: true, Fencing: 5}, {Fencing: 6}}, time.Second, false, false},
		{"old holder woke", []request.Drain{{Fencing: 6}, {Drain: true, Fencing: 5}}, time.Second, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p pause
			var err error
			for _, order := range test.orders {
				err = p.set(now, order)
			}
			if p.holds(now.Add(test.after)) != test.want || (err != nil) != test.fenced {
				t.Errorf("holds %v, want %v; error %v", p.holds(now.Add(test.after)), test.want, err)
			}
		})
	}
}
