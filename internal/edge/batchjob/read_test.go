package batchjob

import (
	"context"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// Guards against an empty list from an entry that runs a job and doesn't know that another one runs it too. After a partition two entries
// ran one job: a trainer read 181 results at one, and the other, which didn't know the pages yet, showed it an empty list at position 69.
func TestOwnerQueriesTheStoreBeforeAnEmptyAnswer(t *testing.T) {
	complete := batch.Page{Results: []batch.Result{{ID: "a"}, {ID: "b"}}}
	for _, test := range []struct {
		name   string
		known  []batch.Page
		from   int
		listed bool
		fault  storeFault
		outage bool
		want   int
		err    bool
	}{
		{name: "another has listed more", listed: true, want: 1},
		{name: "nothing is listed"},
		{name: "the store can't be queried", fault: faultDown, err: true},
		{name: "no entry reaches the store", listed: true, outage: true, err: true},
		{name: "all items are listed, and the store can't be queried", known: []batch.Page{complete}, from: 2, fault: faultDown},
		{name: "the position is known, and the store can't be queried", known: []batch.Page{complete}, from: 1, fault: faultDown, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newMemoryStore()
			if test.listed {
				store.put(t, KindPages, pageName("j", 1), batch.Page{Writer: 9, Results: []batch.Result{{ID: "a"}}})
			}
			client := store.client()
			client.setFault(test.fault)
			m := newTestManager(t.Context(), client, fakeMembers{self: "self"})
			m.outage = func(time.Time) bool { return test.outage }
			j := newTestJob()
			j.running = true
			for number, page := range test.known {
				j.applyPage(number+1, page)
			}
			_, results, err := m.answerRead(t.Context(), j, ReadRequest{From: test.from, MaxBytes: 1000}, time.Now())
			if len(results) != test.want || (err != nil) != test.err {
				t.Errorf("results %v, error %v", results, err)
			}
		})
	}
}

// An entry that doesn't run a job has read it, and a read waits there. What another entry lists and shows meanwhile must be in the answer.
func TestWaitingReadQueriesTheStoreAtItsEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := newStoredSpec()
	spec.Owner = "other"
	store := newMemoryStore()
	store.put(t, KindJobs, spec.ID, spec)
	m := newTestManager(ctx, store.client(), fakeMembers{self: "self", others: []gossip.Member{{HostID: "other"}}})
	defer m.Wait()
	defer cancel()
	time.AfterFunc(50*time.Millisecond, func() {
		store.put(t, KindPages, pageName(spec.ID, 1), batch.Page{Writer: 9, Results: []batch.Result{{ID: "a"}}})
	})
	_, results, err := m.Results(ctx, spec.ID, spec.Organisation, 0, 2*confirmationTTL, 1000)
	if err != nil || len(results) != 1 {
		t.Errorf("results %v, error %v", results, err)
	}
}
