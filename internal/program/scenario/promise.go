package scenario

import (
	"fmt"
	"net/http"
)

// Violations describes the guarantees that the transcript violates; it is empty if there are none.
func (t Transcript) Violations() []string {
	violations := []string{}
	check := func(violated bool, format string, args ...any) {
		if violated {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	check(t.Booking.Runs != 1, "the non-idempotent call ran %d times", t.Booking.Runs)
	check(t.Booking.First != t.Booking.Repeated, "the repeated call with the same Idempotency-Key got a different response")
	check(t.Lookup.Status != http.StatusOK, "a lookup got status %d", t.Lookup.Status)
	for _, refusal := range t.Refusals {
		check(refusal.Verdict != "notRun", "refusal of %s: verdict %q", refusal.What, refusal.Verdict)
	}
	for _, step := range t.Steps {
		check(step.Duplicates != 0, "step %d: %d samples were delivered more than once", step.Step, step.Duplicates)
		check(step.Missing != 0, "step %d: %d samples were not delivered", step.Step, step.Missing)
		check(!step.RepeatIdentical, "step %d: a batch differed when requested again", step.Step)
		check(len(step.Versions) == 0, "step %d: samples have no weight version", step.Step)
	}
	check(len(t.PlatformViolations) != 0, "the platform detected violations: %v", t.PlatformViolations)
	check(len(t.LeakedKeys) != 0, "plain services received keys of %v", t.LeakedKeys)
	return violations
}
