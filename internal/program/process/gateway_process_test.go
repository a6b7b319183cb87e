package process

import (
	"encoding/json"
	"flag"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/oleandershelf/oleandershelf/internal/program/binary"
)

var programPath = flag.String("program", "", "gateway program that the tests with processes run; the default is built from the source")

// startProcess starts a gateway as a process of its own, with more fields of its settings file, and waits until it serves.
func (d *deployment) startProcess(fields map[string]any) (*binary.Process, *testGateway) {
	t, program := d.t, *programPath
	t.Helper()
	if program == "" {
		built, err := binary.Path()
		if err != nil {
			t.Fatal(err)
		}
		program = built
	}
	set := d.settings("entry-0", d.store.NewEndpoint(t))
	all := map[string]any{
		"hostId": set.HostID, "availabilityZone": set.AvailabilityZone, "listen": set.Listen, "peerListen": set.PeerListen,
		"adminListen": set.AdminListen, "platformUrl": set.PlatformURL, "reportsUrl": set.ReportsURL, "peerSecret": set.PeerSecret,
		"usageWindow": set.UsageWindow.String(), "leaveDelay": set.LeaveDelay.String(), "drainTime": set.DrainTime.String(),
	}
	maps.Copy(all, fields)
	encoded, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "entry-0.json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(path + ".log")
	if err != nil {
		t.Fatal(err)
	}
	process := binary.NewProcess(program, path, log)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.Kill()
		_ = log.Close()
		if t.Failed() {
			// The system's temporary folder outlives the test.
			kept := filepath.Join(os.TempDir(), "gateway-"+strings.ReplaceAll(t.Name(), "/", "-")+".log")
			t.Logf("log of the gateway: %s (%v)", kept, os.Rename(log.Name(), kept))
		}
	})
	entry := &testGateway{set: set, url: "http://" + set.Listen.String(), closed: true}
	d.eventually("the gateway process serves", func() bool {
		got, err := d.tryCall(entry, http.MethodPost, "/safe/x", keyNorth, "first", "")
		return err == nil && got.status == http.StatusOK
	})
	return process, entry
}
