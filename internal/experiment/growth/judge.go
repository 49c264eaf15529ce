package growth

import "slices"

// minServedRatio is the least share of the calls to be served, as a ratio of the share at the usual size.
const minServedRatio = 0.85

// row is one of the figures that are judged. Its allowance is factor times the figure at the usual size, plus a constant and
// an amount for each thousand workers. The six rows are those of the users.
type row struct {
	name        string // in tables and plots
	value       func(Figures) float64
	factor      float64
	constant    float64
	perThousand float64
	atLeast     bool // the allowance is a lower bound
}

// rows are the figures that are judged, in the order in which they are printed.
var rows = []row{
	{name: "CPU seconds", value: func(f Figures) float64 { return f.CPUSeconds }, factor: 1.4, constant: 0.02, perThousand: 0.03},
	{name: "peak memory (MB)", value: func(f Figures) float64 { return f.PeakMemoryMB }, factor: 1.5, constant: 8, perThousand: 4},
	{name: "descriptors", value: func(f Figures) float64 { return f.Descriptors }, factor: 2, constant: 40},
	{name: "connections made", value: func(f Figures) float64 { return f.Connections }, factor: 2.5, constant: 40},
	{name: "list bytes", value: func(f Figures) float64 { return f.ListBytes }, factor: 2, constant: 64e3, perThousand: 500e3},
	{name: "share served", value: func(f Figures) float64 { return f.ShareServed }, factor: minServedRatio, atLeast: true},
}

// Verdict compares one figure of a run with the same run at the usual size.
type Verdict struct {
	Workers      int        `json:"workers"`
	UsualWorkers int        `json:"usual_workers"`
	Disruption   Disruption `json:"disruption"`
	Row          string     `json:"row"`
	Usual        float64    `json:"usual"`
	Figure       float64    `json:"figure"`
	Allowed      float64    `json:"allowed"`
	Passed       bool       `json:"passed"`
}

// allowance returns the bound of a row's figure at a number of workers. usual is the figure at the usual size.
func (r row) allowance(usual float64, workers int) float64 {
	return r.factor*usual + r.constant + r.perThousand*float64(workers)/1000
}

// judge compares a run with that of the usual size.
func judge(usual, run Measurement) []Verdict {
	verdicts := make([]Verdict, 0, len(rows))
	for _, row := range rows {
		v := Verdict{
			Workers:      run.Workers,
			UsualWorkers: usual.Workers,
			Disruption:   run.Disruption,
			Row:          row.name,
			Usual:        row.value(usual.Figures),
			Figure:       row.value(run.Figures),
		}
		v.Allowed = row.allowance(v.Usual, run.Workers)
		v.Passed = v.Figure <= v.Allowed
		if row.atLeast {
			v.Passed = v.Figure >= v.Allowed
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}

// maxGrowth is how many times larger than its usual size a fleet may be, if there is a usual size large enough.
const maxGrowth = 16

// usualSize returns the size that a size is compared with: the smallest usual size of which it is at most maxGrowth times as
// large. If there is none, it is the largest usual size. usual is not empty.
func usualSize(usual []int, size int) int {
	ascending := slices.Sorted(slices.Values(usual))
	for _, candidate := range ascending {
		if candidate*maxGrowth >= size {
			return candidate
		}
	}
	return ascending[len(ascending)-1]
}
