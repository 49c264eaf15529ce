package growth

import (
	"errors"
	"math"
	"path/filepath"
	"testing"
)

// usualFigures are the figures at the usual size in TestJudge.
var usualFigures = Figures{CPUSeconds: 1, PeakMemoryMB: 20, Descriptors: 100, Connections: 50, ListBytes: 1e6, ShareServed: 0.9}

// TestJudge checks for each criterion, at 2,000 workers, that a figure equal to its allowance passes and that a figure
// beyond it fails.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		criterion string
		figure    func(*Figures) *float64
		bound     float64
		beyond    float64
	}{
		{"CPU seconds", func(f *Figures) *float64 { return &f.CPUSeconds }, 1.48, 1.49},
		{"peak memory (MB)", func(f *Figures) *float64 { return &f.PeakMemoryMB }, 46, 46.1},
		{"descriptors", func(f *Figures) *float64 { return &f.Descriptors }, 240, 241},
		{"connections made", func(f *Figures) *float64 { return &f.Connections }, 165, 166},
		{"list bytes", func(f *Figures) *float64 { return &f.ListBytes }, 3_064_000, 3_064_001},
		{"share served", func(f *Figures) *float64 { return &f.ShareServed }, 0.765, 0.764},
	} {
		t.Run(c.criterion, func(t *testing.T) {
			for figure, passes := range map[float64]bool{c.bound: true, c.beyond: false} {
				run := Measurement{Workers: 2000, Figures: usualFigures}
				*c.figure(&run.Figures) = figure
				for _, v := range judge(Measurement{Workers: 125, Figures: usualFigures}, run) {
					if want := passes || v.Criterion != c.criterion; v.Passed != want {
						t.Errorf("figure %v: %s passed: %v", figure, v.Criterion, v.Passed)
					}
					if v.Criterion == c.criterion && math.Abs(v.Allowed-c.bound) > 1e-9*c.bound {
						t.Errorf("allowed %v, want %v", v.Allowed, c.bound)
					}
				}
			}
		})
	}
}

func TestUsualSize(t *testing.T) {
	for size, want := range map[int]int{960: 60, 961: 120, 1920: 120, 3200: 120, 10: 60} {
		for _, usual := range [][]int{{60, 120}, {120, 60}} {
			if got := usualSize(usual, size); got != want {
				t.Errorf("size %d, usual sizes %v: got %d, want %d", size, usual, got, want)
			}
		}
	}
}

// TestPlotOfInterruptedExperiment checks that the plot of an experiment that was interrupted in its first run is an
// error.
func TestPlotOfInterruptedExperiment(t *testing.T) {
	report := &Report{}
	if err := report.WritePlot(filepath.Join(t.TempDir(), "growth.svg")); !errors.Is(err, errNoMeasurements) {
		t.Errorf("got %v, want %v", err, errNoMeasurements)
	}
}
