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

// compareGolden compares got with a file under testdata; the flag -update rewrites the file.
func compareGolden(t *testing.T, name, got string) {
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

// invalidTickets are tickets that Parse rejects. The golden file holds the errors that an operator reads.
var invalidTickets = []struct{ name, text string }{
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
	for _, test := range invalidTickets {
		_, err := Parse([]byte(test.text))
		if err == nil {
			t.Errorf("%s: accepted", test.name)
			continue
		}
		lines.WriteString(test.name + ": " + err.Error() + "\n")
	}
	if strings.Contains(lines.String(), "my-secret-key") {
		t.Error("an error message contains a key")
	}
	compareGolden(t, "refused.txt", lines.String())
}

const completeTicketJSON = `{
	"organisations": [{"name":"sahil","weight":3,"requestsPerSecond":20,"burst":5,"keyHashes":["KEY"]}],
	"pools": [
		{"name":"draftmodel","kind":"model","model":"fees","maxServers":4,"minServers":1,"startupTime":"90s"},
		{"name":"marks","kind":"scoring"},
		{"name":"billdesk","kind":"service","idempotentPaths":["/check"]}],
	"trainerJobs": [{"name":"fees","organisation":"sahil","model":"fees","scoringPool":"marks","batchSize":8,"stalenessBound":2}],
	"modelVersions": [{"model":"fees","version":1}]
}`

func parseCompleteTicket(t *testing.T) Ticket {
	t.Helper()
	parsed, err := Parse([]byte(strings.ReplaceAll(completeTicketJSON, "KEY", hashA)))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestParseAccepts(t *testing.T) {
	parsed := parseCompleteTicket(t)
	if got := time.Duration(parsed.Pools[0].StartupTime); got != 90*time.Second {
		t.Errorf("startupTime %v, want 90s", got)
	}
	if parsed.Organisations[0].KeyHashes[0] != hashA {
		t.Error("Parse changed the key hash")
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
			if same := parseDigest(t, test.a) == parseDigest(t, test.b); same != test.same {
				t.Errorf("same digest %v, want %v", same, test.same)
			}
		})
	}
}

func parseDigest(t *testing.T, text string) string {
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

// FuzzParse checks that Parse either rejects its input, or returns a ticket that keeps its digest when it is
// encoded and parsed again.
func FuzzParse(f *testing.F) {
	for _, test := range invalidTickets {
		f.Add([]byte(test.text))
	}
	f.Add([]byte(strings.ReplaceAll(completeTicketJSON, "KEY", hashA)))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := Parse(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(parsed)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := Parse(encoded)
		if err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		before, _ := Digest(parsed)
		after, _ := Digest(reparsed)
		if before != after {
			t.Errorf("digest %s, and %s after encoding", before, after)
		}
		if change, err := EmptyView().Apply(parsed); err == nil && change.Head.LastTicket != 1 {
			t.Errorf("last ticket %d", change.Head.LastTicket)
		}
	})
}
