package scenario

import (
	"fmt"
	"net/http"
)

// Broken names the promises that the transcript breaks; it is empty if all held.
func (t Transcript) Broken() []string {
	broken := []string{}
	say := func(bad bool, format string, args ...any) {
		if bad {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	say(t.Booking.Runs != 1, "the call that may not be repeated ran %d times", t.Booking.Runs)
	say(t.Booking.First != t.Booking.Again, "a repeat under one Idempotency-Key got another answer")
	say(t.Lookup.Status != http.StatusOK, "a look-up was answered %d", t.Lookup.Status)
	for _, refusal := range t.Refusals {
		say(refusal.Verdict != "notRun", "%s: verdict %q", refusal.What, refusal.Verdict)
	}
	for _, step := range t.Steps {
		say(step.Twice != 0, "step %d: %d samples came twice", step.Step, step.Twice)
		say(step.Missing != 0, "step %d: %d samples never came", step.Step, step.Missing)
		say(!step.RepeatSame, "step %d: a batch asked for again differed", step.Step)
		say(len(step.Versions) == 0, "step %d: samples name no weight version", step.Step)
	}
	say(len(t.Platform) != 0, "the platform saw violations: %v", t.Platform)
	say(len(t.KeysSeen) != 0, "plain services saw keys of %v", t.KeysSeen)
	return broken
}
