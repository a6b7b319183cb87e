package leader

import (
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

// Guards against a receiver seeing two alternating holders when two hosts are restarted one after the other: the first
// releases the lease, the second acts and releases it too, and the first, restarted by then, takes it back, so that its
// actions enclose those of the second within moments.
func TestTakeoverDelay(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	tenure := func(hostID string, ago time.Duration) lease.Tenure {
		return lease.Tenure{HostID: hostID, Until: start.Add(-ago)}
	}
	for _, test := range []struct {
		name string
		past []lease.Tenure
		wait time.Duration
	}{
		{name: "no earlier holder"},
		{name: "this host was the last holder", past: []lease.Tenure{tenure("h2", 2*time.Second), tenure("h1", time.Second)}},
		{name: "only other hosts held it", past: []lease.Tenure{tenure("h2", time.Second), tenure("h3", 0)}},
		{name: "another host held it, and this one shortly before", past: []lease.Tenure{tenure("h1", time.Second), tenure("h2", 0)},
			wait: alternationWindow - time.Second},
		{name: "another host held it, and this one long before", past: []lease.Tenure{tenure("h1", time.Minute), tenure("h2", 0)}},
		{name: "tenure recorded by a clock that is ahead", past: []lease.Tenure{tenure("h1", -time.Minute), tenure("h2", 0)},
			wait: alternationWindow},
	} {
		t.Run(test.name, func(t *testing.T) {
			keeper := &fakeKeeper{}
			guard := newTakeoverGuard(Deps{HostID: "h1", Keeper: keeper})
			keeper.fence, keeper.held = duty.Fence{Number: 9, Past: test.past}, true
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
