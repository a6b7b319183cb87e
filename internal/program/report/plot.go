package report

import (
	"cmp"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth = 28 * vg.Centimeter
	rowHeight = 0.55 * vg.Centimeter
	// frameHeight is the height of the title, the axis and the margins.
	frameHeight = 3 * vg.Centimeter
	// rowShare is the part of a server's row that bars fill.
	rowShare = 0.85
	// hueStep, the golden ratio, spreads any number of hues evenly.
	hueStep = 0.6180339887
	// The colours of runs that didn't complete their item are paler.
	completeSaturation   = 0.65
	incompleteSaturation = 0.25
)

var (
	dueColor  = color.RGBA{R: 200, G: 60, B: 40, A: 255}
	moveColor = color.RGBA{A: 255}
)

// bar is a run in the row of its server, at a height of its own among the runs there at the same time.
type bar struct {
	run  run
	lane int
	fill color.Color
}

// bars draws the rows of the servers.
type bars struct {
	rows [][]bar
	// lanes is the greatest number of runs at a server at the same time.
	lanes int
	// earliest is the start of the first run; it is negative if the run began before the submission was logged.
	earliest float64
}

// Plot implements plot.Plotter.
func (b bars) Plot(canvas draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&canvas)
	height := rowShare / float64(b.lanes)
	for row, members := range b.rows {
		for _, member := range members {
			bottom := float64(row) - rowShare/2 + height*float64(member.lane)
			left, right := x(member.run.start), x(member.run.end)
			low, high := y(bottom), y(bottom+0.9*height)
			canvas.FillPolygon(member.fill, []vg.Point{{X: left, Y: low}, {X: right, Y: low}, {X: right, Y: high}, {X: left, Y: high}})
		}
	}
}

// plotName returns the name of the step's plot.
func plotName(s *step) string {
	request := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, s.request)
	return fmt.Sprintf("step-%d-%s.svg", s.number, request)
}

// plotStep writes an SVG file with a row per server, a bar per run, a mark per move, and a line at the due time.
func plotStep(options Options, s *step) error {
	servers, rows := s.layOut()
	p := plot.New()
	p.Title.Text = fmt.Sprintf("step %d, request %s, model %s", s.number, s.request, s.model)
	p.X.Label.Text = "seconds since the submission"
	p.X.Min, p.X.Max = min(0, rows.earliest), max(options.Due.Seconds(), s.lastTime())*1.02
	p.Y.Min, p.Y.Max = -0.5, float64(len(servers))-0.5
	ticks := make([]plot.Tick, len(servers))
	rowOf := map[string]int{}
	for row, server := range servers {
		ticks[row] = plot.Tick{Value: float64(row), Label: server}
		rowOf[server] = row
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	p.Add(rows)
	due, err := plotter.NewLine(plotter.XYs{{X: options.Due.Seconds(), Y: p.Y.Min}, {X: options.Due.Seconds(), Y: p.Y.Max}})
	if err != nil {
		return errors.Wrap(err, s.request)
	}
	due.Color = dueColor
	p.Add(due)
	if err := addMoves(p, s.moves, rowOf); err != nil {
		return errors.Wrap(err, s.request)
	}
	canvas := vgsvg.New(plotWidth, frameHeight+rowHeight*vg.Length(max(1, len(servers))))
	p.Draw(draw.New(canvas))
	path := filepath.Join(options.Directory, plotName(s))
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

// addMoves marks each move at the server that was left, with a line to the other one if the log names it.
func addMoves(p *plot.Plot, moves []move, rowOf map[string]int) error {
	var marks plotter.XYs
	for _, m := range moves {
		from, ok := rowOf[m.from]
		if !ok {
			continue
		}
		marks = append(marks, plotter.XY{X: m.at, Y: float64(from)})
		to, ok := rowOf[m.to]
		if !ok {
			continue
		}
		line, err := plotter.NewLine(plotter.XYs{{X: m.at, Y: float64(from)}, {X: m.at, Y: float64(to)}})
		if err != nil {
			return err
		}
		line.Width = vg.Points(0.5)
		p.Add(line)
	}
	if len(marks) == 0 {
		return nil
	}
	scatter, err := plotter.NewScatter(marks)
	if err != nil {
		return err
	}
	scatter.Shape, scatter.Color = draw.CrossGlyph{}, moveColor
	p.Add(scatter)
	return nil
}

// layOut returns the servers in the order of their names and their bars. A run without an end lasts until the item's next
// run, or the last line about the step. Colours are by group; by item if the log has no groups.
func (s *step) layOut() ([]string, bars) {
	last, rows := s.lastTime(), bars{lanes: 1}
	byServer := map[string][]bar{}
	hues := map[string]float64{}
	for _, i := range s.sortedItems() {
		key := cmp.Or(i.group, i.id)
		if _, ok := hues[key]; !ok {
			_, hues[key] = math.Modf(float64(len(hues)) * hueStep)
		}
		for n, r := range i.runs {
			rows.earliest = min(rows.earliest, r.start)
			saturation := completeSaturation
			if r.outcome != outcomeCompleted {
				saturation = incompleteSaturation
			}
			if r.outcome == outcomeOpen {
				r.end = last
				if n+1 < len(i.runs) {
					r.end = i.runs[n+1].start
				}
			}
			fill := palette.HSVA{H: hues[key], S: saturation, V: 0.85, A: 1}
			byServer[r.server] = append(byServer[r.server], bar{run: r, fill: fill})
		}
	}
	var servers []string
	for server := range byServer {
		servers = append(servers, server)
	}
	slices.Sort(servers)
	for _, server := range servers {
		members := byServer[server]
		rows.lanes = max(rows.lanes, assignLanes(members))
		rows.rows = append(rows.rows, members)
	}
	return servers, rows
}

// assignLanes gives runs at the same time different heights, and returns the number of heights.
func assignLanes(members []bar) int {
	slices.SortStableFunc(members, func(a, b bar) int { return cmp.Compare(a.run.start, b.run.start) })
	var free []float64
	for n := range members {
		lane := slices.IndexFunc(free, func(end float64) bool { return end <= members[n].run.start })
		if lane < 0 {
			lane = len(free)
			free = append(free, 0)
		}
		free[lane] = members[n].run.end
		members[n].lane = lane
	}
	return len(free)
}
