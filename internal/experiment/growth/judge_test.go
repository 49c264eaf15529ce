package growth

import (
	"errors"
	"math"
	"path/filepath"
	"testing"
)

// usualFigures are the figures at the usual size in TestJudge.
var usualFigures = Figures{CPUSeconds: 1, PeakMemoryMB: 20, Descriptors: 100, Connections: 50, ListBytes: 1e6, ShareServed: 0.9}

// TestJudge checks each allowance at its bound, for 2,000 workers: the bound passes, and what is beyond it fails.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		row    string
		figure func(*Figures) *float64
		bound  float64
		beyond float64
	}{
		{"CPU seconds", func(f *Figures) *float64 { return &f.CPUSeconds }, 1.48, 1.49},
		{"peak memory (MB)", func(f *Figures) *float64 { return &f.PeakMemoryMB }, 46, 46.1},
		{"descriptors", func(f *Figures) *float64 { return &f.Descriptors }, 240, 241},
		{"connections made", func(f *Figures) *float64 { return &f.Connections }, 165, 166},
		{"list bytes", func(f *Figures) *float64 { return &f.ListBytes }, 3_064_000, 3_064_001},
		{"share served", func(f *Figures) *float64 { return &f.ShareServed }, 0.765, 0.764},
	} {
		t.Run(c.row, func(t *testing.T) {
			for figure, passes := range map[float64]bool{c.bound: true, c.beyond: false} {
				run := Measurement{Workers: 2000, Figures: usualFigures}
				*c.figure(&run.Figures) = figure
				for _, v := range judge(Measurement{Workers: 125, Figures: usualFigures}, run) {
					if want := passes || v.Row != c.row; v.Passed != want {
						t.Errorf("%v: %s passed: %v", figure, v.Row, v.Passed)
					}
					if v.Row == c.row && math.Abs(v.Allowed-c.bound) > 1e-9*c.bound {
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
				t.Errorf("%d of %v: %d, want %d", size, usual, got, want)
			}
		}
	}
}

// TestPlotOfInterruptedExperiment: an experiment that was interrupted in its first run has nothing to plot.
func TestPlotOfInterruptedExperiment(t *testing.T) {
	report := &Report{}
	if err := report.WritePlot(filepath.Join(t.TempDir(), "growth.svg")); !errors.Is(err, errNothingMeasured) {
		t.Errorf("got %v, want %v", err, errNothingMeasured)
	}
}
