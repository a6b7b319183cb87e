package batchjob

import (
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
)

func testJob() *job {
	items := []batch.Item{{ID: "a", Group: "g"}, {ID: "b", Group: "g"}}
	return newJob(&batch.Job{ID: "j", Submission: batch.Submission{Items: items}})
}

// A copy of a job was read while the job ran elsewhere, and then heard of the job's end. It missed the last page. Taken for the whole
// job it showed an empty list to a trainer that had read all results before.
func TestACopyOfAnEndedJobIsNotTheWholeJob(t *testing.T) {
	j := testJob()
	j.absorb(1, batch.Page{Results: []batch.Result{{ID: "a"}}})
	j.end()
	if !j.shows(0) {
		t.Error("what was read is not shown")
	}
	if j.shows(1) {
		t.Error("the copy claims to know that there is no more")
	}
	came := time.Now()
	for _, asked := range []time.Time{{}, came.Add(-time.Hour), came.Add(-time.Millisecond)} {
		j.caughtUp(asked)
		if _, _, ok := j.show(came, 1, 1000); ok {
			t.Errorf("asked at %v, it claims to know that there is no more at %v", asked, came)
		}
	}
	j.caughtUp(came)
	if _, _, ok := j.show(came, 1, 1000); !ok {
		t.Error("the store's own answer is not believed")
	}
}

func TestPagesAreTakenInOnceAndInOrder(t *testing.T) {
	j := testJob()
	page := batch.Page{Results: []batch.Result{{ID: "a"}}}
	j.absorb(2, page)
	j.absorb(1, page)
	j.absorb(1, batch.Page{Results: []batch.Result{{ID: "b"}}})
	j.wrote(1, page)
	if total, results, ok := j.show(time.Now(), 0, 1000); !ok || total != 2 || len(results) != 1 || results[0].ID != "a" {
		t.Errorf("%d %v %v", total, results, ok)
	}
}

func TestReadersHearOfNewResults(t *testing.T) {
	j := testJob()
	go j.absorb(1, batch.Page{Results: []batch.Result{{ID: "a"}}})
	j.await(t.Context(), 0, 5*time.Second)
	if _, results, _ := j.show(time.Now(), 0, 1000); len(results) != 1 {
		t.Errorf("%v", results)
	}
	go j.end()
	started := time.Now()
	j.await(t.Context(), 1, 5*time.Second)
	if _, results, _ := j.show(time.Now(), 1, 1000); len(results) != 0 || time.Since(started) > 4*time.Second {
		t.Errorf("%v after %v", results, time.Since(started))
	}
}
