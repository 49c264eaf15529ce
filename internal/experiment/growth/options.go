package growth

import (
	"os/exec"
	"time"
)

// Disruption is what happens to the fleet during a run.
type Disruption string

// The disruptions.
const (
	Calm    Disruption = "calm"    // nothing
	Rolling Disruption = "rolling" // half of the workers are replaced over the whole run
	Surge   Disruption = "surge"   // half of the workers are replaced within 7 s
	Outage  Disruption = "outage"  // discovery is out of reach for the middle half of the run
)

// Options are the settings of an experiment.
type Options struct {
	UsualSizes     []int         // numbers of workers that the others are compared with
	Sizes          []int         // numbers of workers that are judged
	Disruptions    []Disruption  // each is a run of its own at each size
	Nodes          int           // routers that run; the figures are the mean of theirs
	Duration       time.Duration // of the traffic of a run
	CallsPerSecond float64       // to each router
	Functions      int           // functions that are called, the first ones most often
	MemoryMB       int           // limit of a router
	Cores          float64       // limit of a router
	Descriptors    int           // limit of a router
	Seed           uint64        // of the traffic and of the routers

	// NodeCommand returns the command that runs a router by a configuration file. It logs to standard error, in JSON.
	NodeCommand func(configPath string) *exec.Cmd
	// Progress, unless nil, is called every few seconds with a line of text.
	Progress func(line string)
}

// surgeDuration is the time in which half of the workers are replaced in a Surge.
const surgeDuration = 7 * time.Second

// replacedShare is the share of the workers that a disruption replaces.
const replacedShare = 0.5

// replacementDuration returns the time over which workers are replaced, 0 for none.
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
