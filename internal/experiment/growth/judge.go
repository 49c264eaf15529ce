package growth

import "slices"

// minServedRatio is the minimum ratio of the share of served calls to the share at the usual size.
const minServedRatio = 0.85

// criterion is a figure with its allowance, which is factor times the figure at the usual size, plus constant, plus
// perThousand for each thousand workers. The users of the project set the six criteria.
type criterion struct {
	name        string // shown in tables and plots
	value       func(Figures) float64
	factor      float64
	constant    float64
	perThousand float64
	lowerBound  bool // the allowance is a lower bound
}

// criteria are all criteria in the order in which they are printed.
var criteria = []criterion{
	{name: "CPU seconds", value: func(f Figures) float64 { return f.CPUSeconds }, factor: 1.4, constant: 0.02, perThousand: 0.03},
	{name: "peak memory (MB)", value: func(f Figures) float64 { return f.PeakMemoryMB }, factor: 1.5, constant: 8, perThousand: 4},
	{name: "descriptors", value: func(f Figures) float64 { return f.Descriptors }, factor: 2, constant: 40},
	{name: "connections made", value: func(f Figures) float64 { return f.Connections }, factor: 2.5, constant: 40},
	{name: "list bytes", value: func(f Figures) float64 { return f.ListBytes }, factor: 2, constant: 64e3, perThousand: 500e3},
	{name: "share served", value: func(f Figures) float64 { return f.ShareServed }, factor: minServedRatio, lowerBound: true},
}

// Verdict compares a figure of a run with that of the run with the same disruption at the usual size.
type Verdict struct {
	Workers      int        `json:"workers"`
	UsualWorkers int        `json:"usual_workers"`
	Disruption   Disruption `json:"disruption"`
	Criterion    string     `json:"row"`
	Usual        float64    `json:"usual"`
	Figure       float64    `json:"figure"`
	Allowed      float64    `json:"allowed"`
	Passed       bool       `json:"passed"`
}

// allowance returns the bound of the figure at a number of workers. usual is the figure at the usual size.
func (c criterion) allowance(usual float64, workers int) float64 {
	return c.factor*usual + c.constant + c.perThousand*float64(workers)/1000
}

// judge compares a run with the run at the usual size by all criteria.
func judge(usual, run Measurement) []Verdict {
	verdicts := make([]Verdict, 0, len(criteria))
	for _, c := range criteria {
		v := Verdict{
			Workers:      run.Workers,
			UsualWorkers: usual.Workers,
			Disruption:   run.Disruption,
			Criterion:    c.name,
			Usual:        c.value(usual.Figures),
			Figure:       c.value(run.Figures),
		}
		v.Allowed = c.allowance(v.Usual, run.Workers)
		v.Passed = v.Figure <= v.Allowed
		if c.lowerBound {
			v.Passed = v.Figure >= v.Allowed
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}

// maxGrowth is the maximum ratio of a size to the usual size that it is compared with, if there is a usual size that is
// large enough.
const maxGrowth = 16

// usualSize returns the usual size that a size is compared with: the smallest one for which the ratio is at most
// maxGrowth, or the largest one if there is none. usual must not be empty.
func usualSize(usual []int, size int) int {
	ascending := slices.Sorted(slices.Values(usual))
	for _, candidate := range ascending {
		if candidate*maxGrowth >= size {
			return candidate
		}
	}
	return ascending[len(ascending)-1]
}
