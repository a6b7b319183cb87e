package e2e

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
)

var update = flag.Bool("update", false, "write the golden files anew")

const playLimit = 4 * time.Minute

// An operator, callers and a trainer use a deployment of separate processes, with mutual TLS between them, from the first ticket to the report.
// What they received must be what the golden file holds, and all processes must then end gracefully.
func TestWholePathAsSeparateProcesses(t *testing.T) {
	t.Parallel()
	deployment := scenario.Sahil()
	c := newCluster(t, deployment, overTLS(t))
	ctx, cancel := context.WithTimeout(context.Background(), playLimit)
	defer cancel()
	seen, err := scenario.NewPlayer(deployment, c.topology.Targets(), t.Logf).Play(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if broken := seen.Broken(); len(broken) > 0 {
		t.Errorf("broken promises: %v", broken)
	}
	compareGolden(t, "testdata/path.golden.json", seen)
	c.checkShownState(deployment)
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

// checkShownState asks every process for its dump and metrics, and looks for keys and the peer secret there and in the logs.
func (c *cluster) checkShownState(d scenario.Deployment) {
	c.t.Helper()
	sets := slices.Clone(c.topology.Entries)
	for _, place := range c.topology.Places {
		sets = append(sets, place.Settings)
	}
	for _, set := range sets {
		shown := c.running[set.HostID].log.String()
		for path, want := range map[string]string{"/debug/state": `"configuration"`, "/metrics": "oleandershelf_configuration_ticket 3"} {
			response, err := http.Get("http://" + set.AdminListen.String() + path)
			if err != nil {
				c.t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(body), want) {
				c.t.Errorf("%s%s: status %d, %v, without %q:\n%.2000s", set.HostID, path, response.StatusCode, err, want, body)
			}
			shown += string(body)
		}
		for _, secret := range []string{d.Key(d.Caller), d.Key(d.Trainer), d.Key(d.Leaver), set.PeerSecret} {
			if strings.Contains(shown, secret) {
				c.t.Errorf("%s shows %q", set.HostID, secret)
			}
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
