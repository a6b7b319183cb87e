package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
)

// fakeKeeper holds the lease whenever held is set.
type fakeKeeper struct {
	fence duty.Fence
	held  bool
}

func (f *fakeKeeper) Held(time.Time) (duty.Fence, bool) { return f.fence, f.held }

// Guards against a receiver seeing two alternating holders when two hosts are lost one after the other: the second takes the lease over from
// the first, and the first, restarted by then, takes it back, so that its actions enclose those of the second within moments. What the hosts'
// clocks say must not matter.
func TestReturningHolderWaits(t *testing.T) {
	start := time.Now()
	for _, test := range []struct {
		name string
		past []string
		// started is how long before the takeover the process started, and held how long before it last held the lease; 0 if it never did.
		started, held time.Duration
		wait          time.Duration
	}{
		{name: "no earlier holder", started: time.Second},
		{name: "this host was the last holder", past: []string{"h2", "h1"}, started: time.Second},
		{name: "only other hosts held it", past: []string{"h2", "h3"}, started: time.Second},
		{name: "an earlier process held it", past: []string{"h1", "h2"}, started: time.Second, wait: alternationWindow - time.Second},
		{name: "an earlier process held it before two others", past: []string{"h1", "h2", "h3"}, started: time.Second,
			wait: alternationWindow - time.Second},
		{name: "an earlier process held it long before", past: []string{"h1", "h2"}, started: time.Minute},
		{name: "this process held it", past: []string{"h1", "h2"}, started: time.Minute, held: time.Second, wait: alternationWindow - time.Second},
		{name: "this process held it long before", past: []string{"h1", "h2"}, started: time.Hour, held: time.Minute},
	} {
		for _, clock := range []time.Duration{-time.Minute, 0, time.Minute} {
			t.Run(fmt.Sprintf("%s, clock off by %v", test.name, clock), func(t *testing.T) {
				var past []lease.FormerHolder
				for _, host := range test.past {
					past = append(past, lease.FormerHolder{HostID: host, Until: start.Round(0).Add(clock)})
				}
				keeper := &fakeKeeper{}
				guard := newTakeoverGuard(Deps{HostID: "h1", Keeper: keeper}, start.Add(-test.started))
				if test.held > 0 {
					keeper.held = true
					guard.mayAct(start.Add(-test.held))
					keeper.held = false
					guard.mayAct(start.Add(-test.held / 2))
				}
				keeper.fence, keeper.held = duty.Fence{Number: 9, Past: past}, true
				if _, mayAct := guard.mayAct(start); mayAct != (test.wait == 0) {
					t.Errorf("mayAct at once = %v", mayAct)
				}
				if test.wait > 0 {
					if _, mayAct := guard.mayAct(start.Add(test.wait - time.Millisecond)); mayAct {
						t.Error("mayAct = true before the delay has passed")
					}
				}
				if fence, mayAct := guard.mayAct(start.Add(test.wait)); !mayAct || fence.Number != 9 {
					t.Errorf("mayAct = %v with number %d", mayAct, fence.Number)
				}
				keeper.held = false
				if _, mayAct := guard.mayAct(start.Add(test.wait)); mayAct {
					t.Error("mayAct = true without the lease")
				}
			})
		}
	}
}
