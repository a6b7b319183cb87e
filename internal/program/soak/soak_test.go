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
	seeds     = flag.Int("soak.seeds", 2, "how many seeds")
	length    = flag.Duration("soak.for", 8*time.Second, "how long a seed's disturbances last")
)

// The disturbances that there were when a kept seed failed: before links were disturbed, and since.
var (
	kindsBeforeLinks = []trouble{
		troubleKill, troublePause, troubleTerminate, troubleHangUp, troubleTurnAway, troubleSilence, troubleOutage, troubleLose,
		troubleCompact, troubleServer, troubleDrain, troubleKey, troubleVersion,
	}
	kindsWithLinks = []trouble{
		troubleKill, troublePause, troubleTerminate, troubleHangUp, troubleTurnAway, troubleSilence, troubleOutage, troubleLose,
		troubleCompact, troubleLinkDelay, troubleLinkReset, troubleLinkOneWay, troubleLinkSilence, troubleServer, troubleDrain, troubleKey,
		troubleVersion,
	}
)

// keptPlans failed once and are played for ever.
var keptPlans = []Plan{
	// The only entry that ran a job lost the answer to the write of its first page, and showed an empty list from memory at a position
	// that another entry had read in the store and shown.
	{Seed: 342, Length: 10 * time.Second, kinds: kindsBeforeLinks},
	// An entry asked a job's home to run it, lost the answer, and ran it as well: it took itself for the only one, and showed an empty
	// list at positions that the home had listed and shown.
	{Seed: 420, Length: 10 * time.Second, kinds: kindsWithLinks},
	// As 342, where links are reset while answers of the store are lost.
	{Seed: 421, Length: 10 * time.Second, kinds: kindsWithLinks},
}

func TestSoak(t *testing.T) {
	for _, p := range keptPlans {
		t.Run(fmt.Sprintf("kept-%d", p.Seed), func(t *testing.T) {
			t.Parallel()
			play(t, p)
		})
	}
	for i := range *seeds {
		p := Plan{Seed: *firstSeed + uint64(i), Length: *length}
		t.Run(fmt.Sprintf("seed-%d", p.Seed), func(t *testing.T) {
			t.Parallel()
			play(t, p)
		})
	}
}

// play plays a plan, has a subtest for each promise, and keeps the logs of the processes if one fails.
func play(t *testing.T, p Plan) {
	program, err := binary.Path()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	report, err := Run(t.Context(), Options{Plan: p, Program: program, Folder: folder, Tell: func(line string) { t.Log(line) }})
	if err != nil {
		t.Fatal(err)
	}
	for _, each := range report.Promises {
		t.Run(each.Promise, func(t *testing.T) {
			t.Logf("checked: %6d times %s, %d violations", each.Checks, each.Promise, each.Violations)
			for _, found := range each.Found {
				t.Error(found)
			}
		})
	}
	if t.Failed() {
		keepLogs(t, folder, report)
	}
}

// keepLogs copies the logs of a failed run, and its page, to where they outlive the test.
func keepLogs(t *testing.T, folder string, report *Report) {
	kept := filepath.Join(os.TempDir(), "soak-"+filepath.Base(t.Name())+"-")
	var page strings.Builder
	if err := report.Write(&page); err != nil {
		t.Error(err)
	}
	t.Logf("page: %spage.txt (%v)", kept, os.WriteFile(kept+"page.txt", []byte(page.String()), 0o600))
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
		t.Logf("log: %s (%v)", kept+filepath.Base(log), os.WriteFile(kept+filepath.Base(log), content, 0o600))
	}
}
