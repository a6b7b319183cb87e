package soak

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew")

// A seed that found a fault is kept to find it again. It would play other disturbances, and find nothing, if a change of the draw or a new
// kind of disturbance changed its schedule.
func TestKeptPlansKeepTheirSchedules(t *testing.T) {
	for _, p := range keptPlans {
		var lines strings.Builder
		for _, e := range newSchedule(p) {
			lines.WriteString(e.String() + "\n")
		}
		golden := fmt.Sprintf("testdata/kept-%d.golden", p.Seed)
		if *update {
			if err := os.WriteFile(golden, []byte(lines.String()), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(want), lines.String()); diff != "" {
			t.Errorf("schedule of seed %d (-want +have):\n%s", p.Seed, diff)
		}
	}
}
