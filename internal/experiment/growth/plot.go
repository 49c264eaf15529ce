package growth

import (
	"errors"
	"image/color"
	"os"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Layout of the plots in the SVG file.
const (
	plotColumns = 3
	plotWidth   = 10 * vg.Centimeter // width of the plot of one criterion
	plotHeight  = 7 * vg.Centimeter
	plotPadding = 6 * vg.Millimeter
	headroom    = 1.25 // ratio of the axis to the highest value; leaves room for the legend above the lines

	minPlotMaximum = 0.01 // minimum length of the vertical axis, which is needed even if all figures are 0
)

// lineColors are the colors of the disruptions' lines.
var lineColors = map[Disruption]color.RGBA{
	Calm:    {R: 31, G: 95, B: 140, A: 255},
	Rolling: {R: 90, G: 130, B: 50, A: 255},
	Surge:   {R: 200, G: 95, B: 30, A: 255},
	Outage:  {R: 110, G: 60, B: 140, A: 255},
}

// errNoMeasurements is returned for a plot of a report without measurements.
var errNoMeasurements = errors.New("growth: nothing to plot, as no run was completed")

// WritePlot writes an SVG file with a plot for each criterion, which shows the figures over the number of workers.
// Dashed lines are the allowances.
func (r *Report) WritePlot(path string) error {
	if len(r.Measurements) == 0 {
		return errNoMeasurements
	}
	plotRows := (len(criteria) + plotColumns - 1) / plotColumns
	grid := make([][]*plot.Plot, plotRows)
	for i, c := range criteria {
		p, err := r.plotCriterion(c)
		if err != nil {
			return err
		}
		grid[i/plotColumns] = append(grid[i/plotColumns], p)
	}
	image := vgsvg.New(plotColumns*plotWidth, vg.Length(plotRows)*plotHeight)
	tiles := draw.Tiles{Rows: plotRows, Cols: plotColumns, PadX: plotPadding, PadY: plotPadding}
	for i, canvases := range plot.Align(grid, tiles, draw.New(image)) {
		for j, canvas := range canvases {
			grid[i][j].Draw(canvas)
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := image.WriteTo(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// plotCriterion plots the figures of a criterion, with a line for each disruption and a dashed one for its allowances.
func (r *Report) plotCriterion(c criterion) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = c.name
	p.X.Label.Text = "workers"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = r.sizeTicks()
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	highest := 0.0
	for disruption, lineColor := range lineColors {
		measured, allowed := r.points(c, disruption)
		if len(measured) == 0 {
			continue
		}
		if err := addMeasured(p, disruption, measured, lineColor); err != nil {
			return nil, err
		}
		if err := addAllowed(p, allowed, lineColor); err != nil {
			return nil, err
		}
		for _, point := range slices.Concat(measured, allowed) {
			highest = max(highest, point.Y)
		}
	}
	p.Y.Min = 0
	p.Y.Max = max(highest*headroom, minPlotMaximum)
	return p, nil
}

// addMeasured adds the line of a disruption's figures and its entry in the legend.
func addMeasured(p *plot.Plot, disruption Disruption, measured plotter.XYs, lineColor color.Color) error {
	line, glyphs, err := plotter.NewLinePoints(measured)
	if err != nil {
		return err
	}
	line.Color = lineColor
	glyphs.Color = lineColor
	glyphs.Shape = draw.CircleGlyph{}
	p.Add(line, glyphs)
	p.Legend.Add(string(disruption), line, glyphs)
	return nil
}

// addAllowed adds the dashed line of the allowances if there are any.
func addAllowed(p *plot.Plot, allowed plotter.XYs, lineColor color.Color) error {
	if len(allowed) == 0 {
		return nil
	}
	bound, err := plotter.NewLine(allowed)
	if err != nil {
		return err
	}
	bound.Color = lineColor
	bound.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(bound)
	return nil
}

// points returns the figures of a criterion for one disruption and their allowances, by number of workers.
func (r *Report) points(c criterion, disruption Disruption) (measured, allowed plotter.XYs) {
	for _, m := range r.Measurements {
		if m.Disruption == disruption {
			measured = append(measured, plotter.XY{X: float64(m.Workers), Y: c.value(m.Figures)})
		}
	}
	for _, v := range r.Verdicts {
		if v.Disruption == disruption && v.Criterion == c.name {
			allowed = append(allowed, plotter.XY{X: float64(v.Workers), Y: v.Allowed})
		}
	}
	return measured, allowed
}

// sizeTicks returns the ticks of the horizontal axis, one at each size that was measured.
func (r *Report) sizeTicks() plot.ConstantTicks {
	sizes := make([]int, 0, len(r.Measurements))
	for _, m := range r.Measurements {
		sizes = append(sizes, m.Workers)
	}
	slices.Sort(sizes)
	var ticks plot.ConstantTicks
	for _, size := range slices.Compact(sizes) {
		ticks = append(ticks, plot.Tick{Value: float64(size), Label: strconv.Itoa(size)})
	}
	return ticks
}
