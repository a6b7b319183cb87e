package faults

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "regenerate docs/FAULTS.md")

const pagePath = "../../../docs/FAULTS.md"

// rule covers every combination of its steps and faults, either with tests or with the reason why they cannot occur.
type rule struct {
	steps  []string
	faults []string
	// tests cover the cells, as "area/package.TestName" relative to internal/; empty if the cells cannot occur.
	tests []string
	// reason is why the cells cannot occur.
	reason string
}

// cell combines all rules for one step and fault.
type cell struct {
	tests   []string
	reasons []string
}

// The matrix must name only tests that exist, must not give a cell both tests and a reason why it cannot occur, and must
// match docs/FAULTS.md, which lists every cell without a rule as open.
func TestMatrix(t *testing.T) {
	knownTests := testNames(t)
	cells := buildCells(t, knownTests)
	checkFailures(t, knownTests)
	got := render(cells)
	if *update {
		if err := os.WriteFile(pagePath, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("docs/FAULTS.md differs from the matrix; run with -update (-page +matrix):\n%s", diff)
	}
}

// testNames returns all test and fuzz functions of the packages two levels below internal/.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	pattern := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
	files, err := filepath.Glob("../../*/*/*_test.go")
	if err != nil {
		t.Fatal(err)
	}
	knownTests := map[string]bool{}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		folder := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(file)), "../../")
		for _, match := range pattern.FindAllStringSubmatch(string(content), -1) {
			knownTests[folder+"."+match[1]] = true
		}
	}
	return knownTests
}

func buildCells(t *testing.T, knownTests map[string]bool) map[string]*cell {
	t.Helper()
	cells := map[string]*cell{}
	for _, r := range rules {
		for _, test := range r.tests {
			if !knownTests[test] {
				t.Errorf("test %s does not exist", test)
			}
		}
		for _, step := range r.steps {
			if !slices.Contains(steps, step) {
				t.Errorf("step %q does not exist", step)
			}
			for _, fault := range r.faults {
				if !slices.Contains(faults, fault) {
					t.Errorf("fault %q does not exist", fault)
				}
				addRule(cells, step, fault, r)
			}
		}
	}
	for name, c := range cells {
		if len(c.tests) > 0 && len(c.reasons) > 0 {
			t.Errorf("%s is covered by %v but also marked as impossible: %v", name, c.tests, c.reasons)
		}
	}
	return cells
}

func cellName(step, fault string) string { return step + " × " + fault }

func addRule(cells map[string]*cell, step, fault string, r rule) {
	c, ok := cells[cellName(step, fault)]
	if !ok {
		c = &cell{}
		cells[cellName(step, fault)] = c
	}
	for _, test := range r.tests {
		if !slices.Contains(c.tests, test) {
			c.tests = append(c.tests, test)
		}
	}
	if r.reason != "" && !slices.Contains(c.reasons, r.reason) {
		c.reasons = append(c.reasons, r.reason)
	}
}

func render(cells map[string]*cell) string {
	var out strings.Builder
	out.WriteString(pageHeader)
	testLabels, reasonLabels := newLabels("T"), newLabels("N")
	covered, impossible := 0, 0
	open := []string{}
	fmt.Fprintf(&out, "| step | %s |\n|---|%s\n", strings.Join(faults, " | "), strings.Repeat("---|", len(faults)))
	for _, step := range steps {
		fmt.Fprintf(&out, "| %s |", step)
		for _, fault := range faults {
			c := cells[cellName(step, fault)]
			switch {
			case c != nil && len(c.tests) > 0:
				covered++
				fmt.Fprintf(&out, " %s |", testLabels.labelsFor(c.tests))
			case c != nil && len(c.reasons) > 0:
				impossible++
				fmt.Fprintf(&out, " %s |", reasonLabels.labelsFor(c.reasons))
			default:
				open = append(open, cellName(step, fault))
				out.WriteString(" open |")
			}
		}
		out.WriteString("\n")
	}
	fmt.Fprintf(&out, "\n%d cells: %d covered, %d cannot occur, %d open.\n", len(steps)*len(faults), covered, impossible, len(open))
	testLabels.writeTable(&out, "Tests")
	reasonLabels.writeTable(&out, "Cannot occur")
	out.WriteString("\n## Open\n\n")
	if len(open) == 0 {
		out.WriteString("No cell is open.\n")
	}
	for _, name := range open {
		fmt.Fprintf(&out, "- %s\n", name)
	}
	writeFailures(&out)
	return out.String()
}

// labels gives each text a short label, numbered by first use.
type labels struct {
	prefix string
	texts  []string
}

func newLabels(prefix string) *labels { return &labels{prefix: prefix} }

func (l *labels) labelsFor(texts []string) string {
	names := make([]string, 0, len(texts))
	for _, text := range texts {
		index := slices.Index(l.texts, text)
		if index < 0 {
			l.texts = append(l.texts, text)
			index = len(l.texts) - 1
		}
		names = append(names, fmt.Sprintf("%s%d", l.prefix, index+1))
	}
	return strings.Join(names, " ")
}

func (l *labels) writeTable(out *strings.Builder, title string) {
	fmt.Fprintf(out, "\n## %s\n\n| | |\n|---|---|\n", title)
	for i, text := range l.texts {
		fmt.Fprintf(out, "| %s%d | %s |\n", l.prefix, i+1, text)
	}
}
