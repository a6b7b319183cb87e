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

// An entry accepted a job, was told to stop a moment later and handed the job over, before anybody had heard that it leaves. The other one
// took it for alive and left the job with it, and the items stood still for more than a second. Asked by a third one, it must leave a job
// that a living entry runs where it is.
func TestAJobIsTakenFromTheEntryThatHandsItOver(t *testing.T) {
	for _, test := range []struct {
		name  string
		asks  string
		owner string
		// mute is set if the owner lives and doesn't answer.
		mute bool
		// anew is set if the entry that accepted the job has another incarnation now.
		anew bool
		runs bool
	}{
		{name: "its owner", asks: "leaving", owner: "leaving", runs: true},
		{name: "the entry that accepted it a moment ago", asks: "leaving", runs: true},
		{name: "another, while its owner lives", asks: "third", owner: "leaving"},
		{name: "another, while its owner lives and doesn't answer", asks: "third", owner: "leaving", mute: true, runs: true},
		{name: "another, while the entry that accepted it lives", asks: "third"},
		{name: "another, while the entry that accepted it was started anew", asks: "third", anew: true, runs: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			spec := batch.Job{ID: "j", Organisation: "north", Accepted: time.Now(), Owner: "leaving", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}}
			if test.anew {
				spec.OwnerRun = 1
			}
			owner := gossip.Member{HostID: "leaving"}
			if !test.mute {
				owner.Address = runsAll(ctx, t)
			}
			m := testManager(ctx, t, spec, entries{self: "self", others: []gossip.Member{owner, {HostID: "third"}}})
			defer m.Wait()
			defer cancel()
			if test.owner != "" {
				m.noteOwner("j", test.owner)
			}
			if err := m.runFor(ctx, RunRequest{Job: "j", Organisation: "north", From: test.asks}); err != nil {
				t.Fatal(err)
			}
			j, _ := m.find("j")
			if runs := j != nil && j.running(); runs != test.runs {
				t.Errorf("runs: %v", runs)
			}
		})
	}
}

// runsAll is the address of an entry that runs each job that it is asked to run.
func runsAll(ctx context.Context, t *testing.T) netip.AddrPort {
	t.Helper()
	registry := peer.NewRegistry()
	peer.Handle(registry, MethodRun, func(context.Context, RunRequest) (RunAnswer, error) { return RunAnswer{}, nil })
	return served(ctx, t, registry)
}

// Guards against items that begin anew after the death of all entries: what was received of them stands in the pages.
func TestItemsGoOnFromPages(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := batch.Job{ID: "j", Organisation: "north", Accepted: time.Now(), Terms: batch.Terms{ItemTimeout: time.Hour}, Submission: batch.Submission{
		MinVersion: 1, Items: []batch.Item{{ID: "a"}, {ID: "b"}, {ID: "c"}},
	}}
	store := newSharedStore()
	store.put(t, KindJobs, "j", spec)
	store.put(t, KindPages, pageName("j", 1), batch.Page{Writer: 1, Serial: 1, Partials: []batch.Partial{
		{Item: "a", Last: 20, Versions: []int{1}, Text: "older"}, {Item: "c", Last: 9, Versions: []int{0}, Text: "of unknown weights"},
	}})
	store.put(t, KindPages, pageName("j", 2), batch.Page{Writer: 1, Serial: 2, Partials: []batch.Partial{{Item: "a", Last: 30, Versions: []int{1}, Text: "x"}}})
	m := entryOf(ctx, store.door(), entries{self: "self"})
	defer m.Wait()
	defer cancel()
	given := []batch.Partial{{Item: "b", Last: 7, Versions: []int{1}, Text: "y"}}
	if err := m.runFor(ctx, RunRequest{Job: "j", Organisation: "north", From: "dead", Partials: given}); err != nil {
		t.Fatal(err)
	}
	j, _ := m.find("j")
	j.mu.Lock()
	defer j.mu.Unlock()
	last := map[string]int{}
	for _, each := range j.progress.Partials() {
		last[each.Item] = each.Last
	}
	if diff := cmp.Diff(map[string]int{"a": 30, "b": 7}, last); diff != "" {
		t.Errorf("items go on after %s", diff)
	}
}

// An entry was killed and is back at once. Others say that it runs a job, of which it knows nothing any more: it must run it again, once, and
// an entry that has run for long must not take such word, which is older than what it knows itself, for a task.
func TestAFreshEntryRunsItsFormerJobsAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		age  time.Duration
		runs bool
	}{
		{name: "a moment after its start", runs: true},
		{name: "long after its start", age: 2 * freshTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			spec := batch.Job{ID: "j", Owner: "self", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}}
			m := testManager(ctx, t, spec, entries{self: "self", others: []gossip.Member{{HostID: "other"}}})
			defer m.Wait()
			defer cancel()
			m.started = time.Now().Add(-test.age)
			for range 3 {
				m.Heard(gossip.Member{HostID: "other"}, nil, nil, map[string]string{"j": "self"})
			}
			found := false
			for end := time.Now().Add(500 * time.Millisecond); !found && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				_, found = m.find("j")
			}
			if found != test.runs {
				t.Errorf("taken up: %v", found)
			}
			if len(m.reopened) > 1 {
				t.Errorf("remembered: %v", m.reopened)
			}
		})
	}
}
