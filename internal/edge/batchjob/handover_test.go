package batchjob

import (
	"context"
	"sync/atomic"
	"testing"

	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// leavingStore is a store client with which the manager begins to leave while a job is being read.
type leavingStore struct {
	*storeClient
	manager atomic.Pointer[Manager]
}

func (c *leavingStore) Get(ctx context.Context, kind, name string) (product.Object, error) {
	if m := c.manager.Load(); m != nil {
		m.HandOverJobs(ctx)
	}
	return c.storeClient.Get(ctx, kind, name)
}

// Guards against a job that no entry runs because one agreed to run it and began to leave before it did.
func TestEntryThatBeginsToLeaveRefusesAJob(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	client := &leavingStore{storeClient: store.client()}
	m := newTestManager(ctx, client, fakeMembers{self: "self"})
	client.manager.Store(m)
	defer m.Wait()
	defer cancel()
	if err := m.handleRun(ctx, RunRequest{Job: spec.ID, Organisation: spec.Organisation, From: "other"}); err == nil {
		t.Error("the entry agreed to run the job, and doesn't")
	}
}
