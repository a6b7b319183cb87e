package batchjob

import (
	"fmt"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
)

// BenchmarkRestrictions measures the restrictions of a plan, of which a pass over the free slots makes up to four.
func BenchmarkRestrictions(b *testing.B) {
	const items, servers = 500, 2200
	for _, benchmark := range []struct {
		name                      string
		singleVersion, unanswered bool
	}{
		{name: "usual"},
		{name: "singleVersion", singleVersion: true},
		{name: "unanswered", unanswered: true},
	} {
		b.Run(benchmark.name, func(b *testing.B) {
			spec := batch.Job{ID: "j", Submission: batch.Submission{Model: "m"}}
			spec.SingleVersion = benchmark.singleVersion
			for i := range items {
				spec.Items = append(spec.Items, batch.Item{ID: fmt.Sprintf("item-%d", i)})
			}
			j := newJob(&spec)
			for _, item := range spec.Items {
				j.runs[item.ID] = &itemRun{job: j, output: &batch.Output{Versions: []int{1}}}
				if benchmark.unanswered {
					j.silences[item.ID] = silence{}
				}
			}
			candidates := make([]backend.Candidate, servers)
			for i := range candidates {
				candidates[i].Server = backend.Server{ID: fmt.Sprintf("server-%d", i), Models: map[string]int{"m": 2}}
				candidates[i].Responsiveness = backend.Responsiveness(min(i, 1))
			}
			m := &Manager{serverEnds: batch.NewEndTracker()}
			for b.Loop() {
				m.restrictions(j, candidates, refusals{})
			}
		})
	}
}
