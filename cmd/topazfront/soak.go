package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"

	"github.com/topazfront/topazfront/internal/soak"
)

type soakCmd struct {
	Seed     uint64 `default:"1" help:"First seed. A seed draws the fleet, its settings and its faults."`
	Seeds    int    `default:"1" help:"How many seeds to play, from the first one on."`
	Parallel int    `default:"2" help:"Schedules to play at once."`
	Shrink   int    `default:"0" help:"After a failure, at most so many runs to find the fewest faults that still fail."`
	Router   string `type:"existingfile" help:"Program whose command node runs the routers, such as an earlier release; this one by default."`
	List     bool   `help:"Print the schedules and play none."`
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
	if c.List {
		for i := range c.Seeds {
			fmt.Println(soak.Draw(c.Seed + uint64(i)))
		}
		return nil
	}
	failed := c.playAll(ctx, options)
	fmt.Printf("%d schedules, %d failed\n", c.Seeds, failed)
	if failed > 0 {
		return errReported
	}
	return nil
}

// playAll plays all seeds, some of them at once, and returns how many failed.
func (c *soakCmd) playAll(ctx context.Context, options soak.Options) (failed int) {
	seeds := make(chan uint64)
	var playing sync.WaitGroup
	var printing sync.Mutex
	for range max(c.Parallel, 1) {
		playing.Go(func() {
			for seed := range seeds {
				passed, lines := c.play(soak.Draw(seed), options)
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
	lines = append(lines, fmt.Sprintf("%s, %d calls, %.3f served, slack %v: %v", result, report.Calls, report.Served, report.Slack, schedule))
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
