package batchjob

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/roster"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// maxIdleOfJob is how long a job may run at no entry while the store answers and no entry is lost.
const maxIdleOfJob = 4 * time.Second

// runsWithin reports whether the manager runs the job within the time.
func runsWithin(m *Manager, id string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if j, ok := m.find(id); ok && j.isRunning() {
			return true
		}
	}
	return false
}

// newManagerWithLostOwner returns a manager that knows a living entry and has another one, which isn't alive, on record as the owner of the
// stored job "j".
func newManagerWithLostOwner(ctx context.Context, t *testing.T) (*Manager, *storeClient) {
	t.Helper()
	spec := newStoredSpec()
	spec.Accepted = time.Now().Add(-ownerGracePeriod)
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	client := store.client()
	m := newTestManager(ctx, client, fakeMembers{self: "self", others: []gossip.Member{{HostID: "other"}}})
	m.recordOwner(spec.ID, "lost")
	return m, client
}

// Guards against a job that no entry runs after an outage of the store: each entry gave up 2.5 s after the loss of the one that ran the job,
// since the store refused every call at once.
func TestJobOfALostEntryRunsOnceTheStoreIsBack(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	m, client := newManagerWithLostOwner(ctx, t)
	defer m.Wait()
	defer cancel()
	client.setFault(faultDown)
	m.RerunJobsOf(gossip.Member{HostID: "lost"})
	time.Sleep(9 * time.Second)
	client.setFault(faultNone)
	if !runsWithin(m, "j", maxIdleOfJob) {
		t.Errorf("the job doesn't run %v after the store is back", maxIdleOfJob)
	}
}

// Guards against calls to the store while it is known to be down, and against waiting after it is back.
func TestRerunWaitsForTheEndOfAnOutage(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	m, client := newManagerWithLostOwner(ctx, t)
	var outage atomic.Bool
	reads := map[string]int{}
	m.outage = func(time.Time) bool { return outage.Load() }
	m.store = countingStore{storeClient: client, mu: &sync.Mutex{}, reads: reads}
	defer m.Wait()
	defer cancel()
	outage.Store(true)
	m.RerunJobsOf(gossip.Member{HostID: "lost"})
	time.Sleep(2 * time.Second)
	if len(reads) > 0 {
		t.Errorf("reads during the outage: %v", reads)
	}
	outage.Store(false)
	if limit := outageCheckInterval + 2*rerunTurn; !runsWithin(m, "j", limit) {
		t.Errorf("the job doesn't run %v after the outage", limit)
	}
}

// Guards against a job that no entry runs because its preferred runner didn't answer and the store refused the one read that followed.
func TestAssignedJobRunsOnceTheStoreIsBack(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	client := store.client()
	m := newTestManager(ctx, client, fakeMembers{self: "self", others: []gossip.Member{{HostID: "other", Cores: 100}}})
	defer m.Wait()
	defer cancel()
	if runner := m.preferredRunner(spec).HostID; runner != "other" {
		t.Fatalf("the preferred runner is %s", runner)
	}
	client.setFault(faultDown)
	m.assign(spec, nil)
	time.Sleep(time.Second)
	client.setFault(faultNone)
	if !runsWithin(m, spec.ID, maxIdleOfJob) {
		t.Errorf("the job doesn't run %v after the store is back", maxIdleOfJob)
	}
}

// Guards against a job that no entry runs because each takes another one for its owner that was only named by a third entry, and that
// doesn't run it.
func TestNamedOwnerThatDoesNotRunAJobDoesNotStopItsRerun(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	m, _ := newManagerWithLostOwner(ctx, t)
	defer m.Wait()
	defer cancel()
	third := gossip.Member{HostID: "third"}
	m.mergeOwners(third, map[string]string{"j": "lost"})
	m.RerunJobsOf(gossip.Member{HostID: "lost"})
	// The third entry repeats what it learned before the loss.
	m.mergeOwners(third, map[string]string{"j": "other"})
	if !runsWithin(m, "j", maxIdleOfJob) {
		t.Errorf("the job doesn't run after %v", maxIdleOfJob)
	}
}

// Guards against a job that no entry runs because the announcement of an entry that handed it over arrives after the handover.
func TestDelayedAnnouncementOfALeavingEntryDoesNotStopItsSuccessor(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	spec := batch.Job{ID: "j", Organisation: "north", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}}
	leaving := gossip.Member{HostID: "leaving", Incarnation: 7}
	m := newManagerWithJob(ctx, t, spec, fakeMembers{self: "self", others: []gossip.Member{leaving}})
	defer m.Wait()
	defer cancel()
	if err := m.handleRun(ctx, RunRequest{Job: "j", Organisation: "north", From: "leaving", Leaving: true}); err != nil {
		t.Fatal(err)
	}
	m.ApplyGossip(leaving, []string{"j"}, nil, nil)
	if j, ok := m.find("j"); !ok || !j.isRunning() {
		t.Error("the job was left to the entry that handed it over")
	}
	restarted := leaving
	restarted.Incarnation++
	m.ApplyGossip(restarted, []string{"j"}, nil, nil)
	if j, ok := m.find("j"); !ok || j.isRunning() {
		t.Error("the job wasn't left to the restarted entry")
	}
}

// Guards against a job that no entry runs because the one that ran it, which is alive, stopped without an end and without a successor.
func TestJobRunsAgainWhenItsOwnerNoLongerAnnouncesIt(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	m, _ := newManagerWithLostOwner(ctx, t)
	defer m.Wait()
	defer cancel()
	other := gossip.Member{HostID: "other"}
	m.ApplyGossip(other, []string{"j"}, nil, nil)
	go ticker.Every(ctx, roster.Interval, func(time.Time) { m.ApplyGossip(other, nil, nil, nil) })
	if !runsWithin(m, "j", maxIdleOfJob) {
		t.Errorf("the job doesn't run %v after its owner stopped announcing it", maxIdleOfJob)
	}
}
