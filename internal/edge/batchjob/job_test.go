package batchjob

import (
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
)

func newTestJob() *job {
	items := []batch.Item{{ID: "a", Group: "g"}, {ID: "b", Group: "g"}}
	return newJob(&batch.Job{ID: "j", Submission: batch.Submission{Items: items}})
}

// Guards against an empty list from an incomplete copy: a job was read while it ran elsewhere, without its last page, and then its end was
// announced. Taken for complete, the copy showed an empty list to a trainer that had read all results before.
func TestCopyOfAnEndedJobMayBeIncomplete(t *testing.T) {
	j := newTestJob()
	j.applyPage(1, batch.Page{Results: []batch.Result{{ID: "a"}}})
	j.end()
	if !j.canAnswer(0) {
		t.Error("a result that was read is not shown")
	}
	if j.canAnswer(1) {
		t.Error("an incomplete copy answers for a position that it doesn't hold")
	}
	received := time.Now()
	for _, queried := range []time.Time{{}, received.Add(-time.Hour), received.Add(-time.Millisecond)} {
		j.recordNoNewPage(queried)
		if _, _, ok := j.resultsFrom(received, 1, 1000); ok {
			t.Errorf("a store query of %v confirms an empty list for a read received at %v", queried, received)
		}
	}
	j.recordNoNewPage(received)
	if _, _, ok := j.resultsFrom(received, 1, 1000); !ok {
		t.Error("a store query after the read doesn't confirm the empty list")
	}
}

func TestPagesAreAppliedOnceAndInOrder(t *testing.T) {
	j := newTestJob()
	page := batch.Page{Results: []batch.Result{{ID: "a"}}}
	j.applyPage(2, page)
	j.applyPage(1, page)
	j.applyPage(1, batch.Page{Results: []batch.Result{{ID: "b"}}})
	j.applyOwnPage(1, page)
	if total, results, ok := j.resultsFrom(time.Now(), 0, 1000); !ok || total != 2 || len(results) != 1 || results[0].ID != "a" {
		t.Errorf("%d items, results %v, confirmed %v", total, results, ok)
	}
}

func TestReadersAreNotifiedOfNewResults(t *testing.T) {
	j := newTestJob()
	go j.applyPage(1, batch.Page{Results: []batch.Result{{ID: "a"}}})
	j.awaitResults(t.Context(), 0, 5*time.Second)
	if _, results, _ := j.resultsFrom(time.Now(), 0, 1000); len(results) != 1 {
		t.Errorf("results %v", results)
	}
	go j.end()
	started := time.Now()
	j.awaitResults(t.Context(), 1, 5*time.Second)
	if _, results, _ := j.resultsFrom(time.Now(), 1, 1000); len(results) != 0 || time.Since(started) > 4*time.Second {
		t.Errorf("results %v after %v", results, time.Since(started))
	}
}
