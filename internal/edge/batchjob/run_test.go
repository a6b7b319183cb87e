package batchjob

import (
	"context"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
)

// finishItem completes an item of a job that runs and returns the page that would be written.
func finishItem(t *testing.T, j *job, item string) batch.Page {
	t.Helper()
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.progress.Start(item).Append(batch.Event{Number: 1, Data: "text"}, 1)
	j.progress.Completed(now, item)
	page, ok := j.progress.Flush(now)
	if !ok {
		t.Fatal("nothing to write")
	}
	return page
}

// A page was written and its answer lost; the job was left to another entry, forgotten, read again and run again by the same process. The late
// page stood at the number of the process's first new one, with the same mark, so that the process took it for its own and listed other results
// at those positions than the store does. Cause: the mark named the run of the process, not the one that wrote.
func TestAJobThatIsReadAgainDoesNotTakeAFormerPageForItsOwn(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := batch.Job{ID: "j", Accepted: time.Now(), Terms: batch.Terms{ItemTimeout: time.Hour}, Submission: batch.Submission{Items: []batch.Item{{ID: "a"}, {ID: "b"}}}}
	store := newSharedStore()
	store.put(t, KindJobs, spec.ID, spec)
	door := store.door()
	m := entryOf(ctx, door, entries{self: "self"})
	defer m.Wait()
	defer cancel()
	m.run(&spec)
	former, _ := m.find(spec.ID)
	late := finishItem(t, former, "a")
	former.yield()
	m.mu.Lock()
	delete(m.jobs, spec.ID)
	m.mu.Unlock()
	m.run(&spec)
	again, _ := m.find(spec.ID)
	page := finishItem(t, again, "b")
	store.put(t, KindPages, pageName(spec.ID, 1), late)
	if !m.tryWrite(ctx, again, page, nil) {
		t.Fatal("the page is not settled")
	}
	if _, results, _ := again.show(time.Now(), 0, 1000); len(results) != 1 || results[0].ID != "a" {
		t.Errorf("position 0 holds %v here, and a in the store", results)
	}
}
