package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/gossip/gossipsim"
)

type gossipSimulateCmd struct {
	Members []int         `default:"50,500" help:"Numbers of routers to simulate."`
	Seeds   int           `default:"1" help:"Number of seeds for each number of routers."`
	Steady  time.Duration `default:"20s" help:"Simulated time over which traffic is measured."`
	After   time.Duration `default:"60s" help:"Simulated time after a router's death in which its detection is measured."`
	Out     string        `type:"path" help:"Folder for the plots (SVG) and the figures (JSON)."`
}

// gcPercent keeps the heap small. With the default, simulations of thousands of members, each of which knows thousands
// of others, would not fit into memory.
const gcPercent = 40

// warmUp is the simulated time before traffic is measured.
const warmUp = 10 * time.Second

// conditions are the network conditions under which each number of routers is simulated.
var conditions = []gossipsim.Trial{{}, {Loss: 0.05}, {SlowShare: 0.1}}

// Run simulates each number of routers under each condition and prints a line for each seed.
func (c *gossipSimulateCmd) Run(ctx context.Context) error {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	var results []gossipsim.Result
	fmt.Println("                     bytes/s msgs/s   peak   update spread   reached   death seen by  wrongly  suspicions    wall")
	fmt.Println("routers  loss  slow                             50%     99%            first     99%     dead   a minute       s")
	for _, members := range c.Members {
		for _, trial := range conditions {
			for seed := range c.Seeds {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				trial.Members, trial.Seed, trial.WarmUp = members, uint64(seed+1), warmUp
				trial.Steady, trial.DetectionWindow = c.Steady, c.After
				result := trial.Run()
				printResult(result)
				results = append(results, result)
				if err := c.save(results); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func printResult(r gossipsim.Result) {
	fmt.Printf("%7d  %4.2f  %4.2f  %7.0f  %5.1f %6.0f %7.3f %7.3f  %7.3f  %6.1f  %6.1f  %7d  %10.1f  %6.1f\n", r.Members,
		r.Loss, r.SlowShare, r.BytesPerSecond, r.MessagesPerSecond, r.PeakBytesPerSecond, r.SpreadTo50, r.SpreadTo99,
		r.Reached, r.FirstDetection, r.DetectionTo99, r.FalseDeaths, r.SuspicionsPerMemberMinute, r.WallSeconds)
}

// save writes the figures and the plots. It is called after each trial, as large simulations take long.
func (c *gossipSimulateCmd) save(results []gossipsim.Result) error {
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	if err := config.WriteJSON(filepath.Join(c.Out, "gossip.json"), results); err != nil {
		return err
	}
	return gossipsim.WritePlots(c.Out, results)
}
