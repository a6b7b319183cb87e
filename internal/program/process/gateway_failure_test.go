package process

import (
	"slices"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Guards against failures that are lost with the entry that saw them: each entry that takes the job over would send the item, or its reward call,
// as often again.
func TestFailuresSurviveTheirEntry(t *testing.T) {
	const (
		entries   = 6
		kills     = 4
		killDelay = 50 * time.Millisecond
		quietTime = 3 * time.Second
	)
	for _, test := range []struct {
		name      string
		behaviour platformtest.Behaviour
		reward    bool
		limit     int
	}{
		{name: "item that can never succeed", behaviour: platformtest.Unprocessable, limit: 1},
		{name: "item that fails", behaviour: platformtest.Fail, limit: platformtest.MaxAttempts},
		{name: "reward call that fails", behaviour: platformtest.Fail, reward: true, limit: platformtest.MaxAttempts},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, entries)
			failing, body := "item-0a", submission(4, 4, 1)
			if test.reward {
				failing, body = rewardOf(failing), scoredSubmission(4)
			}
			// The other items keep the job open: they run for long, or their reward calls are refused.
			for _, engine := range d.engines {
				if !test.reward {
					engine.SetStream(300, 100*time.Millisecond)
				}
			}
			for _, server := range d.servers() {
				server.SetBehaviour(func(_ int, r platformtest.Request) platformtest.Behaviour {
					switch {
					case r.ID() == failing:
						return test.behaviour
					case test.reward && slices.Contains(d.services, server):
						return platformtest.Shed
					default:
						return platformtest.Answer
					}
				})
			}
			d.submit(d.gateways[0], "j1", body)
			answers := 0
			for range kills {
				d.sentAgain(failing, answers, quietTime)
				answers = d.timesReceived(failing)
				time.Sleep(killDelay)
				d.runner("j1").kill()
			}
			time.Sleep(quietTime)
			if got := d.timesReceived(failing); got == 0 || got > test.limit {
				t.Errorf("servers failed %s %d times, want 1 to %d", failing, got, test.limit)
			}
		})
	}
}

// runner returns the living gateway that runs the job.
func (d *deployment) runner(job string) (runner *testGateway) {
	d.t.Helper()
	d.eventually("a living entry runs "+job, func() bool {
		for _, g := range d.gateways {
			if running, _ := g.jobs.Jobs(time.Now()); !g.closed && slices.Contains(running, job) {
				runner = g
				return true
			}
		}
		return false
	})
	return runner
}

// timesReceived returns how often servers received the request.
func (d *deployment) timesReceived(id string) int {
	received := 0
	for _, server := range d.servers() {
		for _, request := range server.Requests() {
			if request.ID() == id {
				received++
			}
		}
	}
	return received
}

// sentAgain waits until servers have received the request more often than before, for the given time at most.
func (d *deployment) sentAgain(id string, before int, atMost time.Duration) {
	d.t.Helper()
	for end := time.Now().Add(atMost); time.Now().Before(end) && d.timesReceived(id) <= before; time.Sleep(5 * time.Millisecond) {
	}
}
