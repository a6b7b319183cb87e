package soak

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against a change of the generator, or a new kind of disturbance, that gives the seed of a regression plan another schedule. The
// plan would then no longer reproduce its fault.
func TestRegressionPlanSchedulesAreStable(t *testing.T) {
	for _, p := range regressionPlans {
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
