package batchjob

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Guards against reward calls that wait for as long as the servers of another route, whose call waits before them, are away.
func TestRewardCallDoesNotWaitForAnotherRoute(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	judge := platformtest.NewServer(t, "judge", "judges", nil)
	m := newTestManager(ctx, newMemoryStore().client(), fakeMembers{self: "self"})
	defer m.Wait()
	defer cancel()
	m.balancer.Sync(time.Now(), []backend.Server{{ID: "judge", Pool: "judges", AvailabilityZone: "north-a", Address: judge.Address(), Slots: 4}})
	m.calls = call.NewSender(m.balancer, exchange.NewClient(), zerolog.Nop())
	m.route = func(_, path string) (routing.Route, bool) {
		return routing.Route{MaxAttempts: 3, Targets: []routing.Target{{Pool: path[1:], Weight: 1}}}, true
	}
	j := newPlacedJob("j", "a", "b", "c", "d")
	for i, path := range []string{"/away", "/judges", "/away", "/judges"} {
		item := &j.spec.Items[i]
		item.Reward = &batch.RewardCall{ID: "score-" + item.ID, Path: path}
		j.progress.Start(item.ID).Append(batch.Event{Number: 1, Data: "text"}, 1)
		j.progress.RecordCompletion(time.Now(), item.ID)
	}
	m.startRewards(ctx, j)
	defer j.wg.Wait()
	defer cancel()
	waitFor(t, "both reward calls of the other route are sent", func() bool { return len(judge.Requests()) >= 2 })
	if next, _, ok := j.progress.NextReward(time.Now()); !ok || next.ID != "a" {
		t.Errorf("the next reward call is that of %+v", next)
	}
}
