package batchjob

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// A trainer ended its job and was told so. The request to run the job reached an entry after the news of its end, and its items ran on at
// the servers. Cause: the end was noted only for jobs that the entry knew already.
func TestAnEndThatOvertakesItsJob(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		spec := batch.Job{ID: "j", Organisation: "north", Owner: "other", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}}
		m := testManager(ctx, spec, entries{self: "self", others: []gossip.Member{{HostID: "other"}}})
		m.Heard(gossip.Member{HostID: "other"}, nil, []string{"j"}, nil)
		q := RunRequest{Job: "j", Organisation: "north", From: "other"}
		if fresh {
			value, err := json.Marshal(spec)
			if err != nil {
				t.Fatal(err)
			}
			q.Fresh = value
		}
		if err := m.runFor(ctx, q); err != nil {
			t.Error(err)
		}
		if j, ok := m.find("j"); ok && (j.running() || !j.over()) {
			t.Errorf("fresh %v: a job runs that has ended", fresh)
		}
		cancel()
		m.Wait()
	}
}

// An entry was cut off from the others for longer than an end goes round. Back among them, it says that it runs the job: it must be told of the
// end again, and not be taken for the job's owner.
func TestAnEndIsToldAgainToWhoRunsTheJob(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := testManager(ctx, batch.Job{ID: "j"}, entries{self: "self", others: []gossip.Member{{HostID: "other"}}})
	defer m.Wait()
	defer cancel()
	m.endHere("j")
	m.mu.Lock()
	m.ended["j"] = time.Now().Add(-2 * endedTime)
	m.mu.Unlock()
	if _, ended := m.Jobs(time.Now()); len(ended) != 0 {
		t.Errorf("told for ever: %v", ended)
	}
	m.Heard(gossip.Member{HostID: "other"}, []string{"j"}, nil, nil)
	if _, ended := m.Jobs(time.Now()); !slices.Equal(ended, []string{"j"}) {
		t.Errorf("told: %v", ended)
	}
	if owner, ok := m.owner("j"); ok {
		t.Errorf("owner %v of a job that has ended", owner)
	}
}
