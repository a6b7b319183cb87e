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

var update = flag.Bool("update", false, "write docs/FAULTS.md anew")

const page = "../../../docs/FAULTS.md"

// rule is what is known about some cells of the matrix.
type rule struct {
	steps  []string
	faults []string
	// tests prove the cells, as "area/package.TestName" below internal/; empty if the cells cannot occur.
	tests []string
	// because says why the cells cannot occur.
	because string
}

// cell is the outcome of all rules for one step and fault.
type cell struct {
	tests   []string
	because []string
}

// The matrix must name only tests that exist, must not both prove a cell and call it impossible, and the page must
// show it as it is: a cell that nobody proved is open, and is listed.
func TestMatrix(t *testing.T) {
	known := testNames(t)
	cells := fill(t, known)
	have := render(cells)
	if *update {
		if err := os.WriteFile(page, []byte(have), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), have); diff != "" {
		t.Errorf("docs/FAULTS.md is not what the matrix says; run with -update (-page +matrix):\n%s", diff)
	}
}

// testNames lists all tests below internal/.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	pattern := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
	files, err := filepath.Glob("../../*/*/*_test.go")
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		area := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(file)), "../../")
		for _, match := range pattern.FindAllStringSubmatch(string(content), -1) {
			known[area+"."+match[1]] = true
		}
	}
	return known
}

func fill(t *testing.T, known map[string]bool) map[string]*cell {
	t.Helper()
	cells := map[string]*cell{}
	for _, r := range rules {
		for _, test := range r.tests {
			if !known[test] {
				t.Errorf("no test %s", test)
			}
		}
		for _, step := range r.steps {
			if !slices.Contains(steps, step) {
				t.Errorf("no step %q", step)
			}
			for _, fault := range r.faults {
				if !slices.Contains(faults, fault) {
					t.Errorf("no fault %q", fault)
				}
				add(cells, step, fault, r)
			}
		}
	}
	for name, c := range cells {
		if len(c.tests) > 0 && len(c.because) > 0 {
			t.Errorf("%s is proved by %v and said to be impossible: %v", name, c.tests, c.because)
		}
	}
	return cells
}

func key(step, fault string) string { return step + " × " + fault }

func add(cells map[string]*cell, step, fault string, r rule) {
	c, ok := cells[key(step, fault)]
	if !ok {
		c = &cell{}
		cells[key(step, fault)] = c
	}
	for _, test := range r.tests {
		if !slices.Contains(c.tests, test) {
			c.tests = append(c.tests, test)
		}
	}
	if r.because != "" && !slices.Contains(c.because, r.because) {
		c.because = append(c.because, r.because)
	}
}

func render(cells map[string]*cell) string {
	var out strings.Builder
	out.WriteString(head)
	proofs, reasons := newNumbers("T"), newNumbers("N")
	proved, impossible := 0, 0
	open := []string{}
	fmt.Fprintf(&out, "| step | %s |\n|---|%s\n", strings.Join(faults, " | "), strings.Repeat("---|", len(faults)))
	for _, step := range steps {
		fmt.Fprintf(&out, "| %s |", step)
		for _, fault := range faults {
			c := cells[key(step, fault)]
			switch {
			case c != nil && len(c.tests) > 0:
				proved++
				fmt.Fprintf(&out, " %s |", proofs.of(c.tests))
			case c != nil && len(c.because) > 0:
				impossible++
				fmt.Fprintf(&out, " %s |", reasons.of(c.because))
			default:
				open = append(open, key(step, fault))
				out.WriteString(" open |")
			}
		}
		out.WriteString("\n")
	}
	fmt.Fprintf(&out, "\n%d cells: %d proved, %d cannot occur, %d open.\n", len(steps)*len(faults), proved, impossible, len(open))
	proofs.list(&out, "Tests")
	reasons.list(&out, "Cannot occur")
	out.WriteString("\n## Open\n\n")
	if len(open) == 0 {
		out.WriteString("No cell is open.\n")
	}
	for _, name := range open {
		fmt.Fprintf(&out, "- %s\n", name)
	}
	return out.String()
}

// numbers gives each text a short name in the order of its first use.
type numbers struct {
	prefix string
	texts  []string
}

func newNumbers(prefix string) *numbers { return &numbers{prefix: prefix} }

func (n *numbers) of(texts []string) string {
	names := make([]string, 0, len(texts))
	for _, text := range texts {
		index := slices.Index(n.texts, text)
		if index < 0 {
			n.texts = append(n.texts, text)
			index = len(n.texts) - 1
		}
		names = append(names, fmt.Sprintf("%s%d", n.prefix, index+1))
	}
	return strings.Join(names, " ")
}

func (n *numbers) list(out *strings.Builder, title string) {
	fmt.Fprintf(out, "\n## %s\n\n| | |\n|---|---|\n", title)
	for i, text := range n.texts {
		fmt.Fprintf(out, "| %s%d | %s |\n", n.prefix, i+1, text)
	}
}
