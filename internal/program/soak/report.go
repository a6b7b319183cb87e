package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Tally is how often a promise was checked and broken.
type Tally struct {
	Promise            string
	Checks, Violations int
	// Found describes the first violations.
	Found []string
}

// Report is what a run found.
type Report struct {
	Seed      uint64
	Length    time.Duration
	Schedule  []string
	Promises  []Tally
	Latencies []Latency
}

// Broken says whether a promise was broken.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Promises, func(t Tally) bool { return t.Violations > 0 })
}

// Write writes the report as a page.
func (r *Report) Write(out io.Writer) error {
	page := &strings.Builder{}
	table := tabwriter.NewWriter(page, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	line("Seed %d, disturbances for %v", r.Seed, r.Length)
	line("\nSchedule\n")
	for _, each := range r.Schedule {
		line("%s", each)
	}
	line("\nPromises\n")
	line("promise\tchecks\tviolations")
	for _, each := range r.Promises {
		line("%s\t%d\t%d", each.Promise, each.Checks, each.Violations)
	}
	line("\nTime to answer of requests that were served and not held back\n")
	line("phase\trequest\tanswers\tp50\tp99\tmax")
	for _, each := range r.Latencies {
		line("%s\t%s\t%d\t%v\t%v\t%v", each.Phase, each.Kind, each.Answers, each.P50, each.P99, each.Max)
	}
	if r.Broken() {
		line("\nViolations, the first of each promise\n")
	}
	for _, each := range r.Promises {
		for _, found := range each.Found {
			line("%s: %s", each.Promise, found)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(out, page.String())
	return err
}
