package batchjob

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
)

// finishItem completes an item of a running job and returns the page to be written.
func finishItem(t *testing.T, j *job, item string) batch.Page {
	t.Helper()
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.progress.Start(item).Append(batch.Event{Number: 1, Data: "text"}, 1)
	j.progress.RecordCompletion(now, item)
	page, ok := j.progress.Flush(now)
	if !ok {
		t.Fatal("nothing to write")
	}
	return page
}

// Guards against taking an earlier page for a new one. A page was written and its answer lost; the job was left to another entry, dropped
// from memory, read again and run again by the same process. The late page had the number and the writer of the process's first new page,
// so that the process took it for its own and listed other results than the store. The writer identified the process and not the job in
// its memory.
func TestReloadedJobDoesNotTakeAnEarlierPageForItsOwn(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := batch.Job{ID: "j", Accepted: time.Now(), Terms: batch.Terms{ItemTimeout: time.Hour}, Submission: batch.Submission{Items: []batch.Item{{ID: "a"}, {ID: "b"}}}}
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	client := store.client()
	m := newTestManager(ctx, client, fakeMembers{self: "self"})
	defer m.Wait()
	defer cancel()
	m.runNewJob(&spec)
	former, _ := m.find(spec.ID)
	late := finishItem(t, former, "a")
	former.stopRunning()
	m.mu.Lock()
	delete(m.jobs, spec.ID)
	m.mu.Unlock()
	m.runNewJob(&spec)
	reloaded, _ := m.find(spec.ID)
	page := finishItem(t, reloaded, "b")
	store.put(t, KindPages, pageName(spec.ID, 1), late)
	if !m.tryWritePage(ctx, reloaded, page, nil) {
		t.Fatal("the page write is not resolved")
	}
	if _, results, _ := reloaded.resultsFrom(time.Now(), 0, 1000); len(results) != 1 || results[0].ID != "a" {
		t.Errorf("position 0 holds %v here, and a in the store", results)
	}
}

// Guards against a list that differs from the store's, as above, while the control loop of the reloaded job writes pages too: each position
// must hold what the store's pages hold there, and nothing may be listed that they don't hold.
func TestReloadedJobListsWhatTheStoreHolds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := batch.Job{ID: "j", Accepted: time.Now(), Terms: batch.Terms{ItemTimeout: time.Hour}, Submission: batch.Submission{Items: []batch.Item{{ID: "a"}, {ID: "b"}}}}
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	m := newTestManager(ctx, store.client(), fakeMembers{self: "self"})
	defer m.Wait()
	defer cancel()
	m.runNewJob(&spec)
	former, _ := m.find(spec.ID)
	late := finishItem(t, former, "a")
	former.stopRunning()
	m.mu.Lock()
	delete(m.jobs, spec.ID)
	m.mu.Unlock()
	m.runNewJob(&spec)
	reloaded, _ := m.find(spec.ID)
	page := finishItem(t, reloaded, "b")
	store.put(t, KindPages, pageName(spec.ID, 1), late)
	if !m.tryWritePage(ctx, reloaded, page, nil) {
		t.Fatal("the page write is not resolved")
	}
	for listed := 0; listed < len(spec.Items); {
		_, results, _ := reloaded.resultsFrom(time.Now(), 0, 1000)
		stored := storedResults(t, store, spec.ID)
		if len(results) == 0 || len(results) > len(stored) || !cmp.Equal(results, stored[:len(results)]) || stored[0].ID != "a" {
			t.Fatalf("the list is %v here, and %v in the store", results, stored)
		}
		listed = len(results)
	}
}

// storedResults returns the results in a job's pages, in order.
func storedResults(t *testing.T, store *memoryStore, job string) []batch.Result {
	t.Helper()
	var results []batch.Result
	for number := 1; ; number++ {
		store.mu.Lock()
		value, ok := store.objects[KindPages+"/"+pageName(job, number)]
		store.mu.Unlock()
		if !ok {
			return results
		}
		var page batch.Page
		if err := json.Unmarshal(value, &page); err != nil {
			t.Fatal(err)
		}
		results = append(results, page.Results...)
	}
}
