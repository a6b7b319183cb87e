package agent

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

var update = flag.Bool("update", false, "write the golden files")

func TestStateDump(t *testing.T) {
	h := newHarness(t, ticket.KindService)
	if got := h.send(t.Context(), h.newRequest(pathOK)); got.err != nil {
		t.Fatal(got.err)
	}
	dump, err := json.MarshalIndent(h.agent.State(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden := filepath.Join("testdata", "state.json")
	if *update {
		if err := os.WriteFile(golden, append(dump, '\n'), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(dump)+"\n"); diff != "" {
		t.Error(diff)
	}
}
