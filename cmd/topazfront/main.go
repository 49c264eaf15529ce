// Command topazfront is the gateway and its tools.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/baseline"
	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/grpcgateway"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/scenario"
)

// program is the command line.
type program struct {
	Demo    demoCmd    `cmd:"" help:"Play a short bad day on loopback: workers, two routers, streaming clients; then the table and the rules."`
	Serve   serveCmd   `cmd:"" help:"Run a gateway until SIGTERM or SIGINT; calls in hand get their answers first."`
	Node    nodeCmd    `cmd:"" help:"Run one router on the platform, by the configuration that GW_CONFIG names, until SIGTERM."`
	Standin standinCmd `cmd:"" help:"Run stand-in workers and write their list, for trying a gateway."`
	Day     dayCmd     `cmd:"" help:"Scripted days through real sockets."`
	Check   checkCmd   `cmd:"" help:"Check a settings file, or a list of workers, and name each wrong value by its path."`
	Gossip  gossipCmd  `cmd:"" help:"Word between routers of what they suspect of workers: ask a running one, make keys, simulate."`
	Call    callCmd    `cmd:"" help:"Make one inference call and print the answer as it comes."`
	Version versionCmd `cmd:"" help:"Print the version."`

	LogLevel  string `enum:"debug,info,warn,error," default:"" help:"Log level (debug, info, warn, error)."`
	LogFormat string `enum:"text,json," default:"" help:"Log format (text, json)."`
}

// errQuiet ends the program with a failure that has been told already.
var errQuiet = errors.New("failed")

func main() {
	var p program
	k := kong.Parse(&p, kong.Name("topazfront"), kong.UsageOnError(),
		kong.Description("A gateway that runs calls on workers which load functions or models on demand."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	switch err := k.Run(&p); {
	case errors.Is(err, errQuiet):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "topazfront:", err)
		os.Exit(1)
	}
}

// logger writes to standard error; the command line's words go over those of the settings.
func (p *program) logger(level, format string) *slog.Logger {
	if p.LogLevel != "" {
		level = p.LogLevel
	}
	if p.LogFormat != "" {
		format = p.LogFormat
	}
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	o := &slog.HandlerOptions{Level: l}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, o))
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("topazfront", grpcgateway.Version)
	return nil
}

type serveCmd struct {
	Config string `required:"" type:"existingfile" help:"Settings file (JSON)."`
}

func (c serveCmd) Run(ctx context.Context, p *program) error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	g, err := grpcgateway.Start(cfg, grpcgateway.Options{Logger: p.logger(cfg.Log.Level, cfg.Log.Format)})
	if err != nil {
		return err
	}
	<-ctx.Done()
	s := g.Stop()
	fmt.Fprintf(os.Stderr, "calls %d, served %d, refused %d, failed %d, left by clients %d\n", s.Calls, s.Served,
		s.Rejected, s.Failed, s.Cancelled)
	return nil
}

type checkCmd struct {
	Files   []string `arg:"" type:"existingfile" help:"Files to check."`
	Workers bool     `help:"The files are lists of workers."`
}

func (c checkCmd) Run() error {
	bad := false
	for _, f := range c.Files {
		var err error
		if c.Workers {
			var raw []byte
			if raw, err = os.ReadFile(f); err == nil {
				_, err = config.ParseWorkers(f, raw)
			}
		} else {
			_, err = config.Load(f)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			bad = true
			continue
		}
		fmt.Println(f + ": good")
	}
	if bad {
		return errQuiet
	}
	return nil
}

type dayCmd struct {
	Run  dayRunCmd  `cmd:"" help:"Play a day."`
	List dayListCmd `cmd:"" help:"List the days that come with the program, and the kinds of trouble."`
}

type dayListCmd struct{}

func (dayListCmd) Run() error {
	for _, n := range scenario.Names() {
		s, err := scenario.Load(n)
		if err != nil {
			return err
		}
		fmt.Printf("%-12s %v s, %d routers, %d workers, %v calls/s: %s\n", n, s.Length, s.Routers, s.Fleet.Workers,
			s.Traffic.Rate, s.About)
	}
	fmt.Println("\nkinds of trouble:")
	for _, k := range scenario.KindNames() {
		fmt.Printf("  %-16s %s\n", k, scenario.Kinds[k])
	}
	return nil
}

type dayRunCmd struct {
	Day     string   `arg:"" help:"Name of a built-in day, or a file."`
	Report  string   `help:"Write the report as JSON." placeholder:"FILE"`
	Policy  []string `enum:"module,random" default:"module" help:"What decides: the module, or a baseline; several are played in turn (module, random)."`
	Seed    uint64   `help:"Another seed than the day's."`
	Quietly bool     `help:"No live line."`
	Gossip  string   `enum:"script,off" default:"script" help:"Gossip between the routers: as the script has it, or off (script, off)."`
	Calm    bool     `help:"Without the script's troubles."`
}

