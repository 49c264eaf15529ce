package growth

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// Report is the result of an experiment.
type Report struct {
	Seed           uint64        `json:"seed"`
	Nodes          int           `json:"nodes"`
	Seconds        float64       `json:"seconds"`
	CallsPerSecond float64       `json:"calls_per_second"`
	Functions      int           `json:"functions"`
	MemoryMB       int           `json:"memory_mb"`
	Cores          float64       `json:"cores"`
	Descriptors    int           `json:"descriptors"`
	Measurements   []Measurement `json:"measurements"`
	Verdicts       []Verdict     `json:"verdicts"`
}

// Passed reports whether every figure is within its allowance.
func (r *Report) Passed() bool {
	return !slices.ContainsFunc(r.Verdicts, func(v Verdict) bool { return !v.Passed })
}

// validate returns an error if no experiment can be made with the options.
func (o Options) validate() error {
	isInvalidSize := func(size int) bool { return size < 1 }
	hasTraffic := o.Functions >= 2 && o.CallsPerSecond > 0 && o.Duration > 0
	switch {
	case len(o.UsualSizes) == 0 || len(o.Disruptions) == 0:
		return errors.New("growth: no usual size, or no run")
	case slices.ContainsFunc(o.allSizes(), isInvalidSize):
		return errors.New("growth: a size is less than one worker")
	case o.Nodes < 1 || !hasTraffic:
		return errors.New("growth: a router, two functions, calls and time are needed")
	case o.NodeCommand == nil:
		return errors.New("growth: no command that runs a router")
	}
	return nil
}

// Run makes a run of every disruption at every size, one after another, and judges them. If a run fails, the report that is
// returned with the error has the measurements before it.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	report := &Report{
		Seed:           o.Seed,
		Nodes:          o.Nodes,
		Seconds:        o.Duration.Seconds(),
		CallsPerSecond: o.CallsPerSecond,
		Functions:      o.Functions,
		MemoryMB:       o.MemoryMB,
		Cores:          o.Cores,
		Descriptors:    o.Descriptors,
	}
	for _, disruption := range o.Disruptions {
		bySize := map[int]Measurement{}
		for _, size := range o.allSizes() {
			m, err := measure(ctx, o, size, disruption)
			if err != nil {
				return report, fmt.Errorf("growth: %s, %d workers: %w", disruption, size, err)
			}
			bySize[size] = m
			report.Measurements = append(report.Measurements, m)
			if slices.Contains(o.Sizes, size) {
				usual := bySize[usualSize(o.UsualSizes, size)]
				report.Verdicts = append(report.Verdicts, judge(usual, m)...)
			}
		}
	}
	return report, nil
}

// allSizes returns the sizes to measure, each once, in ascending order.
func (o Options) allSizes() []int {
	sizes := slices.Concat(o.UsualSizes, o.Sizes)
	slices.Sort(sizes)
	return slices.Compact(sizes)
}
