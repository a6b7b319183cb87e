package capacity

import (
	"image/color"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	panelWidth  = 10 * vg.Centimeter
	panelHeight = 7 * vg.Centimeter
)

var lineColor = color.RGBA{R: 200, G: 60, B: 40, A: 255}

// plotTable writes an SVG file with one panel per metric, which shows the measured points and the fitted line.
func plotTable(directory string, t Table) error {
	canvas := vgsvg.New(panelWidth*vg.Length(len(t.Series)), panelHeight)
	area := draw.New(canvas)
	for i, series := range t.Series {
		panel, err := t.panel(series)
		if err != nil {
			return errors.Wrap(err, t.Name)
		}
		left := panelWidth * vg.Length(i)
		right := left + panelWidth - area.Max.X
		panel.Draw(draw.Crop(area, left, right, 0, 0))
	}
	path := filepath.Join(directory, t.Name+".svg")
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return errors.Wrap(err, path)
	}
	return errors.Wrap(file.Close(), path)
}

func (t Table) panel(series Series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = t.Name + ": " + series.Name
	p.X.Label.Text = t.SizeUnit + "s"
	p.Y.Label.Text = series.Unit
	points := make(plotter.XYs, len(t.Sizes))
	for i, size := range t.Sizes {
		points[i] = plotter.XY{X: size, Y: series.Values[i]}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	scatter.Shape = draw.CircleGlyph{}
	line := plotter.NewFunction(series.Line.At)
	line.Color = lineColor
	p.Add(plotter.NewGrid(), scatter, line)
	return p, nil
}
