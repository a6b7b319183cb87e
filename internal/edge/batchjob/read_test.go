package batchjob

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// pages is a store that holds the pages of one job, or can't be reached.
type pages struct {
	Store
	known map[string]batch.Page
	down  bool
}

func (p pages) Get(_ context.Context, _, name string) (product.Object, error) {
	if p.down {
		return product.Object{}, product.ErrUnavailable
	}
	page, ok := p.known[name]
	if !ok {
		return product.Object{}, product.ErrNotFound
	}
	value, err := json.Marshal(page)
	return product.Object{Name: name, Value: value}, err
}

// Two entries ran one job after a partition between them. A trainer read 181 results at one; the other, which had yet to learn of the
// pages, showed it an empty list at position 69. An entry that runs a job can't know that it is alone, whatever it was told.
func TestARunnerAsksTheStoreBeforeItShowsNothing(t *testing.T) {
	listed := map[string]batch.Page{pageName("j", 1): {Writer: 9, Results: []batch.Result{{ID: "a"}}}}
	whole := batch.Page{Results: []batch.Result{{ID: "a"}, {ID: "b"}}}
	for _, test := range []struct {
		name   string
		known  []batch.Page
		from   int
		store  pages
		outage bool
		want   int
		err    bool
	}{
		{name: "another has listed more", store: pages{known: listed}, want: 1},
		{name: "nothing is listed"},
		{name: "the store can't be asked", store: pages{down: true}, err: true},
		{name: "no entry reaches the store", store: pages{known: listed}, outage: true, err: true},
		{name: "all items are listed, and the store can't be asked", known: []batch.Page{whole}, from: 2, store: pages{down: true}},
		{name: "the position is known, and the store can't be asked", known: []batch.Page{whole}, from: 1, store: pages{down: true}, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := &Manager{
				store: test.store, metrics: NewMetrics(prometheus.NewRegistry()), log: zerolog.Nop(),
				outage: func(time.Time) bool { return test.outage },
			}
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
	spec := &batch.Job{
		ID: "j", Organisation: "north", Owner: "other", Accepted: time.Now(), Terms: batch.Terms{ItemTimeout: time.Hour},
		Submission: batch.Submission{Items: []batch.Item{{ID: "a"}, {ID: "b"}}},
	}
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
