package soak

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/program/binary"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 2, "number of seeds")
	length    = flag.Duration("soak.for", 8*time.Second, "how long disturbances begin for each seed")
)

// The kinds of disturbances that existed when a seed failed: before link disturbances were added, after, and with outages at steps.
// They are frozen, since another set would change the schedule of the seed.
var (
	kindsBeforeLinks = []disturbanceKind{
		disturbanceKill, disturbancePause, disturbanceTerminate, disturbanceReload, disturbanceStoreReject, disturbanceStoreHang,
		disturbanceStoreOutage, disturbanceStoreLoseAnswers, disturbanceStoreCompact, disturbanceServerFault, disturbanceServerDrain,
		disturbanceKeyRotation, disturbanceModelVersion,
	}
	kindsWithLinks = []disturbanceKind{
		disturbanceKill, disturbancePause, disturbanceTerminate, disturbanceReload, disturbanceStoreReject, disturbanceStoreHang,
		disturbanceStoreOutage, disturbanceStoreLoseAnswers, disturbanceStoreCompact, disturbanceLinkDelay, disturbanceLinkReset,
		disturbanceLinkOneWay, disturbanceLinkBlocked, disturbanceServerFault, disturbanceServerDrain, disturbanceKeyRotation,
		disturbanceModelVersion,
	}
	kindsWithSteps = []disturbanceKind{
		disturbanceKill, disturbancePause, disturbanceTerminate, disturbanceReload, disturbanceStoreReject, disturbanceStoreHang,
		disturbanceStoreOutage, disturbanceStoreLoseAnswers, disturbanceStoreCompact, disturbanceLinkDelay, disturbanceLinkReset,
		disturbanceLinkOneWay, disturbanceLinkBlocked, disturbanceServerFault, disturbanceServerDrain, disturbanceKeyRotation,
		disturbanceModelVersion, disturbanceEvacuation, disturbanceServerCold, disturbanceStoreAtStep,
	}
)

// regressionPlans are plans that revealed a fault once. They run in every test.
var regressionPlans = []Plan{
	// The only gateway that ran a job lost the response to the write of its first page. It then answered a read from memory
	// with an empty list, although another gateway had read results at that position from the store and listed them.
	{Seed: 342, Length: 10 * time.Second, kinds: kindsBeforeLinks},
	// A gateway asked the gateway that owns a job to run it, lost the response, and ran the job too. It assumed that no other
	// gateway ran the job, and answered reads with empty lists at positions at which the owner had listed results.
	{Seed: 420, Length: 10 * time.Second, kinds: kindsWithLinks},
	// Like 342, but links are reset while responses of the store are lost.
	{Seed: 421, Length: 10 * time.Second, kinds: kindsWithLinks},
	// A gateway that was terminated refused the repeated submission of an accepted job as not run.
	{Seed: 513, Length: 10 * time.Second, kinds: kindsWithSteps},
}

// zonePlan disturbs the availability zones and the servers only. Among all kinds of disturbances, cold servers are rare, and most of them can't
// be checked because a process may not know of them.
var zonePlan = Plan{Seed: 1, Length: 8 * time.Second, kinds: []disturbanceKind{disturbanceEvacuation, disturbanceServerCold, disturbanceServerDrain}}

// stepPlan takes the store away when steps arrive, once silently and once with lost answers first, while entries die and engines fail. Among all
// kinds of disturbances such outages are rare.
var stepPlan = Plan{
	Seed: 15, Length: 8 * time.Second,
	kinds: []disturbanceKind{disturbanceStoreAtStep, disturbanceStoreAtStep, disturbanceKill, disturbanceServerFault},
}

func TestSoak(t *testing.T) {
	t.Run("steps", func(t *testing.T) {
		t.Parallel()
		runPlan(t, stepPlan)
	})
	t.Run("zones", func(t *testing.T) {
		t.Parallel()
		runPlan(t, zonePlan)
	})
	for _, p := range regressionPlans {
		t.Run(fmt.Sprintf("kept-%d", p.Seed), func(t *testing.T) {
			t.Parallel()
			runPlan(t, p)
		})
	}
	for i := range *seeds {
		p := Plan{Seed: *firstSeed + uint64(i), Length: *length}
		t.Run(fmt.Sprintf("seed-%d", p.Seed), func(t *testing.T) {
			t.Parallel()
			runPlan(t, p)
		})
	}
}

// runPlan carries out a plan with a subtest for each guarantee, and keeps the logs of the processes if one fails.
func runPlan(t *testing.T, p Plan) {
	program, err := binary.Path()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	report, err := Run(t.Context(), Options{Plan: p, Program: program, Folder: folder, OnDisturbance: func(line string) { t.Log(line) }})
	if err != nil {
		t.Fatal(err)
	}
	for _, tally := range report.Guarantees {
		t.Run(tally.Guarantee, func(t *testing.T) {
			t.Logf("checked: %6d times %s, %d violations", tally.Checks, tally.Guarantee, tally.Violations)
			for _, found := range tally.Found {
				t.Error(found)
			}
		})
	}
	if t.Failed() {
		keepLogs(t, folder, report)
	}
}

// keepLogs copies the logs and the report of a failed run to the system's temporary folder, where they outlive the test.
func keepLogs(t *testing.T, folder string, report *Report) {
	prefix := filepath.Join(os.TempDir(), "soak-"+filepath.Base(t.Name())+"-")
	var text strings.Builder
	if err := report.Write(&text); err != nil {
		t.Error(err)
	}
	t.Logf("report: %spage.txt (%v)", prefix, os.WriteFile(prefix+"page.txt", []byte(text.String()), 0o600))
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		t.Error(err)
	}
	for _, log := range logs {
		content, err := os.ReadFile(log)
		if err != nil {
			t.Error(err)
			continue
		}
		t.Logf("log: %s (%v)", prefix+filepath.Base(log), os.WriteFile(prefix+filepath.Base(log), content, 0o600))
	}
}
