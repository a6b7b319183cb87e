package report

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files")

// Guards against wrong figures: the submission is logged by another entry than the runs, one run is refused, one item moves,
// and one run has no end. Without the lines at level debug, runs are derived from the time that they took.
func TestReport(t *testing.T) {
	for _, name := range []string{"entries", "info"} {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			var out bytes.Buffer
			options := Options{Directory: directory, Due: 7500 * time.Millisecond}
			if err := Write(options, []string{filepath.Join("testdata", name+".log")}, &out); err != nil {
				t.Fatal(err)
			}
			for file, golden := range map[string]string{tableName: name + ".txt", "step-7-job-7.svg": name + ".svg"} {
				got, err := os.ReadFile(filepath.Join(directory, file))
				if err != nil {
					t.Fatal(err)
				}
				golden = filepath.Join("testdata", golden)
				if *update {
					if err := os.WriteFile(golden, got, 0o644); err != nil {
						t.Fatal(err)
					}
				}
				want, err := os.ReadFile(golden)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(string(want), string(got)); diff != "" {
					t.Errorf("%s: %s", golden, diff)
				}
				if file == tableName && out.String() != string(got) {
					t.Error("the printed table differs from the written one")
				}
			}
		})
	}
}

// Guards against reports of steps that weren't asked for, and against an empty report without an error.
func TestSelection(t *testing.T) {
	logs := []string{filepath.Join("testdata", "entries.log")}
	for _, test := range []struct {
		options Options
		found   bool
	}{
		{options: Options{Step: 7, HasStep: true}, found: true},
		{options: Options{Step: 8, HasStep: true}},
		{options: Options{Request: "job-7"}, found: true},
		{options: Options{Request: "other"}},
	} {
		test.options.Directory = t.TempDir()
		if err := Write(test.options, logs, &bytes.Buffer{}); (err == nil) != test.found {
			t.Errorf("%+v: %v", test.options, err)
		}
	}
}

// Guards against damaged lines that are silently left out of the figures, and against errors that don't say where.
func TestErrorsNameFileAndLine(t *testing.T) {
	const submission = `1.5 front-a-1 {"message":"batch job submitted","request":"j","step":1,"items":1}` + "\n"
	for _, test := range []struct{ name, line, want string }{
		{"damaged", `2.0 h {"item":,"message":"item completed"}`, ":2: log line"},
		{"without a time", `{"message":"item completed","request":"j"}`, `:2: "item completed" without a time`},
		{"without an item", `2.0 h {"message":"item completed","request":"j"}`, ":2: \"item completed\" without the field item"},
		{"two clocks", `{"message":"item completed","request":"j","time":"2026-12-04T00:00:00Z"}`, ":2: the time of job j"},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "a.log")
			if err := os.WriteFile(path, []byte(submission+test.line), 0o644); err != nil {
				t.Fatal(err)
			}
			err := Write(Options{Directory: t.TempDir()}, []string{path}, &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), path+test.want) {
				t.Errorf("error %v, want %s%s", err, path, test.want)
			}
		})
	}
}

// Guards against memory that grows with the longest line.
func TestLongLinesAreSkipped(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.log")
	long := strings.Repeat("x", 3*maxLineBytes) + "\n"
	if err := os.WriteFile(path, []byte(long+`1.5 h {"message":"item moved","request":"j"}`), 0o644); err != nil {
		t.Fatal(err)
	}
	used := 0
	n, err := readFile(path, func(entryLine) error { used++; return nil })
	if err != nil || n.read != 2 || n.skipped != 1 || used != 1 {
		t.Errorf("read %d, skipped %d, used %d, error %v", n.read, n.skipped, used, err)
	}
}
