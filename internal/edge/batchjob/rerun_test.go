package batchjob

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Guards against the control loop of an earlier run that stops a later one: a job is left to another entry and, before the loop has noticed,
// given back. The job then counted as stopped, and no entry ran it until its trainer read results.
func TestEarlierRunDoesNotStopALaterOne(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := newTestManager(ctx, newMemoryStore().client(), fakeMembers{self: "self"})
	defer m.Wait()
	defer cancel()
	j := m.startJob(newJob(newStoredSpec()))
	for range 100 {
		j.stopRunning()
		m.startJob(j)
	}
	time.Sleep(3 * checkInterval)
	if !j.isRunning() {
		t.Error("the job counts as stopped")
	}
	j.mu.Lock()
	last := j.run
	j.mu.Unlock()
	select {
	case <-last.ended:
		t.Error("the last run has ended")
	default:
	}
}

// slowPages is a store client whose page writes take a while, also if their callers stop waiting, and that counts those under way at once.
type slowPages struct {
	*storeClient
	mu             sync.Mutex
	running, most  int
	started, ended chan struct{}
}

func (c *slowPages) Create(ctx context.Context, kind, name string, value json.RawMessage) (product.Version, error) {
	if kind != KindPages {
		return c.storeClient.Create(ctx, kind, name, value)
	}
	c.count(1)
	defer c.count(-1)
	c.started <- struct{}{}
	<-c.ended
	return c.storeClient.Create(ctx, kind, name, value)
}

func (c *slowPages) count(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += change
	c.most = max(c.most, c.running)
}

// Guards against two page writes of one job at once: the job is stopped and started again, or flushed as the process leaves, while a page
// is being written. Both pages hold the same results, and the second one costs another call to the store.
func TestOnePageWriteAtATime(t *testing.T) {
	for _, test := range []struct {
		name string
		next func(ctx context.Context, m *Manager, j *job)
	}{
		{name: "started again", next: func(_ context.Context, m *Manager, j *job) { m.startJob(j) }},
		{name: "flushed", next: func(ctx context.Context, m *Manager, j *job) { m.wg.Go(func() { m.flushResults(ctx, j) }) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			client := &slowPages{storeClient: newMemoryStore().client(), started: make(chan struct{}, 10), ended: make(chan struct{})}
			m := newTestManager(ctx, client, fakeMembers{self: "self"})
			defer m.Wait()
			defer cancel()
			defer close(client.ended)
			j := m.startJob(newJob(newStoredSpec()))
			completeItem(j, "a")
			completeItem(j, "b")
			<-client.started
			j.stopRunning()
			test.next(ctx, m, j)
			time.Sleep(3 * checkInterval)
			client.mu.Lock()
			defer client.mu.Unlock()
			if client.most != 1 {
				t.Errorf("%d page writes at once", client.most)
			}
		})
	}
}

// completeItem completes an item of a running job.
func completeItem(j *job, item string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.progress.Start(item).Append(batch.Event{Number: 1, Data: "text"}, 1)
	j.progress.RecordCompletion(time.Now(), item)
	j.wake()
}
