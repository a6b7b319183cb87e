package batchjob

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// slowStore is a store client whose reads take a third of a second, and end with their context.
type slowStore struct{ *storeClient }

func (c slowStore) Get(ctx context.Context, kind, name string) (product.Object, error) {
	timer := time.NewTimer(330 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return c.storeClient.Get(ctx, kind, name)
	case <-ctx.Done():
		return product.Object{}, product.ErrUnavailable
	}
}

// The store is slow, and the entry that ran a job of several pages is lost. Pages that were read during one call must count for the next:
// a trainer that retries must be shown the job, and the job must be taken over.
func TestJobOfSeveralPagesIsReadFromASlowStore(t *testing.T) {
	for _, test := range []struct {
		name string
		call func(ctx context.Context, m *Manager, spec *batch.Job) bool
	}{
		{name: "read", call: func(ctx context.Context, m *Manager, spec *batch.Job) bool {
			started := time.Now()
			_, results, err := m.Results(ctx, spec.ID, spec.Organisation, 0, time.Second, 1<<20)
			t.Logf("%d results, %v, after %v", len(results), err, time.Since(started))
			return len(results) > 0
		}},
		{name: "taken over", call: func(_ context.Context, m *Manager, spec *batch.Job) bool {
			m.rerun(spec.ID, "gone")
			j, ok := m.find(spec.ID)
			return ok && j.isRunning()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			spec := newStoredSpec()
			spec.Accepted = time.Now().Add(-time.Minute)
			store := newMemoryStore()
			for number := 1; number <= 8; number++ {
				id := fmt.Sprint("item", number)
				spec.Items = append(spec.Items, batch.Item{ID: id})
				store.put(t, KindPages, pageName(spec.ID, number), batch.Page{Writer: 9, Serial: number, Results: []batch.Result{{ID: id}}})
			}
			store.put(t, KindJobs, spec.ID, spec)
			m := newTestManager(ctx, slowStore{store.client()}, fakeMembers{self: "self"})
			defer m.Wait()
			defer cancel()
			for range 4 {
				if test.call(ctx, m, spec) {
					return
				}
			}
			t.Error("no success in four tries")
		})
	}
}

// hangingStore is a store client whose reads end with their context only.
type hangingStore struct{ *storeClient }

func (c hangingStore) Get(ctx context.Context, _, _ string) (product.Object, error) {
	<-ctx.Done()
	return product.Object{}, product.ErrUnavailable
}

// The store hangs. A trainer gives up 1.5 s after the wait that it allows, and must have an answer by then.
func TestReadEndsBeforeTheTrainerGivesUp(t *testing.T) {
	for _, known := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		spec := newStoredSpec()
		m := newTestManager(ctx, hangingStore{newMemoryStore().client()}, fakeMembers{self: "self"})
		if known {
			m.runNewJob(spec)
		}
		const wait = 200 * time.Millisecond
		started := time.Now()
		_, _, err := m.Results(ctx, spec.ID, spec.Organisation, 0, wait, 1000)
		if took := time.Since(started); err == nil || took > wait+1400*time.Millisecond {
			t.Errorf("known %v: %v after %v", known, err, took)
		}
		cancel()
		m.Wait()
	}
}

// A read of the store takes a third of a second, and a page is written right after that read found none. The result must not answer a read
// that comes in after the page was shown.
func TestStoreAnswerIsAsOldAsItsQuery(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	spec := newStoredSpec()
	store := newMemoryStore()
	m := newTestManager(ctx, slowStore{store.client()}, fakeMembers{self: "self"})
	j := newJob(spec)
	queried := time.Now()
	if err := m.readNewPages(ctx, j); err != nil {
		t.Fatal(err)
	}
	if _, _, ok := j.resultsFrom(queried.Add(100*time.Millisecond), 0, 1000); ok {
		t.Error("a store query from before the read was received confirms its empty list")
	}
}

// The answer to the create of a job was lost, and its trainer is gone. The job was stored, so it must be found and run. That the job is in
// memory, since the body of an item is read here meanwhile, doesn't mean that an entry runs it.
func TestJobRunsAfterALostStoreAnswer(t *testing.T) {
	for _, read := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		spec := newStoredSpec()
		client := newMemoryStore().client()
		client.setFault(faultLost)
		m := newTestManager(ctx, client, fakeMembers{self: "self"})
		if err := m.Submit(ctx, spec); err == nil {
			t.Fatal("the job was accepted without an answer of the store")
		}
		client.setFault(faultNone)
		if read {
			if _, err := m.Body(ctx, spec.ID, spec.Organisation, "a"); err != nil {
				t.Fatal(err)
			}
		}
		runs := false
		for end := time.Now().Add(4 * lostAnswerPollInterval); !runs && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			j, ok := m.find(spec.ID)
			runs = ok && j.isRunning()
		}
		if !runs {
			t.Errorf("read %v: nobody runs the job", read)
		}
		cancel()
		m.Wait()
	}
}

// Guards against a job that runs with the terms of a later submission, whose create had no answer, instead of the stored ones, or that
// nobody runs because it is another organisation's, and against a poll of the store for each repeat.
func TestLostAnswerStartsTheStoredJob(t *testing.T) {
	f := newEarlyFleet(t, 1)
	f.server.SetStream(1000, 10*time.Millisecond)
	m, stored := f.managers[0], newStep("j", 1)
	stored.MaxAttempts, stored.Organisation = 7, "south"
	f.store.put(t, KindJobs, "j", stored)
	m.wg.Go(func() { m.resolveLostAnswer(newStep("j", 1)) })
	eventually(t, "polling", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return !m.lostAnswers["j"].IsZero() })
	started := time.Now()
	m.resolveLostAnswer(newStep("j", 1))
	if time.Since(started) >= lostAnswerPollInterval {
		t.Error("polled twice")
	}
	eventually(t, "started", func() bool { j, ok := m.find("j"); return ok && j.isRunning() && j.spec.MaxAttempts == 7 })
}
