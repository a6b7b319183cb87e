package batchjob

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// Guards against an empty list at a position whose result another entry has returned. Two entries ran a job, because the second learned of
// its acceptance late, and the second knew nothing of the pages that the first had written: a trainer had read 68 results at one entry and
// got an empty list at position 67 from the other. Entries assumed that pages of which they had not heard did not exist; in three of these
// states an entry returned an empty list without querying the store.
func TestListedPositionIsNeverReportedEmpty(t *testing.T) {
	run := func(ctx context.Context, m *Manager, spec *batch.Job) {
		specJSON, err := json.Marshal(spec)
		if err != nil {
			t.Error(err)
		}
		if err := m.handleRun(ctx, RunRequest{Job: spec.ID, Organisation: spec.Organisation, From: "other", SpecJSON: specJSON}); err != nil {
			t.Error(err)
		}
	}
	for _, test := range []struct {
		name string
		// before is what the entry does before another one writes a page and returns its results.
		before func(ctx context.Context, m *Manager, spec *batch.Job)
		// after is what it does between that and the read.
		after func(ctx context.Context, m *Manager, spec *batch.Job)
	}{
		{name: "it has just started"},
		{name: "it receives the request to run the new job late", after: run},
		{name: "it runs the job, and was frozen while another took the job over", before: run},
		{name: "it read the job while another ran it", before: func(ctx context.Context, m *Manager, spec *batch.Job) {
			if _, err := m.readJob(ctx, spec.ID, spec.Organisation); err != nil {
				t.Error(err)
			}
		}},
		{name: "it ended the job, and read it once more long after", before: func(ctx context.Context, m *Manager, spec *batch.Job) {
			run(ctx, m, spec)
			m.markEnded(spec.ID)
			j, _ := m.find(spec.ID)
			if err := m.readNewPages(ctx, j); err != nil {
				t.Error(err)
			}
			j.mu.Lock()
			j.noNewPageAt = j.noNewPageAt.Add(-time.Minute)
			j.mu.Unlock()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			spec := newStoredSpec()
			spec.Owner = "other"
			store := newMemoryStore()
			store.put(t, KindJobs, spec.ID, spec)
			m := newTestManager(ctx, store.client(), fakeMembers{self: "self", others: []gossip.Member{{HostID: "other"}}})
			defer m.Wait()
			defer cancel()
			if test.before != nil {
				test.before(ctx, m, spec)
			}
			store.put(t, KindPages, pageName(spec.ID, 1), batch.Page{Writer: 9, Serial: 1, Results: []batch.Result{{ID: "a", State: batch.StateCompleted}}})
			if test.after != nil {
				test.after(ctx, m, spec)
			}
			total, results, err := m.Results(ctx, spec.ID, spec.Organisation, 0, 0, 1<<20)
			if err != nil || total != 2 || len(results) != 1 || results[0].ID != "a" {
				t.Errorf("%d items, results %v, error %v; another entry may have returned position 0", total, results, err)
			}
		})
	}
}
