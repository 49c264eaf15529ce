package gossipsim

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// series defines the lines of each plot: one for each kind of fault in the trials.
var series = []struct {
	name     string
	includes func(Result) bool
	color    color.RGBA
	dashes   []vg.Length
}{
	{"no faults", func(r Result) bool { return r.Loss == 0 && r.SlowShare == 0 }, color.RGBA{R: 31, G: 95, B: 140, A: 255}, nil},
	{"5 % loss", func(r Result) bool { return r.Loss > 0 }, color.RGBA{R: 200, G: 95, B: 30, A: 255}, []vg.Length{vg.Points(5), vg.Points(3)}},
	{"10 % slow members", func(r Result) bool { return r.SlowShare > 0 }, color.RGBA{R: 90, G: 130, B: 50, A: 255}, []vg.Length{vg.Points(2), vg.Points(2)}},
}

// WritePlots writes the results of trials as SVG files to a folder: traffic, spread of a claim, detection of a death
// and false deaths, each over the number of routers.
func WritePlots(dir string, all []Result) error {
	for _, p := range []struct {
		file, title, unit string
		value             func(Result) float64
	}{
		{"traffic", "Sent by each router, steady", "bytes a second", func(r Result) float64 { return r.BytesPerSecond }},
		{"spread", "Claim about a worker received by 99 of 100", "seconds", func(r Result) float64 { return r.SpreadTo99 }},
		{"death", "Silent router taken for dead by 99 of 100", "seconds", func(r Result) float64 { return r.DetectionTo99 }},
		{"mistakes", "Routers wrongly taken for dead by any", "share of the routers",
			func(r Result) float64 { return float64(r.FalseDeaths) / float64(r.Members) }},
	} {
		if err := writePlot(filepath.Join(dir, p.file+".svg"), p.title, p.unit, all, p.value); err != nil {
			return err
		}
	}
	return nil
}

// writePlot writes the plot of one value.
func writePlot(file, title, unit string, all []Result, value func(Result) float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "routers", unit
	p.Title.Padding = vg.Points(8)
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, sizeTicks(all)
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0, true, true
	p.Add(plotter.NewGrid())
	highest := 0.0
	for _, s := range series {
		points := medians(all, s.includes, value)
		if len(points) == 0 {
			continue
		}
		line, glyphs, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes, line.Width = s.color, s.dashes, vg.Points(1.5)
		glyphs.Color, glyphs.Shape = s.color, draw.CircleGlyph{}
		p.Add(line, glyphs)
		p.Legend.Add(s.name, line, glyphs)
		for _, point := range points {
			highest = max(highest, point.Y)
		}
	}
	p.Y.Max = max(highest*1.35, 0.01) // leaves room for the legend above the lines
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, file)
}

// medians returns the median of a value over the included trials of each size, sorted by size. Negative values, which
// mean that the value was not reached, are left out.
func medians(all []Result, includes func(Result) bool, value func(Result) float64) plotter.XYs {
	bySize := map[int][]float64{}
	for _, r := range all {
		if v := value(r); includes(r) && v >= 0 {
			bySize[r.Members] = append(bySize[r.Members], v)
		}
	}
	var points plotter.XYs
	for size, values := range bySize {
		slices.Sort(values)
		points = append(points, plotter.XY{X: float64(size), Y: values[len(values)/2]})
	}
	slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
	return points
}

// sizeTicks returns an axis tick for each size among the results.
func sizeTicks(all []Result) plot.ConstantTicks {
	var ticks plot.ConstantTicks
	for _, r := range all {
		size := float64(r.Members)
		if !slices.ContainsFunc(ticks, func(t plot.Tick) bool { return math.Abs(t.Value-size) < 0.5 }) {
			ticks = append(ticks, plot.Tick{Value: size, Label: fmt.Sprint(r.Members)})
		}
	}
	return ticks
}
