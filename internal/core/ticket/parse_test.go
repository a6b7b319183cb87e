package ticket

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden compares with a file under testdata.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}

var hashA = KeyHash("key-a")

// broken are tickets that are refused; the golden file shows what an operator reads.
var broken = []struct{ name, text string }{
	{"no JSON", `{"organisations":`},
	{"not an object", `[1]`},
	{"two objects", `{} {}`},
	{"nothing", `{}`},
	{"unknown field", `{"organisations":[{"name":"a","wieght":2}]}`},
	{"field in other case", `{"organisations":[{"Name":"a"}]}`},
	{"doubled field", `{"pools":[{"name":"a","kind":"service","kind":"model"}]}`},
	{"ill-typed", `{"organisations":[{"name":7,"weight":"2","burst":1.5,"removed":"yes","keyHashes":"x"}]}`},
	{"list for object", `{"pools":{}}`},
	{"null", `{"organisations":null}`},
	{"duration", `{"pools":[{"name":"a","kind":"service","startupTime":"soon"}]}`},
	{"duration as number", `{"pools":[{"name":"a","kind":"service","startupTime":90}]}`},
	{"negative weight", `{"organisations":[{"name":"a","weight":-1}]}`},
	{"burst without rate", `{"organisations":[{"name":"a","burst":3}]}`},
	{"key itself", `{"organisations":[{"name":"a","keyHashes":["my-secret-key"]}]}`},
	{"removed with fields", `{"organisations":[{"name":"a","removed":true,"weight":1}]}`},
	{"bad name", `{"organisations":[{"name":"a/b"}]}`},
	{"same name", `{"organisations":[{"name":"a"},{"name":"a"}]}`},
	{"min over max", `{"pools":[{"name":"a","kind":"service","minServers":3,"maxServers":2}]}`},
	{"model pool without model", `{"pools":[{"name":"a","kind":"model"}]}`},
	{"service pool with model", `{"pools":[{"name":"a","kind":"service","model":"m"}]}`},
	{"unknown kind", `{"pools":[{"name":"a","kind":"engine"}]}`},
	{"relative path", `{"pools":[{"name":"a","kind":"service","idempotentPaths":["check"]}]}`},
	{"empty batch", `{"trainerJobs":[{"name":"a","organisation":"b","model":"m","batchSize":0,"stalenessBound":-1}]}`},
	{"version", `{"modelVersions":[{"model":"m","version":0}]}`},
	{"deep", strings.Repeat(`{"pools":[`, 12)},
}

func TestParseRefuses(t *testing.T) {
	var lines strings.Builder
	for _, test := range broken {
		_, err := Parse([]byte(test.text))
		if err == nil {
			t.Errorf("%s: accepted", test.name)
			continue
		}
		lines.WriteString(test.name + ": " + err.Error() + "\n")
	}
	if strings.Contains(lines.String(), "my-secret-key") {
		t.Error("a message holds a key")
	}
	golden(t, "refused.txt", lines.String())
}

const whole = `{
	"organisations": [{"name":"sahil","weight":3,"requestsPerSecond":20,"burst":5,"keyHashes":["KEY"]}],
	"pools": [
		{"name":"draftmodel","kind":"model","model":"fees","maxServers":4,"minServers":1,"startupTime":"90s"},
		{"name":"marks","kind":"scoring"},
		{"name":"billdesk","kind":"service","idempotentPaths":["/check"]}],
	"trainerJobs": [{"name":"fees","organisation":"sahil","model":"fees","scoringPool":"marks","batchSize":8,"stalenessBound":2}],
	"modelVersions": [{"model":"fees","version":1}]
}`

func wholeTicket(t *testing.T) Ticket {
	t.Helper()
	parsed, err := Parse([]byte(strings.ReplaceAll(whole, "KEY", hashA)))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestParseAccepts(t *testing.T) {
	parsed := wholeTicket(t)
	if got := time.Duration(parsed.Pools[0].StartupTime); got != 90*time.Second {
		t.Errorf("startupTime %v", got)
	}
	if parsed.Organisations[0].KeyHashes[0] != hashA {
		t.Error("key hash was changed")
	}
}

func TestDigest(t *testing.T) {
	tests := []struct {
		name string
		a, b string
		same bool
	}{
		{"field order and spaces", `{"organisations":[{"name":"a","weight":2}]}`, `{ "organisations":[{"weight":2.0,"name":"a"}] }`, true},
		{"entry order", `{"organisations":[{"name":"a"},{"name":"b"}]}`, `{"organisations":[{"name":"b"},{"name":"a"}]}`, true},
		{"duration", `{"pools":[{"name":"a","kind":"service","startupTime":"90s"}]}`, `{"pools":[{"name":"a","kind":"service","startupTime":"1m30s"}]}`, true},
		{"other weight", `{"organisations":[{"name":"a","weight":2}]}`, `{"organisations":[{"name":"a","weight":3}]}`, false},
		{"other kind of entry", `{"organisations":[{"name":"a","removed":true}]}`, `{"pools":[{"name":"a","removed":true}]}`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if same := digest(t, test.a) == digest(t, test.b); same != test.same {
				t.Errorf("same digest %v, want %v", same, test.same)
			}
		})
	}
}

func digest(t *testing.T, text string) string {
	t.Helper()
	parsed, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	sum, err := Digest(parsed)
	if err != nil {
		t.Fatal(err)
	}
	return sum
}

// FuzzParse: whatever is read either is refused, or survives being written and read again.
func FuzzParse(f *testing.F) {
	for _, test := range broken {
		f.Add([]byte(test.text))
	}
	f.Add([]byte(strings.ReplaceAll(whole, "KEY", hashA)))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := Parse(data)
		if err != nil {
			return
		}
		written, err := json.Marshal(parsed)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(written)
		if err != nil {
			t.Fatalf("%s: %v", written, err)
		}
		before, _ := Digest(parsed)
		after, _ := Digest(again)
		if before != after {
			t.Errorf("digest %s then %s", before, after)
		}
		if change, err := Empty().Apply(parsed); err == nil && change.Head.LastTicket != 1 {
			t.Errorf("last ticket %d", change.Head.LastTicket)
		}
	})
}
