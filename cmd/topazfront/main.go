// Command topazfront is the gateway and its tools.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/topazfront/topazfront/internal/grpcgateway"
)

// program is the command line. Commands and flags that have been renamed keep their old names as aliases.
type program struct {
	Demo       demoCmd       `cmd:"" help:"Run a short scenario with faults on loopback: workers, two routers, streaming clients; then print the results and the rules."`
	Serve      serveCmd      `cmd:"" help:"Run a gateway until SIGTERM or SIGINT; pending calls get their answers first."`
	Node       nodeCmd       `cmd:"" help:"Run one router on the platform, by the configuration that GW_CONFIG names, until SIGTERM."`
	FakeWorker fakeWorkerCmd `cmd:"" aliases:"standin" help:"Run fake workers and write their list, for trying a gateway."`
	Scenario   scenarioCmd   `cmd:"" aliases:"day" help:"Scripted scenarios over real sockets."`
	Check      checkCmd      `cmd:"" help:"Check a settings file, or a list of workers, and name each wrong value by its path."`
	Gossip     gossipCmd     `cmd:"" help:"Gossip between routers about suspected workers: query a running router, make keys, simulate."`
	Experiment experimentCmd `cmd:"" help:"Experiments on fake platforms, on loopback."`
	Soak       soakCmd       `cmd:"" help:"Real routers on a fake platform, on loopback, under faults that a seed draws; judged by the five rules."`
	Call       callCmd       `cmd:"" help:"Make one inference call and print the answer as it comes."`
	Version    versionCmd    `cmd:"" help:"Print the version."`

	LogLevel  string `enum:"debug,info,warn,error," default:"" help:"Log level (debug, info, warn, error)."`
	LogFormat string `enum:"text,json," default:"" help:"Log format (text, json)."`
}

// errReported ends the program with exit code 1 and no message, as the failure has been printed already.
var errReported = errors.New("failed")

func main() {
	var p program
	k := kong.Parse(&p, kong.Name("topazfront"), kong.UsageOnError(),
		kong.Description("A gateway that runs calls on workers which load functions or models on demand."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	switch err := k.Run(&p); {
	case errors.Is(err, errReported):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "topazfront:", err)
		os.Exit(1)
	}
}

// logger writes to standard error. Flags take precedence over the level and format of the settings.
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
