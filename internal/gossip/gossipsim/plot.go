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

// series are the troubles that a plot tells apart.
var series = []struct {
	name  string
	is    func(Result) bool
	color color.RGBA
	dash  []vg.Length
}{
	{"no trouble", func(r Result) bool { return r.Loss == 0 && r.SlowShare == 0 }, color.RGBA{R: 31, G: 95, B: 140, A: 255}, nil},
	{"5 % loss", func(r Result) bool { return r.Loss > 0 }, color.RGBA{R: 200, G: 95, B: 30, A: 255}, []vg.Length{vg.Points(5), vg.Points(3)}},
	{"10 % slow members", func(r Result) bool { return r.SlowShare > 0 }, color.RGBA{R: 90, G: 130, B: 50, A: 255}, []vg.Length{vg.Points(2), vg.Points(2)}},
}

// Plot writes the figures of trials as SVG into a folder: traffic, spread, detection and mistakes over the size.
func WritePlots(dir string, all []Result) error {
	for _, p := range []struct {
		file, title, y string
		value          func(Result) float64
	}{
		{"traffic", "Sent by each router, steady", "bytes a second", func(r Result) float64 { return r.BytesPerSecond }},
		{"spread", "Word of a worker heard by 99 of 100", "seconds", func(r Result) float64 { return r.SpreadTo99 }},
		{"death", "Silent router held to be dead by 99 of 100", "seconds", func(r Result) float64 { return r.DeathTo99 }},
		{"mistakes", "Routers wrongly held to be dead by somebody", "share of the routers",
			func(r Result) float64 { return float64(r.FalseDeaths) / float64(r.Members) }},
	} {
		if err := writePlot(filepath.Join(dir, p.file+".svg"), p.title, p.y, all, p.value); err != nil {
			return err
		}
	}
	return nil
}

func writePlot(file, title, y string, all []Result, value func(Result) float64) error {
	pl := plot.New()
	pl.Title.Text, pl.X.Label.Text, pl.Y.Label.Text = title, "routers", y
	pl.Title.Padding = vg.Points(8)
	pl.X.Scale, pl.X.Tick.Marker = plot.LogScale{}, sizeTicks(all)
	pl.Y.Min, pl.Legend.Top, pl.Legend.Left = 0, true, true
	pl.Add(plotter.NewGrid())
	top := 0.0
	for _, s := range series {
		by := map[int][]float64{}
		for _, r := range all {
			if v := value(r); s.is(r) && v >= 0 {
				by[r.Members] = append(by[r.Members], v)
			}
		}
		var pts plotter.XYs
		for n, v := range by {
			slices.Sort(v)
			pts = append(pts, plotter.XY{X: float64(n), Y: v[len(v)/2]})
		}
		if len(pts) == 0 {
			continue
		}
		slices.SortFunc(pts, func(a, b plotter.XY) int { return int(a.X - b.X) })
		line, points, err := plotter.NewLinePoints(pts)
		if err != nil {
			return err
		}
		line.Color, line.Dashes, line.Width = s.color, s.dash, vg.Points(1.5)
		points.Color, points.Shape = s.color, draw.CircleGlyph{}
		pl.Add(line, points)
		pl.Legend.Add(s.name, line, points)
		for _, p := range pts {
			top = max(top, p.Y)
		}
	}
	pl.Y.Max = max(top*1.35, 0.01) // the legend stands above the lines
	return pl.Save(14*vg.Centimeter, 9*vg.Centimeter, file)
}

// sizes marks the sizes that were played.
func sizeTicks(all []Result) plot.ConstantTicks {
	var out plot.ConstantTicks
	for _, r := range all {
		if !slices.ContainsFunc(out, func(t plot.Tick) bool { return math.Abs(t.Value-float64(r.Members)) < 0.5 }) {
			out = append(out, plot.Tick{Value: float64(r.Members), Label: fmt.Sprint(r.Members)})
		}
	}
	return out
}
