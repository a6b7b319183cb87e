package batchjob

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// A trainer ended its job and was told so. The request to run the job reached an entry after the news of its end, and its items ran on at
// the servers. Cause: the end was noted only for jobs that the entry knew already.
func TestAnEndThatOvertakesItsJob(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		spec := batch.Job{ID: "j", Organisation: "north", Owner: "other", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}}
		m := testManager(ctx, t, spec, entries{self: "self", others: []gossip.Member{{HostID: "other"}}})
		m.Heard(gossip.Member{HostID: "other"}, nil, []string{"j"}, nil)
		q := RunRequest{Job: "j", Organisation: "north", From: "other"}
		if fresh {
			value, err := json.Marshal(spec)
			if err != nil {
				t.Fatal(err)
			}
			q.Fresh = value
		}
		if err := m.runFor(ctx, q); err != nil {
			t.Error(err)
		}
		if j, ok := m.find("j"); ok && (j.running() || !j.over()) {
			t.Errorf("fresh %v: a job runs that has ended", fresh)
		}
		cancel()
		m.Wait()
	}
}

// An entry was cut off from the others for longer than an end goes round. Back among them, it says that it runs the job: it must be told of the
// end again, and not be taken for the job's owner.
func TestAnEndIsToldAgainToWhoRunsTheJob(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := testManager(ctx, t, batch.Job{ID: "j"}, entries{self: "self", others: []gossip.Member{{HostID: "other"}}})
	defer m.Wait()
	defer cancel()
	m.endHere("j")
	m.mu.Lock()
	m.ended["j"] = time.Now().Add(-2 * endedTime)
	m.mu.Unlock()
	if _, ended := m.Jobs(time.Now()); len(ended) != 0 {
		t.Errorf("told for ever: %v", ended)
	}
	m.Heard(gossip.Member{HostID: "other"}, []string{"j"}, nil, nil)
	if _, ended := m.Jobs(time.Now()); !slices.Equal(ended, []string{"j"}) {
		t.Errorf("told: %v", ended)
	}
	if owner, ok := m.owner("j"); ok {
		t.Errorf("owner %v of a job that has ended", owner)
	}
}

// An entry runs a job and hears of no other entry, while it reaches the store and the servers. The job is ended at another entry, and its trainer
// told so. Three seconds later nothing of it may begin to run any more.
func TestARunnerThatHearsNobodyLearnsOfTheEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := storedSpec()
	store := newSharedStore()
	store.put(t, KindJobs, spec.ID, spec)
	m := entryOf(ctx, store.door(), entries{self: "self"})
	defer m.Wait()
	defer cancel()
	m.run(spec)
	other := entryOf(ctx, store.door(), entries{self: "other"})
	if err := other.End(ctx, spec.ID, spec.Organisation); err != nil {
		t.Fatal(err)
	}
	j, _ := m.find(spec.ID)
	for end := time.Now().Add(3200 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if j.over() {
			return
		}
	}
	t.Error("the job runs on, its end has stood in the store for three seconds")
}

// A job is ended at an entry that has read it, while another one is known to run it. The one that runs it is told, as it is by an entry that
// hasn't read the job.
func TestTheOwnerIsToldOfAnEndAtAnEntryThatHasReadTheJob(t *testing.T) {
	for _, read := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		spec := storedSpec()
		store := newSharedStore()
		store.put(t, KindJobs, spec.ID, spec)
		var told atomic.Int32
		registry := peer.NewRegistry()
		peer.Handle(registry, MethodEnd, func(context.Context, EndRequest) (EndAnswer, error) {
			told.Add(1)
			return EndAnswer{Known: true}, nil
		})
		owner := gossip.Member{HostID: "other", Address: served(ctx, t, registry)}
		m := entryOf(ctx, store.door(), entries{self: "self", others: []gossip.Member{owner}})
		if read {
			if _, err := m.read(ctx, spec.ID, spec.Organisation); err != nil {
				t.Fatal(err)
			}
		}
		m.noteOwner(spec.ID, owner.HostID)
		if err := m.End(ctx, spec.ID, spec.Organisation); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		if told.Load() == 0 {
			t.Errorf("read before: %v: the entry that runs the job wasn't told", read)
		}
		cancel()
		m.Wait()
	}
}
