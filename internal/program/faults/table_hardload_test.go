package faults

import (
	"fmt"
	"strings"
	"testing"
)

// failure is a failure that docs/design/hard-load.md describes, with the tests that cause it. It isn't bound to a step of a request.
type failure struct {
	part, failure string
	tests         []string
}

// hardLoadFailures are the failures of the parts of docs/design/hard-load.md.
var hardLoadFailures = []failure{
	{part: "A", failure: "an entry lags behind or knows no speeds", tests: list("core/pace.TestSummaries")},
	{part: "A", failure: "a server restarts under its id", tests: list("core/pace.TestRestartedServerIsUnknown")},
	{part: "A", failure: "a speed was learned in a slow period", tests: list("core/pace.TestSlowSpellIsForgotten", "core/pace.TestUnusedServers")},
	{part: "A", failure: "a server reports a false slowdown", tests: list("core/pace.TestPresent", "program/soak.TestSoak")},
	{part: "B", failure: "the destination of a move dies, refuses or fails the item", tests: list("edge/batchjob.TestItemMovesToAFasterServer")},
	{part: "B", failure: "the destination has another weight version", tests: list("edge/batchjob.TestItemOfSingleVersionStays")},
	{part: "B", failure: "the answer of the destination is lost", tests: list("edge/batchjob.TestItemMovesToAFasterServer")},
	{part: "B", failure: "source and destination both run the item", tests: list("edge/batchjob.TestItemMovesToAFasterServer")},
	{part: "B", failure: "two jobs take the same free slot", tests: list("edge/batchjob.TestTwoJobsAndOneFreeSlot")},
	{part: "B", failure: "the item ends during its move", tests: list("edge/batchjob.TestMoveThatIsNotCarriedOutReleasesItsSlot")},
	{part: "C", failure: "the store is lost before or after a write took effect", tests: list(
		"edge/batchjob.TestJobBegunWithoutTheStoreIsAcceptedWithItsOutput", "program/soak.TestSoak")},
	{part: "C", failure: "the store doesn't answer", tests: list("edge/batchjob.TestSubmissionDoesNotWaitForAnUnresponsiveStore", "program/soak.TestSoak")},
	{part: "C", failure: "the entry that runs the job is killed, or two entries begin it", tests: list(
		"edge/batchjob.TestSecondEntryBeginsTheJobOfAKilledOne")},
	{part: "C", failure: "another entry stores the job", tests: list("edge/batchjob.TestUnacceptedJobJoinsTheStoredOne")},
	{part: "C", failure: "the store holds other content under the id", tests: list("edge/batchjob.TestJobFoundWithOtherContentIsDropped")},
	{part: "C", failure: "the trainer disappears, the route is gone or the entry leaves", tests: list(
		"edge/batchjob.TestUnacceptedJobIsGivenUp", "core/earlystart.TestGivenUpAtTwiceTheDueTime")},
	{part: "C", failure: "the store returns with many unaccepted jobs", tests: list(
		"edge/batchjob.TestManyJobsBegunWithoutTheStore", "core/earlystart.TestCreatesAreSpreadAfterAnOutage")},
	{part: "C", failure: "the end of a job can't be stored", tests: list(
		"edge/batchjob.TestEndDuringAnOutageHoldsTheJob", "edge/batchjob.TestHeldJobIsHandedOverAsHeld")},
}

// checkFailures checks that the tests of all failures exist.
func checkFailures(t *testing.T, knownTests map[string]bool) {
	t.Helper()
	for _, f := range hardLoadFailures {
		for _, test := range f.tests {
			if !knownTests[test] {
				t.Errorf("test %s of the failure %q does not exist", test, f.failure)
			}
		}
	}
}

// writeFailures writes the table of failures.
func writeFailures(out *strings.Builder) {
	out.WriteString("\n## Hard load\n\nFailures that [hard-load.md](design/hard-load.md) describes, by part, and the tests that cause them.\n\n")
	out.WriteString("| part | failure | tests |\n|---|---|---|\n")
	for _, f := range hardLoadFailures {
		fmt.Fprintf(out, "| %s | %s | %s |\n", f.part, f.failure, strings.Join(f.tests, ", "))
	}
}
