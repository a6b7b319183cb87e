package capacity

import (
	"context"
	"math"

	"github.com/pkg/errors"
)

// Size is the type of the sizes at which an experiment measures.
type Size interface{ ~int }

// Description describes an experiment.
type Description struct {
	// Name is the experiment's name on the command line and in the report, and the plot's file name without extension.
	Name string
	// SizeUnit is the singular of what the sizes count, such as "connection".
	SizeUnit string
	// Notes say what the metrics include.
	Notes string
}

// Metric is one measured value.
type Metric struct {
	Name  string
	Unit  string
	Value float64
}

// Experiment measures a part at several sizes. Measure returns the same metrics in the same order at each size.
type Experiment[S Size] interface {
	Description() Description
	Sizes() []S
	Measure(ctx context.Context, size S) ([]Metric, error)
}

// Series holds the values of one metric at all sizes and the line fitted to them.
type Series struct {
	Name   string
	Unit   string
	Values []float64
	Line   Line
}

// Table holds the results of an experiment.
type Table struct {
	Description
	Sizes  []float64
	Series []Series
}

// Measure runs the experiment at all its sizes and fits a line to each metric.
func Measure[S Size](ctx context.Context, e Experiment[S]) (Table, error) {
	table := Table{Description: e.Description()}
	for _, size := range e.Sizes() {
		metrics, err := e.Measure(ctx, size)
		if err != nil {
			return table, errors.Wrapf(err, "%s at %d %s", table.Name, size, table.SizeUnit)
		}
		table.add(float64(size), metrics)
	}
	for i := range table.Series {
		table.Series[i].Line = Fit(table.Sizes, table.Series[i].Values)
	}
	return table, nil
}

func (t *Table) add(size float64, metrics []Metric) {
	t.Sizes = append(t.Sizes, size)
	for i, metric := range metrics {
		if i == len(t.Series) {
			t.Series = append(t.Series, Series{Name: metric.Name, Unit: metric.Unit})
		}
		t.Series[i].Values = append(t.Series[i].Values, metric.Value)
	}
}

// Line is a fitted line. Residual is the root mean square of the points' deviations from it, in the metric's unit.
type Line struct {
	Slope     float64
	Intercept float64
	Residual  float64
}

// Fit returns the least-squares line through the points. With fewer than two distinct xs the line is horizontal.
func Fit(xs, ys []float64) Line {
	count := float64(len(xs))
	if count == 0 {
		return Line{}
	}
	meanX, meanY := mean(xs), mean(ys)
	var covariance, variance float64
	for i, x := range xs {
		covariance += (x - meanX) * (ys[i] - meanY)
		variance += (x - meanX) * (x - meanX)
	}
	line := Line{Intercept: meanY}
	if variance > 0 {
		line.Slope = covariance / variance
		line.Intercept = meanY - line.Slope*meanX
	}
	var squaredDeviations float64
	for i, x := range xs {
		deviation := ys[i] - line.At(x)
		squaredDeviations += deviation * deviation
	}
	line.Residual = math.Sqrt(squaredDeviations / count)
	return line
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
