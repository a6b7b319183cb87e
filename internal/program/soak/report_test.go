package soak

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Whoever runs the soak by hand has only its page: it must name the seed, what was done, how often each promise was checked, and
// what was broken.
func TestReportSaysWhatWasFound(t *testing.T) {
	l := newLatencies()
	for _, took := range []time.Duration{time.Millisecond, 2 * time.Millisecond, time.Minute} {
		l.record(phaseDisturbed, kindCall, took)
	}
	l.record(phaseBefore, kindRead, time.Millisecond)
	kept := newLedger()
	kept.check(promiseOnce, true, "")
	kept.check(promiseOnce, false, "call %s ran %d times", "c1", 2)
	report := Report{
		Seed: 7, Length: 2 * time.Second, Schedule: []string{"1s: kill of entry-0 for 2s, draw 0.500"},
		Promises: kept.sums(), Latencies: l.summary(),
	}
	var page strings.Builder
	if err := report.Write(&page); err != nil || !report.Broken() {
		t.Fatal(err, report.Broken())
	}
	const golden = "testdata/report.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(page.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), page.String()); diff != "" {
		t.Errorf("page (-want +have):\n%s", diff)
	}
}
