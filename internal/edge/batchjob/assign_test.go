package batchjob

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// Guards against a job that stalls after its handover: an entry accepts a job, is told to stop a moment later and hands the job over
// before gossip announces that it leaves. The receiver regarded it as a living owner and left the job with it, and the items stalled for
// more than a second. If a third entry asks, the job must stay with a living entry that runs it.
func TestJobIsTakenOverFromALeavingEntry(t *testing.T) {
	for _, test := range []struct {
		name   string
		sender string
		owner  string
		// unresponsive is set if the owner is alive but doesn't answer.
		unresponsive bool
		// restarted is set if the entry that accepted the job has restarted, so that its incarnation differs.
		restarted bool
		runs      bool
	}{
		{name: "the owner", sender: "leaving", owner: "leaving", runs: true},
		{name: "the entry that accepted it a moment ago", sender: "leaving", runs: true},
		{name: "a third entry, while the owner lives", sender: "third", owner: "leaving"},
		{name: "a third entry, while the owner lives and doesn't answer", sender: "third", owner: "leaving", unresponsive: true, runs: true},
		{name: "a third entry, while the entry that accepted it lives", sender: "third"},
		{name: "a third entry, while the entry that accepted it has restarted", sender: "third", restarted: true, runs: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			spec := batch.Job{ID: "j", Organisation: "north", Accepted: time.Now(), Owner: "leaving", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}}
			if test.restarted {
				spec.OwnerRun = 1
			}
			owner := gossip.Member{HostID: "leaving"}
			if !test.unresponsive {
				owner.Address = startRunner(ctx, t)
			}
			m := newManagerWithJob(ctx, t, spec, fakeMembers{self: "self", others: []gossip.Member{owner, {HostID: "third"}}})
			defer m.Wait()
			defer cancel()
			if test.owner != "" {
				m.recordOwner("j", test.owner)
			}
			if err := m.handleRun(ctx, RunRequest{Job: "j", Organisation: "north", From: test.sender}); err != nil {
				t.Fatal(err)
			}
			j, _ := m.find("j")
			if runs := j != nil && j.isRunning(); runs != test.runs {
				t.Errorf("the job runs: %v", runs)
			}
		})
	}
}

// startRunner starts an entry that agrees to run every job, and returns its address.
func startRunner(ctx context.Context, t *testing.T) netip.AddrPort {
	t.Helper()
	registry := peer.NewRegistry()
	peer.Handle(registry, MethodRun, func(context.Context, RunRequest) (RunAnswer, error) { return RunAnswer{}, nil })
	return startPeer(ctx, t, registry)
}

// Guards against items that restart from the beginning after all entries were killed: what was received of them is in the pages.
func TestItemsContinueFromPages(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := batch.Job{ID: "j", Organisation: "north", Accepted: time.Now(), Terms: batch.Terms{ItemTimeout: time.Hour}, Submission: batch.Submission{
		MinVersion: 1, Items: []batch.Item{{ID: "a"}, {ID: "b"}, {ID: "c"}},
	}}
	store := newMemoryStore()
	store.put(t, KindJobs, "j", spec)
	store.put(t, KindPages, pageName("j", 1), batch.Page{Writer: 1, Serial: 1, Partials: []batch.Partial{
		{Item: "a", LastEvent: 20, Versions: []int{1}, Text: "older"}, {Item: "c", LastEvent: 9, Versions: []int{0}, Text: "of unknown weights"},
	}})
	store.put(t, KindPages, pageName("j", 2), batch.Page{Writer: 1, Serial: 2, Partials: []batch.Partial{{Item: "a", LastEvent: 30, Versions: []int{1}, Text: "x"}}})
	m := newTestManager(ctx, store.client(), fakeMembers{self: "self"})
	defer m.Wait()
	defer cancel()
	partials := []batch.Partial{{Item: "b", LastEvent: 7, Versions: []int{1}, Text: "y"}}
	if err := m.handleRun(ctx, RunRequest{Job: "j", Organisation: "north", From: "dead", Partials: partials}); err != nil {
		t.Fatal(err)
	}
	j, _ := m.find("j")
	j.mu.Lock()
	defer j.mu.Unlock()
	last := map[string]int{}
	for _, each := range j.progress.Partials() {
		last[each.Item] = each.LastEvent
	}
	if diff := cmp.Diff(map[string]int{"a": 30, "b": 7}, last); diff != "" {
		t.Errorf("items continue after other events: %s", diff)
	}
}

// An entry is killed and restarts at once. Others announce that it runs a job, of which it knows nothing any more: it must run the job
// again, once. An entry that started long ago must not do so, as such an announcement is older than what it knows itself.
func TestRestartedEntryRunsItsFormerJobsAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		age  time.Duration
		runs bool
	}{
		{name: "a moment after its start", runs: true},
		{name: "long after its start", age: 2 * reopenWindow},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			spec := batch.Job{ID: "j", Owner: "self", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}}
			m := newManagerWithJob(ctx, t, spec, fakeMembers{self: "self", others: []gossip.Member{{HostID: "other"}}})
			defer m.Wait()
			defer cancel()
			m.started = time.Now().Add(-test.age)
			for range 3 {
				m.ApplyGossip(gossip.Member{HostID: "other"}, nil, nil, map[string]string{"j": "self"})
			}
			found := false
			for end := time.Now().Add(500 * time.Millisecond); !found && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				_, found = m.find("j")
			}
			if found != test.runs {
				t.Errorf("the job was loaded: %v", found)
			}
			if len(m.reopened) > 1 {
				t.Errorf("reopened jobs: %v", m.reopened)
			}
		})
	}
}
