package settings

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against error messages that don't tell an operator how to fix a settings file: each problem must be
// reported with file, line, field and the valid values, since the message is all that the operator sees.
func TestInvalidFilesAreRejected(t *testing.T) {
	files, err := filepath.Glob("testdata/broken/*.json")
	if err != nil || len(files) < 10 {
		t.Fatalf("want at least 10 invalid files, have %d, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			_, err := Load(file, RoleEntry)
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("want ErrInvalid, have %v", err)
			}
			golden := strings.TrimSuffix(file, ".json") + ".golden"
			have := err.Error() + "\n"
			if *update {
				if err := os.WriteFile(golden, []byte(have), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), have); diff != "" {
				t.Errorf("message (-want +have):\n%s", diff)
			}
			if strings.Contains(have, "hunter2") {
				t.Error("the message contains a secret")
			}
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, test := range []struct {
		name    string
		pattern string
		role    Role
	}{
		{"entries", "../../../examples/*/entry.json", RoleEntry},
		{"agents", "../../../examples/*/agent-*.json", RoleAgent},
	} {
		t.Run(test.name, func(t *testing.T) {
			files, err := filepath.Glob(test.pattern)
			if err != nil || len(files) < 2 {
				t.Fatalf("want at least 2 examples, have %d, %v", len(files), err)
			}
			for _, file := range files {
				if _, err := Load(file, test.role); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// Guards against a gateway behind address translation that announces an address no other host can reach: it must announce
// peerAdvertise if that is set, else peerListen.
func TestPeerAddressPrefersPeerAdvertise(t *testing.T) {
	const base = `{"hostId": "a", "availabilityZone": "z", "listen": "127.0.0.1:1", "peerListen": "127.0.0.1:2", "adminListen": "127.0.0.1:3",
		"platformUrl": "http://127.0.0.1:4", "reportsUrl": "http://127.0.0.1:5"`
	for advertised, want := range map[string]string{"": "127.0.0.1:2", `, "peerAdvertise": "127.0.0.9:9"`: "127.0.0.9:9"} {
		set, err := Parse("gateway.json", []byte(base+advertised+"}"), RoleGateway)
		if err != nil || set.PeerAddress().String() != want {
			t.Errorf("%q: peer address %v, %v; want %s", advertised, set.PeerAddress(), err, want)
		}
	}
	entry, err := os.ReadFile("../../../examples/sahil/entry.json")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse("entry.json", entry, RoleEntry); err != nil {
		t.Fatal(err)
	}
	withAddress := bytes.Replace(entry, []byte("{"), []byte(`{"peerAdvertise": "127.0.0.9:9",`), 1)
	if _, err := Parse("entry.json", withAddress, RoleEntry); !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), "peerAdvertise") {
		t.Errorf("an entry accepted a field for gateways only: %v", err)
	}
}

// Guards against deployments of equal servers whose choice of a server changes without a setting.
func TestSpeedPlacementIsOffByDefault(t *testing.T) {
	const base = `{"hostId": "a", "availabilityZone": "z", "listen": "127.0.0.1:1", "peerListen": "127.0.0.1:2", "adminListen": "127.0.0.1:3",
		"platformUrl": "http://127.0.0.1:4", "reportsUrl": "http://127.0.0.1:5"`
	for added, want := range map[string]string{"": SpeedPlacementOff, `, "speedPlacement": "auto"`: SpeedPlacementAuto} {
		if set, err := Parse("gateway.json", []byte(base+added+"}"), RoleGateway); err != nil || set.SpeedPlacement != want {
			t.Errorf("%q: %q, %v", added, set.SpeedPlacement, err)
		}
	}
}

// Guards against a gateway that runs jobs without the store although nobody asked for it, and against a misspelt value that is taken for one
// or the other without a message.
func TestEarlyGenerationIsOffUnlessTurnedOn(t *testing.T) {
	const base = `{"hostId": "a", "availabilityZone": "z", "listen": "127.0.0.1:1", "peerListen": "127.0.0.1:2", "adminListen": "127.0.0.1:3",
		"platformUrl": "http://127.0.0.1:4", "reportsUrl": "http://127.0.0.1:5"`
	for value, want := range map[string]bool{"": false, `, "earlyGeneration": "off"`: false, `, "earlyGeneration": "on"`: true} {
		set, err := Parse("gateway.json", []byte(base+value+"}"), RoleGateway)
		if err != nil || set.EarlyGeneration != want {
			t.Errorf("%q: %v, %v", value, set.EarlyGeneration, err)
		}
	}
	for _, role := range []Role{RoleGateway, RoleEntry} {
		_, err := Parse("gateway.json", []byte(base+`, "earlyGeneration": true}`), role)
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), `earlyGeneration: want "on" or "off"`) {
			t.Errorf("role %s: %v", role, err)
		}
	}
	if _, err := Parse("entry.json", []byte(base+`, "earlyGeneration": "on"}`), RoleEntry); !strings.Contains(err.Error(), "earlyGeneration: not used by the role") {
		t.Errorf("an entry accepted a field for gateways only: %v", err)
	}
}

// For any file content, Parse must not panic, an error must name the file, and settings without an error must
// have every field that the role requires.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/broken/*.json")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range append(files, "../../../examples/sahil/entry.json") {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := Parse("fuzz.json", data, RoleEntry)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "fuzz.json") {
				t.Errorf("the error doesn't name the file: %v", err)
			}
			return
		}
		if set.HostID == "" || !set.Listen.IsValid() || !set.PeerListen.IsValid() || set.PeerSecret == "" {
			t.Errorf("accepted without the fields that an entry requires: %q", data)
		}
	})
}
