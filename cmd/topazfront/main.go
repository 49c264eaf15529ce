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

// program defines the commands and flags. Renamed commands and flags keep their former names as aliases.
type program struct {
	Demo       demoCmd       `cmd:"" help:"Run a short scenario with faults on loopback (workers, two routers, streaming clients), then print the results and whether the rules held."`
	Serve      serveCmd      `cmd:"" help:"Run a gateway until SIGTERM or SIGINT; open calls get a final answer before it exits."`
	Node       nodeCmd       `cmd:"" help:"Run one router on the platform until SIGTERM, with the configuration file that GW_CONFIG names."`
	FakeWorker fakeWorkerCmd `cmd:"" aliases:"standin" help:"Run fake workers for trying out a gateway, and write the worker list and the gateway's settings."`
	Scenario   scenarioCmd   `cmd:"" aliases:"day" help:"Run or list scripted scenarios, which use real sockets."`
	Check      checkCmd      `cmd:"" help:"Check settings files or worker lists and print the path of each invalid value."`
	Gossip     gossipCmd     `cmd:"" help:"Gossip between routers about suspected workers: query a running router, generate keys, simulate."`
	Experiment experimentCmd `cmd:"" help:"Run experiments on fake platforms, on loopback."`
	Soak       soakCmd       `cmd:"" help:"Run real routers on a fake platform, on loopback, with faults drawn from a seed, and check the five rules."`
	Call       callCmd       `cmd:"" help:"Make one inference call and print each response message as it arrives."`
	Version    versionCmd    `cmd:"" help:"Print the version."`

	LogLevel  string `enum:"debug,info,warn,error," default:"" help:"Log level (debug, info, warn, error)."`
	LogFormat string `enum:"text,json," default:"" help:"Log format (text, json)."`
}

// errReported makes the program exit with code 1 without a message, as the failure has already been printed.
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

// logger returns a logger that writes to standard error. level and format come from the settings; the flags --log-level
// and --log-format take precedence.
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
