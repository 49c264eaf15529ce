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
	Seed     uint64        `default:"1" help:"First seed. A seed draws the fleet, its settings and its faults."`
	Seeds    int           `default:"1" help:"How many seeds to play, from the first one on."`
	Parallel int           `default:"2" help:"Schedules to play at once."`
	Shrink   int           `default:"0" help:"After a failure, at most so many runs to find the fewest faults that still fail."`
	Router   string        `type:"existingfile" help:"Program whose command node runs the routers, such as an earlier release; this one by default."`
	Faults   string        `help:"Faults to play in place of the drawn ones, as schedules are printed, set apart by spaces."`
	Routers  int           `help:"Routers in place of the drawn number, 254 at most."`
	Workers  int           `help:"Workers in place of the drawn number, 199 at most."`
	Rate     float64       `help:"Calls a second to each router in place of the drawn rate."`
	Duration time.Duration `help:"Time of the traffic."`
	Deadline time.Duration `help:"Deadline of the calls in place of the drawn one."`
	List     bool          `help:"Print the schedules and play none."`
}

// Run plays the seeds and fails if any of them does.
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
	failed := c.playAll(ctx, faults, options)
	fmt.Printf("%d schedules, %d failed\n", c.Seeds, failed)
	if failed > 0 {
		return errReported
	}
	return nil
}

// schedule returns what a seed draws, with what the flags give in its place.
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

// playAll plays all seeds, some of them at once, and returns how many failed.
func (c *soakCmd) playAll(ctx context.Context, faults []soak.Fault, options soak.Options) (failed int) {
	seeds := make(chan uint64)
	var playing sync.WaitGroup
	var printing sync.Mutex
	for range max(c.Parallel, 1) {
		playing.Go(func() {
			for seed := range seeds {
				passed, lines := c.play(c.schedule(seed, faults), options)
				printing.Lock()
				for _, line := range lines {
					fmt.Println(line)
				}
				if !passed {
					failed++
				}
				printing.Unlock()
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
	playing.Wait()
	return failed
}

// play plays a schedule and returns what to print about it.
func (c *soakCmd) play(schedule soak.Schedule, options soak.Options) (passed bool, lines []string) {
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
			again, err := soak.Run(s, options)
			return err == nil && !again.Passed()
		})
		lines = append(lines, fmt.Sprintf("fewest faults that failed: %v", smallest))
	}
	return false, lines
}
