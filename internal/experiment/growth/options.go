package growth

import (
	"os/exec"
	"time"
)

// Disruption is how the fleet or its discovery is disrupted during a run.
type Disruption string

// The disruptions.
const (
	Calm    Disruption = "calm"    // no disruption
	Rolling Disruption = "rolling" // half of the workers are replaced over the whole run
	Surge   Disruption = "surge"   // half of the workers are replaced within 7 s
	Outage  Disruption = "outage"  // discovery is unreachable for the middle half of the run
)

// Options are the settings of an experiment.
type Options struct {
	UsualSizes     []int         // numbers of workers that the others are compared with
	Sizes          []int         // numbers of workers that are compared with a usual size
	Disruptions    []Disruption  // there is a run for each of them at each size
	Nodes          int           // number of routers that run; the figures are means over them
	Duration       time.Duration // duration of the traffic in each run
	CallsPerSecond float64       // call rate at each router
	Functions      int           // number of functions that are called, the first ones most often
	MemoryMB       int           // memory limit of each router
	Cores          float64       // processor limit of each router
	Descriptors    int           // file descriptor limit of each router
	Seed           uint64        // seed of the traffic and of the routers

	// NodeCommand returns the command that runs a router with a configuration file. The router logs to standard error
	// in JSON.
	NodeCommand func(configPath string) *exec.Cmd
	// Progress, unless nil, is called every few seconds with a line of text about the run.
	Progress func(line string)
}

// surgeDuration is the time over which half of the workers are replaced in a Surge.
const surgeDuration = 7 * time.Second

// replacedShare is the share of the workers that a disruption replaces.
const replacedShare = 0.5

// replacementDuration returns the time over which workers are replaced. 0 means that no worker is replaced.
func (o Options) replacementDuration(disruption Disruption) time.Duration {
	switch disruption {
	case Rolling:
		return o.Duration
	case Surge:
		return min(surgeDuration, o.Duration)
	case Calm, Outage:
		return 0
	}
	return 0
}
