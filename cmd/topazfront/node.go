package main

import (
	"context"
	"errors"
	"os"

	"github.com/topazfront/topazfront/internal/httprouter"
)

type nodeCmd struct {
	Config string `env:"GW_CONFIG" help:"The router's configuration (JSON)."`
}

// Run runs a router on the platform until SIGTERM.
func (c nodeCmd) Run(ctx context.Context, p *program) error {
	if c.Config == "" {
		return errors.New("node: no configuration: set GW_CONFIG or --config")
	}
	return httprouter.Run(ctx, c.Config, p.logger(os.Getenv("GW_LOG"), "text"))
}
