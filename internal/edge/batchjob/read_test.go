package batchjob

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
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
// pages, showed it an empty list at position 69.
func TestARunnerThatMayNotBeAloneAsksTheStore(t *testing.T) {
	listed := map[string]batch.Page{pageName("j", 1): {Writer: 9, Results: []batch.Result{{ID: "a"}}}}
	for _, test := range []struct {
		name   string
		shared bool
		store  pages
		want   int
		err    bool
	}{
		{name: "alone", store: pages{known: listed}},
		{name: "maybe not alone", shared: true, store: pages{known: listed}, want: 1},
		{name: "maybe not alone, and nothing is listed", shared: true},
		{name: "maybe not alone, and the store can't be asked", shared: true, store: pages{down: true}, err: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := &Manager{store: test.store, metrics: NewMetrics(prometheus.NewRegistry()), log: zerolog.Nop()}
			j := testJob()
			j.runs = true
			j.shared = test.shared
			_, results, err := m.answer(t.Context(), j, 0, 0, 1000)
			if len(results) != test.want || (err != nil) != test.err {
				t.Errorf("%v, %v", results, err)
			}
		})
	}
}
