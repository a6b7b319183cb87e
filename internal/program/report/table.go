package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// lastItems is the number of items in the table of those that ended last.
const lastItems = 10

// writeTable writes the step's figures and the items that ended last; due is in seconds.
func (s *step) writeTable(out io.Writer, due float64) error {
	items := s.sortedItems()
	runs, refused, open, completed, late := 0, 0, 0, 0, 0
	last := 0.0
	for _, i := range items {
		runs += len(i.runs)
		for _, r := range i.runs {
			switch r.outcome {
			case outcomeRefused:
				refused++
			case outcomeOpen:
				open++
			}
		}
		if at, ok := i.completedAt(); ok {
			completed++
			last = max(last, at)
			if at > due {
				late++
			}
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	p := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format, values...) }
	p("step %d, request %s, model %s, %s\n", s.number, s.request, s.model, plotName(s))
	p("  submitted at %s by %s, %d times\n", s.submissionTime(), s.host, s.submissions)
	p("  items %d, runs %d, moves %d, refused runs %d, runs without an end %d\n", s.itemCount, runs, len(s.moves), refused, open)
	if completed > 0 {
		p("  last item completed after %.3f s, %d of %d completed, %d after the due time of %.3f s\n", last, completed, s.itemCount, late, due)
	} else {
		p("  no item completed in the log, which has these lines at level debug\n")
	}
	p("  pages %d, the last after %.3f s\n", s.pages, s.lastPage)
	if s.ended {
		p("  ended by its trainer after %.3f s\n", s.endedAt)
	}
	if len(items) > 0 {
		p("\n  item\tgroup\tcompleted\tserver\twait\tevents\tinterval\truns\n")
	}
	for _, i := range slowestItems(items) {
		ended := "-"
		if at, ok := i.completedAt(); ok {
			ended = fmt.Sprintf("%.3f s", at)
		}
		p("  %s\t%s\t%s\t%s\t%.3f s\t%d\t%.1f ms\t%d\n", i.id, cmp.Or(i.group, "-"), ended, i.runs[len(i.runs)-1].server,
			i.wait(), i.events(), 1000*i.interval(), len(i.runs))
	}
	p("\n")
	return w.Flush()
}

// submissionTime returns when the step was submitted, on the log's clock.
func (s *step) submissionTime() string {
	if s.prefixed {
		return fmt.Sprintf("%.3f s", s.submitted)
	}
	return time.UnixMicro(int64(s.submitted * 1e6)).UTC().Format(time.RFC3339)
}

// slowestItems returns the items that ended last: first those that weren't completed, by the end of their last run, then
// the others by the time of their completion.
func slowestItems(items []*item) []*item {
	ends := map[*item]float64{}
	done := map[*item]int{}
	for _, i := range items {
		at, ok := i.completedAt()
		if ok {
			done[i] = 1
		} else {
			at = i.runs[len(i.runs)-1].end
		}
		ends[i] = at
	}
	slowest := slices.Clone(items)
	slices.SortStableFunc(slowest, func(a, b *item) int {
		return cmp.Or(cmp.Compare(done[a], done[b]), cmp.Compare(ends[b], ends[a]))
	})
	return slowest[:min(lastItems, len(slowest))]
}
