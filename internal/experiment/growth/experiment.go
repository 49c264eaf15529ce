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

// validate returns an error if the options are invalid.
func (o Options) validate() error {
	isInvalidSize := func(size int) bool { return size < 1 }
	hasTraffic := o.Functions >= 2 && o.CallsPerSecond > 0 && o.Duration > 0
	switch {
	case len(o.UsualSizes) == 0 || len(o.Disruptions) == 0:
		return errors.New("growth: needs at least one usual size and one run")
	case slices.ContainsFunc(o.allSizes(), isInvalidSize):
		return errors.New("growth: each size must be at least one worker")
	case o.Nodes < 1 || !hasTraffic:
		return errors.New("growth: needs at least one router and two functions, and a call rate and a duration above 0")
	case o.NodeCommand == nil:
		return errors.New("growth: needs a command that runs a router")
	}
	return nil
}

// Run measures every disruption at every size, one run after another, and compares the sizes with the usual ones. If a
// run fails, Run returns the error and a report of the runs before it.
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

// allSizes returns the sizes to measure in ascending order, without duplicates.
func (o Options) allSizes() []int {
	sizes := slices.Concat(o.UsualSizes, o.Sizes)
	slices.Sort(sizes)
	return slices.Compact(sizes)
}
