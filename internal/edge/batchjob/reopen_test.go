package batchjob

import (
	"context"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// Guards against jobs that stall after all entries were killed at once: no entry tells the first one that is back what ran, and nothing
// ran until trainers asked for results. It reads in the notes of the lease which jobs were open, and runs those that no living entry runs
// and that haven't ended.
func TestStartingEntryRunsOpenJobs(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(m *Manager)
		runs   bool
	}{
		{name: "nobody runs it", before: func(*Manager) {}, runs: true},
		{name: "another entry runs it", before: func(m *Manager) { m.recordOwner("j", "other") }},
		{name: "it has ended", before: func(m *Manager) { m.markEnded("j") }},
		{name: "this process was started long ago", before: func(m *Manager) { m.started = time.Now().Add(-2 * reopenWindow) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			spec := batch.Job{ID: "j", Owner: "self", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}}
			m := newManagerWithJob(ctx, t, spec, fakeMembers{self: "self", others: []gossip.Member{{HostID: "other"}}})
			defer m.Wait()
			defer cancel()
			test.before(m)
			m.Reopen([]string{"j", "gone"}, 0)
			runs := false
			for end := time.Now().Add(reopenDelay + 2*rerunTurn + 500*time.Millisecond); !runs && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				j, ok := m.find("j")
				runs = ok && j.isRunning()
			}
			if runs != test.runs {
				t.Errorf("the job runs: %v", runs)
			}
		})
	}
}
