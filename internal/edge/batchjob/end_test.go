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

// Guards against a job that continues to run at the servers after the end was confirmed to its trainer: the end reached an entry before the
// request to run the job, and the entry recorded ends only of jobs that it knew already.
func TestEndArrivesBeforeTheRunRequest(t *testing.T) {
	for _, withSpec := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		spec := batch.Job{ID: "j", Organisation: "north", Owner: "other", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}}
		m := newManagerWithJob(ctx, t, spec, fakeMembers{self: "self", others: []gossip.Member{{HostID: "other"}}})
		m.ApplyGossip(gossip.Member{HostID: "other"}, nil, []string{"j"}, nil)
		q := RunRequest{Job: "j", Organisation: "north", From: "other"}
		if withSpec {
			value, err := json.Marshal(spec)
			if err != nil {
				t.Fatal(err)
			}
			q.SpecJSON = value
		}
		if err := m.handleRun(ctx, q); err != nil {
			t.Error(err)
		}
		if j, ok := m.find("j"); ok && (j.isRunning() || !j.finished()) {
			t.Errorf("job included in the request: %v: a job runs that has ended", withSpec)
		}
		cancel()
		m.Wait()
	}
}

// An entry is partitioned for longer than an end is announced, and then says that it runs the job. The end must be announced again, and
// the entry must not be recorded as the job's owner.
func TestEndIsAnnouncedAgainToAnEntryThatRunsTheJob(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := newManagerWithJob(ctx, t, batch.Job{ID: "j"}, fakeMembers{self: "self", others: []gossip.Member{{HostID: "other"}}})
	defer m.Wait()
	defer cancel()
	m.markEnded("j")
	m.mu.Lock()
	m.ended["j"] = time.Now().Add(-2 * endAnnounceTime)
	m.mu.Unlock()
	if _, ended := m.Jobs(time.Now()); len(ended) != 0 {
		t.Errorf("still announced: %v", ended)
	}
	m.ApplyGossip(gossip.Member{HostID: "other"}, []string{"j"}, nil, nil)
	if _, ended := m.Jobs(time.Now()); !slices.Equal(ended, []string{"j"}) {
		t.Errorf("announced: %v", ended)
	}
	if owner, ok := m.livingOwner("j"); ok {
		t.Errorf("%v is recorded as the owner of a job that has ended", owner)
	}
}

// An entry runs a job and gets no gossip from other entries, while it reaches the store and the servers. The job is ended at another
// entry, which confirms the end to the trainer. Three seconds later no item of it may start any more.
func TestPartitionedOwnerLearnsOfTheEndFromTheStore(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	m := newTestManager(ctx, store.client(), fakeMembers{self: "self"})
	defer m.Wait()
	defer cancel()
	m.runNewJob(spec)
	other := newTestManager(ctx, store.client(), fakeMembers{self: "other"})
	if err := other.End(ctx, spec.ID, spec.Organisation); err != nil {
		t.Fatal(err)
	}
	j, _ := m.find(spec.ID)
	for end := time.Now().Add(3200 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if j.finished() {
			return
		}
	}
	t.Error("the job still runs three seconds after its end was stored")
}

// A job is ended at one entry while another is known to run it. The owner must be notified, whether or not the first entry has the job in
// memory.
func TestOwnerIsNotifiedOfAnEndAtAnotherEntry(t *testing.T) {
	for _, read := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		spec := newStoredSpec()
		store := newMemoryStore()
		store.put(t, KindJobs, spec.ID, spec)
		var notifications atomic.Int32
		registry := peer.NewRegistry()
		peer.Handle(registry, MethodEnd, func(context.Context, EndRequest) (EndAnswer, error) {
			notifications.Add(1)
			return EndAnswer{Known: true}, nil
		})
		owner := gossip.Member{HostID: "other", Address: startPeer(ctx, t, registry)}
		m := newTestManager(ctx, store.client(), fakeMembers{self: "self", others: []gossip.Member{owner}})
		if read {
			if _, err := m.readJob(ctx, spec.ID, spec.Organisation); err != nil {
				t.Fatal(err)
			}
		}
		m.recordOwner(spec.ID, owner.HostID)
		if err := m.End(ctx, spec.ID, spec.Organisation); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		if notifications.Load() == 0 {
			t.Errorf("read before: %v: the entry that runs the job wasn't notified", read)
		}
		cancel()
		m.Wait()
	}
}