func (c dayRunCmd) Run(ctx context.Context, p *program) error {
	s, err := scenario.Load(c.Day)
	if err != nil {
		return err
	}
	if c.Seed > 0 {
		s.Seed = c.Seed
	}
	if c.Gossip == "off" {
		s.Gossip = nil
	}
	if c.Calm {
		s.Trouble = nil
	}
	var reports []*scenario.Report
	broken := false
	for _, policy := range c.Policy {
		o := options(ctx, p, c.Quietly)
		if policy == "random" {
			o.Decider = func(s dispatch.Settings, seed uint64) (router.Dispatcher, error) {
				return baseline.NewRandom(s, seed), nil
			}
		}
		r, err := scenario.Play(s, o)
		if err != nil {
			return err
		}
		if !c.Quietly {
			fmt.Fprintln(os.Stderr)
		}
		fmt.Printf("day %s, seed %d, %d routers, %d workers, decided by %s\n\n", s.Name, s.Seed, s.Routers,
			s.Fleet.Workers, policy)
		if err := r.Print(os.Stdout); err != nil {
			return err
		}
		fmt.Println()
		reports = append(reports, r)
		broken = broken || policy == "module" && !r.Kept()
	}
	if c.Report != "" {
		if len(reports) == 1 {
			err = reports[0].Save(c.Report)
		} else if raw, e := json.MarshalIndent(reports, "", "  "); e == nil {
			err = os.WriteFile(c.Report, raw, 0o644)
		}
		if err != nil {
			return err
		}
	}
	if broken {
		return errQuiet
	}
	return nil
}

func options(ctx context.Context, p *program, quietly bool) scenario.Options {
	o := scenario.Options{Stop: ctx.Done()}
	if p.LogLevel != "" {
		o.Log = p.logger("info", "text")
	}
	if !quietly {
		o.Progress = live(os.Stderr)
	}
	return o
}

// live rewrites one line on a terminal, and writes one line in two seconds elsewhere.
func live(f *os.File) func(scenario.Progress) {
	info, err := f.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	var mu sync.Mutex
	n := 0
	return func(p scenario.Progress) {
		mu.Lock()
		defer mu.Unlock()
		if terminal {
			fmt.Fprintf(f, "\r\033[K%s", p.Line())
		} else if n++; n%8 == 0 {
			fmt.Fprintln(f, p.Line())
		}
	}
}

type demoCmd struct {
	Hold   bool   `help:"Keep routers and workers running afterwards, and print the addresses."`
	Report string `help:"Write the report as JSON." placeholder:"FILE"`
}

func (c demoCmd) Run(ctx context.Context, p *program) error {
	s, err := scenario.Load("demo")
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d routers, %d workers, %v calls a second for %v s on loopback\n", s.About, s.Routers,
		s.Fleet.Workers, s.Traffic.Rate, s.Length)
	for _, t := range s.Trouble {
		fmt.Printf("  from %4v s  %-10s %s\n", t.At, t.Kind, scenario.Kinds[t.Kind])
	}
	o := options(ctx, p, false)
	r, err := scenario.Play(s, o)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr)
	fmt.Println()
	if err := r.Print(os.Stdout); err != nil {
		return err
	}
	if c.Report != "" {
		if err := r.Save(c.Report); err != nil {
			return err
		}
	}
	if !r.Kept() {
		return errQuiet
	}
	if c.Hold {
		return hold(ctx, os.Stdout, o)
	}
	return nil
}

// hold runs the demo's fleet without troubles until the program is stopped.
func hold(ctx context.Context, w io.Writer, o scenario.Options) error {
	s, err := scenario.Load("demo")
	if err != nil {
		return err
	}
	s.Trouble, s.Length, s.Traffic.Rate = nil, 600, 1
	o.Progress = nil
	o.Begun = func(r *scenario.Rig) {
		fmt.Fprintln(w, "\nrunning on, with a call a second; stop with Ctrl-C (it ends by itself after ten minutes)")
		for _, a := range r.Addresses() {
			fmt.Fprintf(w, "  topazfront call --address %s --model quote-0 --stream\n", a)
		}
	}
	began := time.Now()
	if _, err = scenario.Play(s, o); err == nil {
		fmt.Fprintf(w, "stopped after %v\n", time.Since(began).Round(time.Second))
	}
	return err
}
