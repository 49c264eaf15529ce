package main

import (
	"context"
	"fmt"
	"os"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/grpcgateway"
)

type serveCmd struct {
	Config string `required:"" type:"existingfile" help:"Settings file (JSON)."`
}

// Run runs a gateway until ctx is done, then shuts it down and prints the totals.
func (c serveCmd) Run(ctx context.Context, p *program) error {
	settings, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	gateway, err := grpcgateway.Start(settings, grpcgateway.Options{Logger: p.logger(settings.Log.Level, settings.Log.Format)})
	if err != nil {
		return err
	}
	<-ctx.Done()
	s := gateway.Stop()
	fmt.Fprintf(os.Stderr, "calls %d, served %d, rejected %d, failed %d, cancelled by clients %d\n", s.Calls, s.Served,
		s.Rejected, s.Failed, s.Cancelled)
	return nil
}

type checkCmd struct {
	Files   []string `arg:"" type:"existingfile" help:"Files to check."`
	Workers bool     `help:"Treat the files as worker lists."`
}

// Run checks all files, even if one of them is invalid.
func (c checkCmd) Run() error {
	failed := false
	for _, file := range c.Files {
		if err := c.check(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed = true
			continue
		}
		fmt.Println(file + ": good")
	}
	if failed {
		return errReported
	}
	return nil
}

func (c checkCmd) check(file string) error {
	if !c.Workers {
		_, err := config.Load(file)
		return err
	}
	raw, err := os.ReadFile(file)
	if err == nil {
		_, err = config.ParseWorkers(file, raw)
	}
	return err
}
