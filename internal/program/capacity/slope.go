package capacity

import (
	"context"
	"math"

	"github.com/pkg/errors"
)

// Size is what a slope is measured over.
type Size interface{ ~int }

// About says what a slope shows.
type About struct {
	// Name is the slope's name in the table and the stem of its plots' file names.
	Name string
	// Axis is what the sizes count.
	Axis string
	// Notes say what is included in the figures.
	Notes string
}

// Figure is one measured value.
type Figure struct {
	Name  string
	Unit  string
	Value float64
}

// Slope measures a part at several sizes. Measure returns the same figures in the same order at each size.
type Slope[S Size] interface {
	About() About
	Sizes() []S
	Measure(ctx context.Context, size S) ([]Figure, error)
}

// Series is one figure over all sizes with its line.
type Series struct {
	Name   string
	Unit   string
	Values []float64
	Line   Line
}

// Table is a measured slope.
type Table struct {
	About
	Sizes  []float64
	Series []Series
}

// Measure measures the slope at all its sizes and fits the lines.
func Measure[S Size](ctx context.Context, s Slope[S]) (Table, error) {
	table := Table{About: s.About()}
	for _, size := range s.Sizes() {
		figures, err := s.Measure(ctx, size)
		if err != nil {
			return table, errors.Wrapf(err, "%s at %d %s", table.Name, size, table.Axis)
		}
		table.add(float64(size), figures)
	}
	for i := range table.Series {
		table.Series[i].Line = Fit(table.Sizes, table.Series[i].Values)
	}
	return table, nil
}

func (t *Table) add(size float64, figures []Figure) {
	t.Sizes = append(t.Sizes, size)
	for i, figure := range figures {
		if i == len(t.Series) {
			t.Series = append(t.Series, Series{Name: figure.Name, Unit: figure.Unit})
		}
		t.Series[i].Values = append(t.Series[i].Values, figure.Value)
	}
}

// Line is a fitted line; Residual is the root mean square of what it misses, in the figure's unit.
type Line struct {
	Slope     float64
	Intercept float64
	Residual  float64
}

// Fit returns the line of least squares through the points. With fewer than two different xs it is level.
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
	var squares float64
	for i, x := range xs {
		miss := ys[i] - line.At(x)
		squares += miss * miss
	}
	line.Residual = math.Sqrt(squares / count)
	return line
}

// At is the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
