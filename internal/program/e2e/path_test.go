package e2e

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
)

var update = flag.Bool("update", false, "write the golden files anew")

const playLimit = 4 * time.Minute

// An operator, callers and a trainer use a deployment of separate processes from the first ticket to the report.
// What they received must be what the golden file holds, and all processes must then end gracefully.
func TestWholePathAsSeparateProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), playLimit)
	defer cancel()
	deployment := scenario.Sahil()
	c := newCluster(t, deployment)
	seen, err := scenario.NewPlayer(deployment, c.topology.Targets(), t.Logf).Play(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if broken := seen.Broken(); len(broken) > 0 {
		t.Errorf("broken promises: %v", broken)
	}
	compareGolden(t, "testdata/path.golden.json", seen)
	for _, set := range c.topology.Entries {
		c.signal(set.HostID, syscall.SIGTERM)
	}
	for _, place := range c.topology.Places {
		c.signal(place.Settings.HostID, syscall.SIGTERM)
	}
	for _, set := range c.topology.Entries {
		if code := c.ended(set.HostID); code != 0 {
			t.Errorf("%s ended with %d", set.HostID, code)
		}
	}
	for _, place := range c.topology.Places {
		if code := c.ended(place.Settings.HostID); code != 0 {
			t.Errorf("%s ended with %d", place.Settings.HostID, code)
		}
	}
}

func compareGolden(t *testing.T, path string, value any) {
	t.Helper()
	have, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	have = append(have, '\n')
	if *update {
		if err := os.WriteFile(path, have, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(have)); diff != "" {
		t.Errorf("%s (-want +have):\n%s", path, diff)
	}
}
