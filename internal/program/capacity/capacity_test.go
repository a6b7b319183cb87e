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

type customSize int

// doubleExperiment is an experiment with its own size type. Its metrics are proportional to the size.
type doubleExperiment struct{ name string }

func (d doubleExperiment) Description() Description {
	return Description{Name: d.name, SizeUnit: "colour", Notes: "Twice the size."}
}
func (d doubleExperiment) Sizes() []customSize { return []customSize{1, 2, 3, 1000} }

func (d doubleExperiment) Measure(_ context.Context, size customSize) ([]Metric, error) {
	return []Metric{{Name: "twice", Unit: "B", Value: float64(2 * size)}, {Name: "small", Unit: "µs", Value: float64(size) / 3e4}}, nil
}

func TestTableAndPlot(t *testing.T) {
	tables := []Table{}
	for _, name := range []string{"second", "first"} {
		table, err := Measure(context.Background(), doubleExperiment{name: name})
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
		t.Errorf("the plot is not valid XML: %v", err)
	}
}

// TestMeasureSmallSizes runs the experiments that observe nothing over time, at a small size.
func TestMeasureSmallSizes(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name    string
		measure func() ([]Metric, error)
	}{
		{name: "keys", measure: func() ([]Metric, error) { return keyExperiment{}.Measure(ctx, 10) }},
		{name: "organisations", measure: func() ([]Metric, error) { return organisationExperiment{}.Measure(ctx, 8) }},
		{name: "placement", measure: func() ([]Metric, error) { return placementExperiment{}.Measure(ctx, 10) }},
		{name: "samples", measure: func() ([]Metric, error) { return sampleExperiment{}.Measure(ctx, 16) }},
		{name: "usage counts", measure: func() ([]Metric, error) { return usageCellExperiment{}.Measure(ctx, 8) }},
		{name: "closings", measure: func() ([]Metric, error) { return closingExperiment{}.Measure(ctx, 8) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			metrics, err := c.measure()
			if err != nil || len(metrics) == 0 {
				t.Errorf("Measure() = %v, %v, want metrics and no error", metrics, err)
			}
		})
	}
}
