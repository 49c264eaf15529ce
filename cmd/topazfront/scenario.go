package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/baseline"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/scenario"
)

type scenarioCmd struct {
	Run  scenarioRunCmd  `cmd:"" help:"Run a scenario."`
	List scenarioListCmd `cmd:"" help:"List the built-in scenarios and the kinds of faults."`
}

type scenarioListCmd struct{}

func (scenarioListCmd) Run() error {
	for _, name := range scenario.Names() {
		s, err := scenario.Load(name)
		if err != nil {
			return err
		}
		fmt.Printf("%-12s %v s, %d routers, %d workers, %v calls/s: %s\n", name, s.Length, s.Routers, s.Fleet.Workers,
			s.Traffic.CallsPerSecond, s.Description)
	}
	fmt.Println("\nkinds of fault (share is the key part of a scenario file, magnitude the key size):")
	for _, kind := range scenario.FaultKindNames() {
		fmt.Printf("  %-16s %s\n", kind, scenario.FaultDescription(kind))
	}
	return nil
}

// Values of the flag --policy.
const (
	policyModule = "module"
	policyRandom = "random"
)

// gossipOff is the value of the flag --gossip that turns gossip off.
const gossipOff = "off"

type scenarioRunCmd struct {
	Scenario string   `arg:"" help:"Name of a built-in scenario, or a file."`
	Report   string   `help:"Write the report as JSON to this file." placeholder:"FILE"`
	Policy   []string `enum:"module,random" default:"module" help:"Policies that make the dispatch decisions: the dispatch module, or random decisions as a baseline. Several are run one after another (module, random)."`
	Seed     uint64   `help:"Seed to use instead of the scenario's."`
	Quiet    bool     `aliases:"quietly" help:"Print no progress."`
	Gossip   string   `enum:"script,off" default:"script" help:"Gossip between the routers: as the scenario defines it, or off (script, off)."`
	NoFaults bool     `aliases:"calm" help:"Run without the scenario's faults."`
}

// Run runs the scenario under each policy. It fails if the module violates a rule. A baseline may violate rules.
func (c scenarioRunCmd) Run(ctx context.Context, p *program) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	var reports []*scenario.Report
	violated := false
	for _, policy := range c.Policy {
		report, err := c.runPolicy(ctx, p, s, policy)
		if err != nil {
			return err
		}
		reports = append(reports, report)
		violated = violated || policy == policyModule && !report.RulesSatisfied()
	}
	if c.Report != "" {
		if err := saveReports(c.Report, reports); err != nil {
			return err
		}
	}
	if violated {
		return errReported
	}
	return nil
}

func (c scenarioRunCmd) load() (*scenario.Scenario, error) {
	s, err := scenario.Load(c.Scenario)
	if err != nil {
		return nil, err
	}
	if c.Seed > 0 {
		s.Seed = c.Seed
	}
	if c.Gossip == gossipOff {
		s.Gossip = nil
	}
	if c.NoFaults {
		s.Faults = nil
	}
	return s, nil
}

func (c scenarioRunCmd) runPolicy(ctx context.Context, p *program, s *scenario.Scenario, policy string) (*scenario.Report, error) {
	o := scenarioOptions(ctx, p, c.Quiet)
	if policy == policyRandom {
		o.NewDispatcher = func(settings dispatch.Settings, seed uint64) (router.Dispatcher, error) {
			return baseline.NewRandom(settings, seed), nil
		}
	}
	report, err := scenario.Run(s, o)
	if err != nil {
		return nil, err
	}
	if !c.Quiet {
		fmt.Fprintln(os.Stderr)
	}
	fmt.Printf("scenario %s, seed %d, %d routers, %d workers, decided by %s\n\n", s.Name, s.Seed, s.Routers,
		s.Fleet.Workers, policy)
	if err := report.Print(os.Stdout); err != nil {
		return nil, err
	}
	fmt.Println()
	return report, nil
}

// saveReports writes a single report as a JSON object, and several as an array.
func saveReports(path string, reports []*scenario.Report) error {
	if len(reports) == 1 {
		return reports[0].Save(path)
	}
	raw, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}

// scenarioOptions returns options that end the scenario early if ctx is done. The routers log only if --log-level is
// set.
func scenarioOptions(ctx context.Context, p *program, quiet bool) scenario.Options {
	o := scenario.Options{Stop: ctx.Done()}
	if p.LogLevel != "" {
		o.Logger = p.logger("info", "text")
	}
	if !quiet {
		o.Progress = progressPrinter(os.Stderr)
	}
	return o
}

// progressReportsPerLine is the number of progress reports for each line that is written if the output is not a
// terminal: a line about every two seconds.
const progressReportsPerLine = 8

// progressPrinter returns a function that prints progress reports. On a terminal each report overwrites the one before.
// Elsewhere one of progressReportsPerLine reports is written as a line.
func progressPrinter(file *os.File) func(scenario.Progress) {
	info, err := file.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	var mu sync.Mutex
	reports := 0
	return func(p scenario.Progress) {
		mu.Lock()
		defer mu.Unlock()
		line := p.Line() + "\n"
		if terminal {
			line = "\r\033[K" + p.Line()
		} else if reports++; reports%progressReportsPerLine != 0 {
			return
		}
		_, _ = file.WriteString(line) // a failure to print progress must not end the scenario
	}
}
