package batchjob

import (
	"context"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// All entries were killed at once. The first one back hears from nobody what ran, and the job stood still until its trainer asked for
// results. It reads beside the lease which jobs were open, and runs those that no living entry runs and that haven't ended.
func TestAnEntryThatStartsRunsTheOpenJobs(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(m *Manager)
		runs   bool
	}{
		{name: "nobody runs it", before: func(*Manager) {}, runs: true},
		{name: "another entry runs it", before: func(m *Manager) { m.noteOwner("j", "other") }},
		{name: "it has ended", before: func(m *Manager) { m.endHere("j") }},
		{name: "this process was started long ago", before: func(m *Manager) { m.started = time.Now().Add(-2 * freshTime) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			spec := batch.Job{ID: "j", Owner: "self", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}}
			m := testManager(ctx, t, spec, entries{self: "self", others: []gossip.Member{{HostID: "other"}}})
			defer m.Wait()
			defer cancel()
			test.before(m)
			m.Reopen([]string{"j", "gone"}, 0)
			runs := false
			for end := time.Now().Add(reopenPause + 2*orphanPause + 500*time.Millisecond); !runs && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				j, ok := m.find("j")
				runs = ok && j.running()
			}
			if runs != test.runs {
				t.Errorf("runs: %v", runs)
			}
		})
	}
}
