package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/topazfront/topazfront/internal/scenario"
)

const demoScenario = "demo"

// With --hold, a scenario without faults and with little traffic follows the demo. It has the maximum length of a
// scenario.
const (
	holdSeconds        = 600
	holdCallsPerSecond = 1
)

type demoCmd struct {
	Hold   bool   `help:"After the demo, run its routers and workers again without faults, and print the routers' addresses."`
	Report string `help:"Write the report as JSON to this file." placeholder:"FILE"`
}

// Run runs the demo scenario. It fails if a rule was violated.
func (c demoCmd) Run(ctx context.Context, p *program) error {
	s, err := scenario.Load(demoScenario)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d routers, %d workers, %v calls a second for %v s on loopback\n", s.Description, s.Routers,
		s.Fleet.Workers, s.Traffic.CallsPerSecond, s.Length)
	for _, f := range s.Faults {
		fmt.Printf("  from %4v s  %-10s %s\n", f.Start, f.Kind, scenario.FaultDescription(f.Kind))
	}
	options := scenarioOptions(ctx, p, false)
	report, err := scenario.Run(s, options)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr)
	fmt.Println()
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if c.Report != "" {
		if err := report.Save(c.Report); err != nil {
			return err
		}
	}
	if !report.RulesSatisfied() {
		return errReported
	}
	if c.Hold {
		return holdDemo(options)
	}
	return nil
}

// holdDemo runs the demo's fleet without faults until the program is stopped or holdSeconds have passed.
func holdDemo(options scenario.Options) error {
	s, err := scenario.Load(demoScenario)
	if err != nil {
		return err
	}
	s.Faults, s.Length, s.Traffic.CallsPerSecond = nil, holdSeconds, holdCallsPerSecond
	options.Progress = nil
	options.Started = func(h *scenario.Harness) {
		fmt.Println("\nrunning on, with a call a second; stop with Ctrl-C (it ends by itself after ten minutes)")
		for _, address := range h.Addresses() {
			fmt.Printf("  topazfront call --address %s --model quote-0 --stream\n", address)
		}
	}
	startedAt := time.Now()
	if _, err := scenario.Run(s, options); err != nil {
		return err
	}
	fmt.Printf("stopped after %v\n", time.Since(startedAt).Round(time.Second))
	return nil
}
