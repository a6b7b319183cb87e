package batchjob

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/dispatch"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Guards against suspects that share a server of a pool whose servers differ in speed, where items are placed and moved by plan.
func TestSuspectIsNotPlacedBesideAnother(t *testing.T) {
	pool := newUnevenPool(t.Context(), t)
	j := newPlacedJob("j", "a", "b")
	for range batch.MaxServerEnds - 1 {
		j.progress.RecordServerEnd("a", batch.EndedRun{Last: 1})
		j.progress.RecordServerEnd("b", batch.EndedRun{Last: 1})
	}
	pool.serverEnds.Started("slow", "b")
	if pool.startItem(t.Context(), j, dispatch.Action{Item: "a", To: "slow"}) == nil {
		t.Error("started beside another suspect")
	}
	j.runs["a"] = &itemRun{server: backend.Server{ID: "fast"}, cancel: func(error) {}}
	if pool.moveItem(j, dispatch.Action{Item: "a", From: "fast", To: "slow"}) == nil {
		t.Error("moved beside another suspect")
	}
}

// Guards against servers that end without refusing connections and count nowhere, against those that run on and count, and against one that
// counts twice.
func TestServerEndsAreConfirmedByRegistrations(t *testing.T) {
	pool := newUnevenPool(t.Context(), t)
	j := newJob(&batch.Job{ID: "j", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}})
	now := time.Now()
	gone := serverUse{item: "a", server: backend.Key{ID: "gone"}}
	alive := serverUse{item: "a", server: backend.Server{ID: "slow2"}.Key()}
	restarted := serverUse{item: "a", server: backend.Server{ID: "slow3", Started: time.UnixMilli(5)}.Key()}
	j.interruptedRuns = []interruptedRun{
		{serverUse: gone, at: now}, {serverUse: alive, at: now}, {serverUse: gone, at: now}, {serverUse: restarted, at: now},
		{serverUse: alive, at: now.Add(-endConfirmTime)},
	}
	pool.confirmServerEnds(now, j)
	if ends := j.progress.ServerEnds("a"); ends.Item != 2 {
		t.Errorf("%d servers ended, want 2: one is gone and one restarted", ends.Item)
	}
	if len(j.interruptedRuns) != 1 || j.interruptedRuns[0].serverUse != alive {
		t.Errorf("pending runs %v, want the recent one at the server that is registered", j.interruptedRuns)
	}
	if pool.serverEnds.Get(now, "a").Item != 2 {
		t.Errorf("known to other jobs: %+v", pool.serverEnds.Get(now, "a"))
	}
}

// Guards against two runs of an item over the limit at the same time, in two jobs that bring it.
func TestWithheldItemIsNotReleasedWhileItRuns(t *testing.T) {
	pool := newUnevenPool(t.Context(), t)
	j := newPlacedJob("j", "a")
	now := time.Now()
	pool.MergeServerEnds(now, map[string]batch.ServerEnds{"a": {Item: batch.MaxServerEnds, Early: 1, Least: 4}})
	j.progress.MergeServerEnds(pool.serverEnds.At(now))
	pool.serverEnds.Started("s1", "a")
	pool.reviewWithheld(now, j)
	if !j.progress.IsWithheld("a") {
		t.Error("released while it runs")
	}
	pool.serverEnds.Ended("s1", "a")
	pool.reviewWithheld(now, j)
	if j.progress.IsWithheld("a") {
		t.Error("not released after its run")
	}
}

// interruptRuns records that servers ended under the item of the job, one after the other, each run with as many further events as given.
func (p *unevenPool) interruptRuns(j *job, now time.Time, item string, ends, events int) {
	for i := range ends {
		use := serverUse{item: item, server: backend.Key{ID: fmt.Sprintf("ended-%d", i)}, pool: "p", from: i * events, last: (i + 1) * events}
		p.countServerEnd(j, interruptedRun{serverUse: use, at: now}, "connectionRefused")
	}
}

// restartServers replaces each server of the pool by another run of it.
func (p *unevenPool) restartServers(now time.Time) {
	for _, server := range p.balancer.Servers() {
		server.Started = now
		p.balancer.Sync(now, append(slices.DeleteFunc(p.balancer.Servers(), func(s backend.Server) bool { return s.ID == server.ID }), server))
	}
}

