package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/soak"
)

type soakCmd struct {
	Seed     uint64        `default:"1" help:"First seed. A seed determines the fleet, its settings and the faults."`
	Seeds    int           `default:"1" help:"Number of consecutive seeds to run."`
	Parallel int           `default:"2" help:"Number of schedules to run concurrently."`
	Shrink   int           `default:"0" help:"After a failure, maximum number of runs for finding the smallest set of faults that still fails."`
	Router   string        `type:"existingfile" help:"Program that runs the routers with its node command, such as an earlier release; by default this program."`
	Faults   string        `help:"Faults to inject in place of the drawn ones, separated by spaces, in the format of printed schedules."`
	Routers  int           `help:"Number of routers in place of the drawn one, at most 254."`
	Workers  int           `help:"Number of workers in place of the drawn one, at most 199."`
	Rate     float64       `help:"Calls per second to each router in place of the drawn rate."`
	Duration time.Duration `help:"Duration of the traffic in place of the drawn one."`
	Deadline time.Duration `help:"Deadline of the calls in place of the drawn one."`
	List     bool          `help:"Print the schedules without running them."`
}

// Run runs the schedules of all seeds. It fails if any of them fails.
func (c *soakCmd) Run(ctx context.Context) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Router != "" {
		executable = c.Router
	}
	options := soak.Options{NodeCommand: func(configPath string) *exec.Cmd {
		return exec.Command(executable, "--log-level=info", "node", "--config", configPath)
	}}
	faults, err := soak.ParseFaults(c.Faults)
	if err != nil {
		return err
	}
	if c.List {
		for i := range c.Seeds {
			fmt.Println(c.schedule(c.Seed+uint64(i), faults))
		}
		return nil
	}
	failed := c.runAll(ctx, faults, options)
	fmt.Printf("%d schedules, %d failed\n", c.Seeds, failed)
	if failed > 0 {
		return errReported
	}
	return nil
}

// schedule returns the schedule drawn from a seed, with the values of the flags in place of the drawn ones.
func (c *soakCmd) schedule(seed uint64, faults []soak.Fault) soak.Schedule {
	s := soak.DrawSchedule(seed)
	s.Routers = cmp.Or(c.Routers, s.Routers)
	s.Workers = cmp.Or(c.Workers, s.Workers)
	s.CallRate = cmp.Or(c.Rate, s.CallRate)
	s.Duration = cmp.Or(c.Duration, s.Duration)
	s.Settings.Deadline = cmp.Or(c.Deadline, s.Settings.Deadline)
	if len(faults) > 0 {
		s.Faults = faults
	}
	return s
}

// runAll runs the schedules of all seeds, c.Parallel of them concurrently, and returns the number of failures.
func (c *soakCmd) runAll(ctx context.Context, faults []soak.Fault, options soak.Options) (failed int) {
	seeds := make(chan uint64)
	var runners sync.WaitGroup
	var outputMutex sync.Mutex
	for range max(c.Parallel, 1) {
		runners.Go(func() {
			for seed := range seeds {
				passed, lines := c.runSchedule(c.schedule(seed, faults), options)
				outputMutex.Lock()
				for _, line := range lines {
					fmt.Println(line)
				}
				if !passed {
					failed++
				}
				outputMutex.Unlock()
			}
		})
	}
	for i := range c.Seeds {
		if ctx.Err() != nil {
			break
		}
		seeds <- c.Seed + uint64(i)
	}
	close(seeds)
	runners.Wait()
	return failed
}

// runSchedule runs a schedule and returns whether it passed and the lines to print about it.
func (c *soakCmd) runSchedule(schedule soak.Schedule, options soak.Options) (passed bool, lines []string) {
	report, err := soak.Run(schedule, options)
	if err != nil {
		return false, []string{fmt.Sprintf("seed %d could not be played: %v", schedule.Seed, err)}
	}
	result := "passed"
	if !report.Passed() {
		result = "FAILED"
	}
	lines = append(lines, fmt.Sprintf("%s, %d calls, %.3f served, slack %v: %v", result, report.Calls, report.ServedShare, report.Slack, schedule))
	if report.Passed() {
		return true, lines
	}
	lines = append(lines, report.Failures...)
	lines = append(lines, fmt.Sprintf("again: topazfront soak --seed %d", schedule.Seed))
	lines = append(lines, report.Timeline...)
	if c.Shrink > 0 {
		smallest := soak.Shrink(schedule, c.Shrink, func(s soak.Schedule) bool {
			rerun, err := soak.Run(s, options)
			return err == nil && !rerun.Passed()
		})
		lines = append(lines, fmt.Sprintf("fewest faults that failed: %v", smallest))
	}
	return false, lines
}
