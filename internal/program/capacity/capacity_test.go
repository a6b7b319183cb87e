package capacity

import (
	"context"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestFit(t *testing.T) {
	cases := []struct {
		name string
		xs   []float64
		ys   []float64
		want Line
	}{
		{name: "nothing"},
		{name: "one size", xs: []float64{4}, ys: []float64{7}, want: Line{Intercept: 7}},
		{name: "exact", xs: []float64{1, 2, 4}, ys: []float64{5, 7, 11}, want: Line{Slope: 2, Intercept: 3}},
		{name: "between", xs: []float64{0, 0, 2, 2}, ys: []float64{1, 3, 5, 7}, want: Line{Slope: 2, Intercept: 2, Residual: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, Fit(c.xs, c.ys)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

type colour int

// doubled is a slope with a size type of its own.
type doubled struct{ name string }

func (d doubled) About() About    { return About{Name: d.name, Axis: "colour", Notes: "Twice the size."} }
func (d doubled) Sizes() []colour { return []colour{1, 2, 3, 1000} }

func (d doubled) Measure(_ context.Context, size colour) ([]Figure, error) {
	return []Figure{{Name: "twice", Unit: "B", Value: float64(2 * size)}, {Name: "small", Unit: "µs", Value: float64(size) / 3e4}}, nil
}

func TestTableAndPlot(t *testing.T) {
	tables := []Table{}
	for _, name := range []string{"second", "first"} {
		table, err := Measure(context.Background(), doubled{name: name})
		if err != nil {
			t.Fatal(err)
		}
		tables = append(tables, table)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "slopes.md"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), Markdown(tables)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	directory := t.TempDir()
	if err := plotTable(directory, tables[0]); err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(filepath.Join(directory, "second.svg"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	decoder := xml.NewDecoder(file)
	for err == nil {
		_, err = decoder.Token()
	}
	if !errors.Is(err, io.EOF) {
		t.Errorf("the plot is no XML: %v", err)
	}
}

// TestSmallSizesMeasure measures the parts that need no time of observation at a small size.
func TestSmallSizesMeasure(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name    string
		measure func() ([]Figure, error)
	}{
		{name: "keys", measure: func() ([]Figure, error) { return keys{}.Measure(ctx, 10) }},
		{name: "organisations", measure: func() ([]Figure, error) { return organisations{}.Measure(ctx, 8) }},
		{name: "placement", measure: func() ([]Figure, error) { return placements{}.Measure(ctx, 10) }},
		{name: "samples", measure: func() ([]Figure, error) { return samples{}.Measure(ctx, 16) }},
		{name: "usage counts", measure: func() ([]Figure, error) { return usageCells{}.Measure(ctx, 8) }},
		{name: "closings", measure: func() ([]Figure, error) { return closings{}.Measure(ctx, 8) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			figures, err := c.measure()
			if err != nil || len(figures) == 0 {
				t.Errorf("%v, %v", figures, err)
			}
		})
	}
}
