package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// plotInterval is the time over which one point of a plot is taken.
const plotInterval = time.Second

// measures are the panels of a plot, from top to bottom.
var measures = []struct {
	name  string
	value func([]*request) float64
}{
	{"in time, %", func(r []*request) float64 { return percentOf(r, inTime) }},
	{"wait p95, ms", func(r []*request) float64 { return waitQuantile(r, 0.95) }},
	{"refused, %", func(r []*request) float64 { return percentOf(r, refused) }},
}

// writePlots writes a plot for each kind and customer group of a pattern, with a line for each setting.
func writePlots(dir string, p pattern, settings []setting, runs []*simulation) error {
	for i, first := range runs[0].shares() {
		var panels [][]*plot.Plot
		for _, m := range measures {
			panel := plot.New()
			panel.Y.Label.Text = m.name
			panel.Y.Min = 0
			for j, s := range settings {
				line, err := plotter.NewLine(points(runs[j].shares()[i].requests, p.duration, m.value))
				if err != nil {
					return err
				}
				line.Color, line.Dashes = plotutil.Color(j), plotutil.Dashes(j)
				panel.Add(line)
				if len(panels) == 0 {
					panel.Legend.Add(s.name, line)
				}
			}
			panels = append(panels, []*plot.Plot{panel})
		}
		panels[0][0].Title.Text = p.name + ", " + first.name
		panels[len(panels)-1][0].X.Label.Text = "arrival, s"
		name := p.name + "-" + strings.ReplaceAll(first.name, " ", "-") + ".svg"
		if err := writePanels(filepath.Join(dir, name), panels); err != nil {
			return err
		}
	}
	return nil
}

// points returns a measure of the requests over their arrivals. Intervals without requests have no point.
func points(requests []*request, duration time.Duration, measure func([]*request) float64) plotter.XYs {
	intervals := make([][]*request, int((duration+plotInterval-1)/plotInterval))
	for _, r := range requests {
		i := int((r.arrival - startTime) / plotInterval)
		intervals[i] = append(intervals[i], r)
	}
	var list plotter.XYs
	for i, part := range intervals {
		if len(part) > 0 {
			list = append(list, plotter.XY{X: (time.Duration(i) * plotInterval).Seconds(), Y: measure(part)})
		}
	}
	return list
}

func writePanels(path string, panels [][]*plot.Plot) error {
	canvas := vgsvg.New(9*vg.Inch, 9*vg.Inch)
	tiles := draw.Tiles{Cols: 1, Rows: len(panels), PadY: vg.Millimeter}
	for i, row := range plot.Align(panels, tiles, draw.New(canvas)) {
		panels[i][0].Draw(row[0])
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
