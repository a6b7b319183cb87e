package soak

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The report is all that a manual run shows: it must contain the seed, the schedule, the number of checks of each guarantee, and the
// violations.
func TestReportContainsAllFindings(t *testing.T) {
	l := newLatencies()
	for _, took := range []time.Duration{time.Millisecond, 2 * time.Millisecond, time.Minute} {
		l.record(phaseDisturbed, requestCall, took)
	}
	l.record(phaseBefore, requestRead, time.Millisecond)
	checks := newChecker()
	checks.check(guaranteeOnce, true, "")
	checks.check(guaranteeOnce, false, "call %s ran %d times", "c1", 2)
	report := Report{
		Seed: 7, Length: 2 * time.Second, Schedule: []string{"1s: kill of entry-0 for 2s, draw 0.500"},
		Guarantees: checks.summaries(), Latencies: l.summary(),
	}
	var text strings.Builder
	if err := report.Write(&text); err != nil || !report.HasViolations() {
		t.Fatal(err, report.HasViolations())
	}
	const golden = "testdata/report.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), text.String()); diff != "" {
		t.Errorf("report (-want +have):\n%s", diff)
	}
}
