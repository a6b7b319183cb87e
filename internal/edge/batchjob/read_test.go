package batchjob

import (
	"context"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// Two entries ran one job after a partition between them. A trainer read 181 results at one; the other, which had yet to learn of the
// pages, showed it an empty list at position 69. An entry that runs a job can't know that it is alone, whatever it was told.
func TestARunnerAsksTheStoreBeforeItShowsNothing(t *testing.T) {
	whole := batch.Page{Results: []batch.Result{{ID: "a"}, {ID: "b"}}}
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
		{name: "the store can't be asked", fault: faultDown, err: true},
		{name: "no entry reaches the store", listed: true, outage: true, err: true},
		{name: "all items are listed, and the store can't be asked", known: []batch.Page{whole}, from: 2, fault: faultDown},
		{name: "the position is known, and the store can't be asked", known: []batch.Page{whole}, from: 1, fault: faultDown, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newSharedStore()
			if test.listed {
				store.put(t, KindPages, pageName("j", 1), batch.Page{Writer: 9, Results: []batch.Result{{ID: "a"}}})
			}
			door := store.door()
			door.set(test.fault)
			m := entryOf(t.Context(), door, entries{self: "self"})
			m.outage = func(time.Time) bool { return test.outage }
			j := testJob()
			j.runs = true
			for number, page := range test.known {
				j.absorb(number+1, page)
			}
			_, results, err := m.answer(t.Context(), j, ReadRequest{From: test.from, MaxBytes: 1000}, time.Now())
			if len(results) != test.want || (err != nil) != test.err {
				t.Errorf("%v, %v", results, err)
			}
		})
	}
}

// An entry that doesn't run a job has read it, and a reader waits there. What another entry lists and shows meanwhile must be in the answer.
func TestAWaitOnACopyEndsWithTheStore(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	spec := storedSpec()
	spec.Owner = "other"
	store := newSharedStore()
	store.put(t, KindJobs, spec.ID, spec)
	m := entryOf(ctx, store.door(), entries{self: "self", others: []gossip.Member{{HostID: "other"}}})
	defer m.Wait()
	defer cancel()
	time.AfterFunc(50*time.Millisecond, func() {
		store.put(t, KindPages, pageName(spec.ID, 1), batch.Page{Writer: 9, Results: []batch.Result{{ID: "a"}}})
	})
	_, results, err := m.Results(ctx, spec.ID, spec.Organisation, 0, 2*confirmedTime, 1000)
	if err != nil || len(results) != 1 {
		t.Errorf("%v, %v", results, err)
	}
}
