package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/experiment/growth"
)

type experimentCmd struct {
	Growth growthCmd `cmd:"" help:"Measure how the resource usage of a router grows with the number of workers, with real routers on fake platforms of several sizes."`
}

type growthCmd struct {
	Usual       []int         `default:"60,120" help:"Usual numbers of workers, with which the others are compared."`
	Workers     []int         `default:"960,1920,3200" help:"Numbers of workers to check against the limits."`
	Runs        []string      `enum:"calm,rolling,surge,outage" default:"calm,rolling,surge,outage" help:"Runs at each size: no change (calm), half of the workers replaced over the whole run (rolling) or within 7 s (surge), discovery unreachable for half of the run (outage)."`
	Routers     int           `default:"1" help:"Number of routers to run; the figures are the means over these routers."`
	Duration    time.Duration `default:"20s" help:"Duration of the traffic in each run."`
	Rate        float64       `default:"40" help:"Calls per second to each router."`
	Functions   int           `default:"300" help:"Number of functions that are called, the first ones most often."`
	Memory      int           `default:"64" help:"Memory limit of a router in MB."`
	Cores       float64       `default:"1" help:"Processor limit of a router, in cores."`
	Descriptors int           `default:"512" help:"File descriptor limit of a router."`
	Seed        uint64        `default:"1" help:"Seed of the traffic and of the routers."`
	Out         string        `type:"path" help:"Folder for the figures (growth.json) and the plot (growth.svg)."`
	Quiet       bool          `help:"Print no progress."`
}

// Run runs the experiment. It fails unless every figure is within its allowance.
func (c *growthCmd) Run(ctx context.Context) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	report, runErr := growth.Run(ctx, c.options(executable))
	if report == nil {
		return runErr
	}
	if err := errors.Join(runErr, report.Print(os.Stdout), c.save(report)); err != nil {
		return err
	}
	if !report.Passed() {
		return errReported
	}
	return nil
}

func (c *growthCmd) options(executable string) growth.Options {
	options := growth.Options{UsualSizes: c.Usual, Sizes: c.Workers, Nodes: c.Routers, Duration: c.Duration,
		CallsPerSecond: c.Rate, Functions: c.Functions, MemoryMB: c.Memory, Cores: c.Cores, Descriptors: c.Descriptors,
		Seed: c.Seed}
	for _, run := range c.Runs {
		options.Disruptions = append(options.Disruptions, growth.Disruption(run))
	}
	options.NodeCommand = func(configPath string) *exec.Cmd {
		return exec.Command(executable, "--log-level=info", "--log-format=json", "node", "--config", configPath)
	}
	if !c.Quiet {
		options.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
	}
	return options
}

// save writes the figures and the plot.
func (c *growthCmd) save(report *growth.Report) error {
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	if err := config.WriteJSON(filepath.Join(c.Out, "growth.json"), report); err != nil {
		return err
	}
	return report.WritePlot(filepath.Join(c.Out, "growth.svg"))
}
