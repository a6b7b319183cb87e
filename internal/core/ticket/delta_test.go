package ticket

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestDelta: a follower that takes deltas has the same head as one that takes whole heads.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := Head{}.clone()
		followed := head
		for range rapid.IntRange(1, 5).Draw(t, "rounds") {
			next := head.clone()
			for range rapid.IntRange(0, 70).Draw(t, "tickets") {
				next.record(fmt.Sprint("digest of ", next.LastTicket))
			}
			name := fmt.Sprintf("pool/%d", rapid.IntRange(0, 2).Draw(t, "pool"))
			if rapid.Bool().Draw(t, "remove") {
				delete(next.Parts, name)
			} else {
				next.Parts[name] = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "content"))
			}
			next.ModelVersions["fees"] = ModelVersion{Model: "fees", Version: rapid.IntRange(1, 3).Draw(t, "version")}
			followed = followed.Patch(head.DeltaTo(next))
			head = next
			if diff := cmp.Diff(head, followed); diff != "" {
				t.Fatalf("head (-whole +followed):\n%s", diff)
			}
		}
	})
}
