package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Tally counts the checks and violations of a guarantee.
type Tally struct {
	Guarantee          string
	Checks, Violations int
	// Found describes the first violations.
	Found []string
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Length     time.Duration
	Schedule   []string
	Guarantees []Tally
	Latencies  []Latency
}

// HasViolations reports whether any guarantee was violated.
func (r *Report) HasViolations() bool {
	return slices.ContainsFunc(r.Guarantees, func(t Tally) bool { return t.Violations > 0 })
}

// Write writes the report as plain text.
func (r *Report) Write(out io.Writer) error {
	text := &strings.Builder{}
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	line("Seed %d, disturbances for %v", r.Seed, r.Length)
	line("\nSchedule\n")
	for _, each := range r.Schedule {
		line("%s", each)
	}
	line("\nGuarantees\n")
	line("guarantee\tchecks\tviolations")
	for _, each := range r.Guarantees {
		line("%s\t%d\t%d", each.Guarantee, each.Checks, each.Violations)
	}
	line("\nLatency of successful requests that did not ask to wait\n")
	line("phase\trequest\tresponses\tp50\tp99\tmax")
	for _, each := range r.Latencies {
		line("%s\t%s\t%d\t%v\t%v\t%v", each.Phase, each.Kind, each.Answers, each.P50, each.P99, each.Max)
	}
	if r.HasViolations() {
		line("\nFirst violations of each guarantee\n")
	}
	for _, each := range r.Guarantees {
		for _, found := range each.Found {
			line("%s: %s", each.Guarantee, found)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(out, text.String())
	return err
}