// Guards against an item that is sent on because other servers of the pool end while it ends its own on arrival.
func TestItemWithoutProgressIsNotReleasedByOtherEnds(t *testing.T) {
	pool := newUnevenPool(t.Context(), t)
	j := newPlacedJob("j", "a")
	now := time.Now()
	pool.interruptRuns(j, now, "a", batch.MaxServerEnds, 0)
	pool.restartServers(now)
	pool.reviewWithheld(now.Add(2*time.Second), j)
	if !j.progress.IsWithheld("a") {
		t.Errorf("released: %+v", j.progress.ServerEnds("a"))
	}
}

// Guards against an item over the limit that is sent on because only a page of its job brought the counts.
func TestItemWithheldByAPageIsNotReleased(t *testing.T) {
	pool := newUnevenPool(t.Context(), t)
	j := newPlacedJob("j", "a")
	j.progress.Resume([]batch.Partial{{Item: "a", ServerEnds: batch.MaxServerEnds, StalledServerEnds: batch.MaxServerEnds}})
	pool.reviewWithheld(time.Now(), j)
	if !j.progress.IsWithheld("a") {
		t.Errorf("released: %+v", j.progress.ServerEnds("a"))
	}
}

// Guards against sound items that stay withheld because they ran beside items that end their servers.
func TestItemIsReleasedIfOthersExplainItsEnds(t *testing.T) {
	pool := newUnevenPool(t.Context(), t)
	j := newPlacedJob("j", "harmful", "beside")
	now := time.Now()
	for i := range batch.MaxServerEnds {
		for _, item := range []string{"harmful", "beside"} {
			use := serverUse{item: item, server: backend.Key{ID: fmt.Sprintf("ended-%d", i)}, pool: "p"}
			if item == "beside" && i == 0 {
				use.last = 3
			}
			pool.countServerEnd(j, interruptedRun{serverUse: use, at: now}, "connectionRefused")
		}
	}
	pool.reviewWithheld(now, j)
	if !j.progress.IsWithheld("harmful") || j.progress.IsWithheld("beside") {
		t.Errorf("withheld: %v", j.progress.WithheldItems())
	}
}

// Guards against a silent server that counts as ended only after the item has been sent on, and against one that turns out to run and counts.
func TestSilentServersCountUntilTheyAreKnown(t *testing.T) {
	pool := newUnevenPool(t.Context(), t)
	j := newPlacedJob("j", "a")
	now := time.Now()
	for _, server := range pool.balancer.Servers()[:2] {
		j.markSilent(j.recordInterruption(now, serverUse{item: "a", server: server.Key(), pool: server.Pool}))
	}
	pool.confirmServerEnds(now, j)
	if j.progress.IsWithheld("a") {
		t.Fatal("withheld after two")
	}
	pool.interruptRuns(j, now, "a", 1, 0)
	pool.reviewWithheld(now, j)
	if !j.progress.IsWithheld("a") {
		t.Fatal("not withheld after an end and two silent servers")
	}
	pool.confirmServerEnds(now.Add(endConfirmTime), j)
	if j.progress.IsWithheld("a") || j.progress.ServerEnds("a").Item != 1 {
		t.Errorf("still withheld though two servers run: %+v", j.progress.ServerEnds("a"))
	}
}

// Guards against withheld items that stay withheld although other servers of the pool ended, which is known only later.
func TestWithheldItemIsReleasedOnceItsEndsAreExplained(t *testing.T) {
	pool := newUnevenPool(t.Context(), t)
	j := newJob(&batch.Job{ID: "j", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}})
	now := time.Now()
	pool.interruptRuns(j, now, "a", batch.MaxServerEnds, 2)
	now = now.Add(2 * time.Second)
	pool.reviewWithheld(now, j)
	if !j.progress.IsWithheld("a") {
		t.Fatal("an item under which three servers of a quiet pool ended is not withheld")
	}
	pool.restartServers(now.Add(-time.Second))
	pool.reviewWithheld(now, j)
	if j.progress.IsWithheld("a") {
		t.Errorf("still withheld after all servers ended: %+v", j.progress.ServerEnds("a"))
	}
}

// Guards against an item that counts as a suspect, here and at other entries, after it has completed.
func TestCompletionClearsServerEnds(t *testing.T) {
	pool := newUnevenPool(t.Context(), t)
	j := newJob(&batch.Job{ID: "j", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}})
	now := time.Now()
	pool.MergeServerEnds(now, map[string]batch.ServerEnds{"a": {Item: batch.MaxServerEnds}})
	j.progress.MergeServerEnds(pool.serverEnds.At(now))
	other := batch.NewEndTracker()
	other.Merge(now, "a", pool.ServerEnds(now)["a"])
	pool.clearServerEnds(j, "a", false)
	for item, ends := range pool.ServerEnds(now) {
		other.Merge(now, item, ends)
	}
	if j.progress.Suspect("a") || pool.serverEnds.Get(now, "a").Suspect() || other.Get(now, "a").Suspect() {
		t.Error("the item is still a suspect")
	}
}

