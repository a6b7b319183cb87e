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

var update = flag.Bool("update", false, "rewrite the golden files")

const scenarioTimeout = 4 * time.Minute

// Runs the whole scenario, from the first ticket to the usage report, against separate processes with mutual TLS between
// them. The transcript must match the golden file, and all hosts must then shut down gracefully.
func TestScenarioAsSeparateProcesses(t *testing.T) {
	t.Parallel()
	deployment := scenario.Sahil()
	c := newCluster(t, deployment, overTLS(t))
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	transcript, err := scenario.NewRunner(deployment, c.topology.Targets(), t.Logf).Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if violations := transcript.Violations(); len(violations) > 0 {
		t.Errorf("violated guarantees: %v", violations)
	}
	compareGolden(t, "testdata/path.golden.json", transcript)
	c.checkAdminOutput(deployment)
	for _, host := range c.topology.Entries {
		c.signal(host.HostID, syscall.SIGTERM)
	}
	for _, agent := range c.topology.Agents {
		c.signal(agent.Settings.HostID, syscall.SIGTERM)
	}
	for _, host := range c.topology.Entries {
		if code := c.waitExit(host.HostID); code != 0 {
			t.Errorf("%s exited with code %d", host.HostID, code)
		}
	}
	for _, agent := range c.topology.Agents {
		if code := c.waitExit(agent.Settings.HostID); code != 0 {
			t.Errorf("%s exited with code %d", agent.Settings.HostID, code)
		}
	}
}

// checkAdminOutput checks that every host serves its state dump and metrics, and that neither these nor its log contain
// organisation keys or the peer secret.
func (c *cluster) checkAdminOutput(d scenario.Deployment) {
	c.t.Helper()
	hosts := slices.Clone(c.topology.Entries)
	for _, agent := range c.topology.Agents {
		hosts = append(hosts, agent.Settings)
	}
	for _, host := range hosts {
		output := c.processes[host.HostID].log.String()
		for path, want := range map[string]string{"/debug/state": `"configuration"`, "/metrics": "oleandershelf_configuration_ticket 3"} {
			response, err := http.Get("http://" + host.AdminListen.String() + path)
			if err != nil {
				c.t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(body), want) {
				c.t.Errorf("%s%s: status %d, %v, without %q:\n%.2000s", host.HostID, path, response.StatusCode, err, want, body)
			}
			output += string(body)
		}
		for _, secret := range []string{d.Key(d.Caller), d.Key(d.Trainer), d.Key(d.Withdrawn), host.PeerSecret} {
			if strings.Contains(output, secret) {
				c.t.Errorf("%s exposes %q", host.HostID, secret)
			}
		}
	}
}

// compareGolden compares value as JSON with the golden file, which -update rewrites first.
func compareGolden(t *testing.T, path string, value any) {
	t.Helper()
	got, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	got = append(got, '\n')
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}
