package batchjob

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// A trainer had read 68 results of a job at one entry; another one showed it an empty list at position 67. Two entries ran the job: its
// acceptance had gone to the second as well, late, and that one took itself for alone, though the first had written pages long ago.
// Cause: what no entry had been told of was taken not to exist. Three of these states denied the position until the store was asked.
func TestNoEntryDeniesAListedPosition(t *testing.T) {
	run := func(ctx context.Context, m *Manager, spec *batch.Job) {
		fresh, err := json.Marshal(spec)
		if err != nil {
			t.Error(err)
		}
		if err := m.runFor(ctx, RunRequest{Job: spec.ID, Organisation: spec.Organisation, From: "other", Fresh: fresh}); err != nil {
			t.Error(err)
		}
	}
	for _, test := range []struct {
		name string
		// before is what the entry does before another one writes a page and shows it.
		before func(ctx context.Context, m *Manager, spec *batch.Job)
		// after is what it does then, before it is read.
		after func(ctx context.Context, m *Manager, spec *batch.Job)
	}{
		{name: "it has just started"},
		{name: "it was given the job as a fresh one, late", after: run},
		{name: "it runs the job, and stood still while another took the job over", before: run},
		{name: "it read the job while another ran it", before: func(ctx context.Context, m *Manager, spec *batch.Job) {
			if _, err := m.read(ctx, spec.ID, spec.Organisation); err != nil {
				t.Error(err)
			}
		}},
		{name: "it ended the job, and read it once more long after", before: func(ctx context.Context, m *Manager, spec *batch.Job) {
			run(ctx, m, spec)
			m.endHere(spec.ID)
			j, _ := m.find(spec.ID)
			if err := m.catchUp(ctx, j); err != nil {
				t.Error(err)
			}
			j.mu.Lock()
			j.asked = j.asked.Add(-time.Minute)
			j.mu.Unlock()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			spec := storedSpec()
			spec.Owner = "other"
			store := newSharedStore()
			store.put(t, KindJobs, spec.ID, spec)
			m := entryOf(ctx, store.door(), entries{self: "self", others: []gossip.Member{{HostID: "other"}}})
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
				t.Errorf("%d items, %v, %v; position 0 was shown elsewhere", total, results, err)
			}
		})
	}
}