// Guards against records of items whose servers were found to have ended only after they had completed.
func TestEndsAfterCompletionLeaveNoRecord(t *testing.T) {
	pool := newUnevenPool(t.Context(), t)
	j := newJob(&batch.Job{ID: "j", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}})
	now := time.Now()
	j.progress.Start("a")
	j.progress.RecordCompletion(now, "a")
	pool.countServerEnd(j, interruptedRun{serverUse: serverUse{item: "a", server: backend.Key{ID: "ended"}, pool: "p"}, at: now}, "registration")
	if shared := pool.serverEnds.Shared(now); len(shared) > 0 {
		t.Errorf("recorded %+v", shared)
	}
}

// Guards against an item that stays withheld for 30 s at the entry that took its job over, which knows that other servers of the pool ended at
// that time, and learned of the ends under the item from the entry before.
func TestEndsKnownFromOtherEntriesAreExplained(t *testing.T) {
	pool := newUnevenPool(t.Context(), t)
	now := time.Now()
	pool.restartServers(now.Add(-2 * time.Second))
	pool.MergeServerEnds(now, map[string]batch.ServerEnds{"a": {Item: batch.MaxServerEnds, Least: 2, Age: time.Second}})
	j := newPlacedJob("j", "a")
	pool.exchangeServerEnds(now, j)
	if !j.progress.IsWithheld("a") {
		t.Fatal("an item over the limit is not withheld")
	}
	pool.reviewWithheld(now, j)
	if j.progress.IsWithheld("a") {
		t.Errorf("still withheld though all servers of the pool ended: %+v", j.progress.ServerEnds("a"))
	}
}

// Guards against servers that end under an item and explain one another: the pool knows from probes for other items that several have ended
// when the first of them is counted.
func TestEndsUnderAnItemDoNotExplainOneAnother(t *testing.T) {
	for _, reward := range []bool{false, true} {
		pool := newUnevenPool(t.Context(), t)
		j := newPlacedJob("j", "a")
		now := time.Now()
		var runs []interruptedRun
		for _, server := range pool.balancer.Servers()[:2] {
			use := serverUse{item: "a", server: server.Key(), pool: server.Pool, reward: reward}
			runs = append(runs, j.recordInterruption(now, use))
			pool.balancer.RecordEnd(now, server.Key())
		}
		for i, run := range runs {
			pool.countServerEnd(j, run, "connectionRefused")
			ends := j.progress.ServerEnds("a")
			if cleared := ends.ItemCleared + ends.RewardCleared; cleared > 0 || ends.TotalUncleared() != i+1 {
				t.Errorf("reward %v: after %d ends %+v, want none explained", reward, i+1, ends)
			}
		}
		if len(j.interruptedRuns) > 0 {
			t.Errorf("reward %v: %d runs are still to be counted", reward, len(j.interruptedRuns))
		}
	}
}

// Guards against a short run at a slow server that lasts as long as the runs that ended their servers.
func TestShortRunsEndInTime(t *testing.T) {
	for _, test := range []struct {
		name     string
		interval time.Duration
		events   int
	}{
		{name: "by events", interval: 10 * time.Millisecond, events: 5},
		{name: "by time", interval: 80 * time.Millisecond, events: 3},
		{name: "not before the first event", interval: time.Second, events: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			server := platformtest.NewServer(t, "s", "p", map[string]int{"m": 1})
			server.SetStream(100, test.interval)
			m := newPoolManager(ctx, backend.Server{ID: "s", Address: server.Address(), Slots: 2})
			defer m.Wait()
			defer cancel()
			j := newPlacedJob("j", "a")
			m.MergeServerEnds(time.Now(), map[string]batch.ServerEnds{"a": {
				Item: batch.MaxServerEnds - 1, Least: 10, Most: 10, Shortest: 400 * time.Millisecond, Longest: 400 * time.Millisecond,
			}})
			m.startJob(j)
			waitFor(t, "the item is resumed", func() bool { return len(server.Requests()) > 1 })
			resumed := server.Requests()[1].Header.Get("Last-Event-Id")
			if last, err := strconv.Atoi(resumed); err != nil || last < 1 || last > test.events {
				t.Errorf("resumed after event %q, want at most %d", resumed, test.events)
			}
		})
	}
}
