package ticket

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestDeltasReproduceHead checks that a follower which applies deltas gets the same head as one that receives
// complete heads.
func TestDeltasReproduceHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := Head{}.clone()
		patched := head
		for range rapid.IntRange(1, 5).Draw(t, "rounds") {
			next := head.clone()
			for range rapid.IntRange(0, 70).Draw(t, "tickets") {
				next.recordTicket(fmt.Sprint("digest of ", next.LastTicket))
			}
			name := fmt.Sprintf("pool/%d", rapid.IntRange(0, 2).Draw(t, "pool"))
			if rapid.Bool().Draw(t, "remove") {
				delete(next.Parts, name)
			} else {
				next.Parts[name] = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "content"))
			}
			next.ModelVersions["fees"] = ModelVersion{Model: "fees", Version: rapid.IntRange(1, 3).Draw(t, "version")}
			patched = patched.Patch(head.DeltaTo(next))
			head = next
			if diff := cmp.Diff(head, patched); diff != "" {
				t.Fatalf("head (-complete +from deltas):\n%s", diff)
			}
		}
	})
}
