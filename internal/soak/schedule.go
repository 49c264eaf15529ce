package soak

import (
	"fmt"
	"strings"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	DiscoveryRefused   FaultKind = "discovery-refused"   // connections are closed and refused
	DiscoverySilent    FaultKind = "discovery-silent"    // polls are accepted and not answered
	DiscoverySlow      FaultKind = "discovery-slow"      // responses take 2 s
	DiscoveryCut       FaultKind = "discovery-cut"       // responses end in the middle of an event
	DiscoveryGarbage   FaultKind = "discovery-garbage"   // responses are not JSON
	DiscoveryCrowded   FaultKind = "discovery-crowded"   // seven of eight polls get status 503
	DiscoveryMoved     FaultKind = "discovery-moved"     // to another address, with SIGHUP to every router
	DiscoveryRestarted FaultKind = "discovery-restarted" // it numbers its events from 1 again
	ClockStepped       FaultKind = "clock-stepped"       // start times in the list are off by an hour from now on
	WorkerDrained      FaultKind = "worker-drained"      // drains, is removed, and comes back cold at its address
	WorkerKilled       FaultKind = "worker-killed"       // its connections are reset; it comes back cold
	WorkerHung         FaultKind = "worker-hung"         // accepts requests and answers nothing
	WorkerVanished     FaultKind = "worker-vanished"     // its connections fall silent, health checks too
	WorkerReplaced     FaultKind = "worker-replaced"     // by another one, with another id, at its address
	WorkerSlow         FaultKind = "worker-slow"         // requests take ten times as long
	WorkerResets       FaultKind = "worker-resets"       // its connections are reset several times
	RouterTerminated   FaultKind = "router-terminated"   // SIGTERM, more signals, and SIGKILL as early as the platform may send it
	RouterKilled       FaultKind = "router-killed"       // SIGKILL
	RouterStopped      FaultKind = "router-stopped"      // SIGSTOP, then SIGCONT
	RouterReloaded     FaultKind = "router-reloaded"     // SIGHUP four times in a row, with the same configuration
	TrafficBurst       FaultKind = "traffic-burst"       // three times as many calls
	ClientsLeave       FaultKind = "clients-leave"       // one client in five closes its connection early
	ConnectionCrowd    FaultKind = "connection-crowd"    // hundreds of connections to a router that send nothing or half a request
)

// Fault is one fault of a schedule.
type Fault struct {
	Kind     FaultKind
	At       time.Duration // since the traffic began
	Duration time.Duration
	Target   int // index of the worker or router that is concerned, if one is
}

func (f Fault) String() string {
	return fmt.Sprintf("%s@%v+%v#%d", f.Kind, f.At.Round(time.Millisecond), f.Duration.Round(time.Millisecond), f.Target)
}

// Schedule is what a run plays.
type Schedule struct {
	Seed           uint64
	Routers        int
	Workers        int
	CallRate       float64       // calls a second to each router
	Duration       time.Duration // of the traffic
	Settings       Settings
	Faults         []Fault
	MinServedShare float64 // the share of the calls that has to be served
	FunctionSkew   float64 // exponent of the functions' Zipf distribution, above 1
}

// Settings are what the routers are told, as far as schedules differ in it.
type Settings struct {
	DrainGrace          time.Duration
	Deadline            time.Duration // of every call and class
	HealthChecksAllowed bool
}

func (s Schedule) String() string {
	faults := make([]string, len(s.Faults))
	for i, fault := range s.Faults {
		faults[i] = fault.String()
	}
	return fmt.Sprintf("seed %d: %d routers, %d workers, %.0f calls/s each, %v, drain grace %v, deadline %v, health checks %v: %s",
		s.Seed, s.Routers, s.Workers, s.CallRate, s.Duration, s.Settings.DrainGrace, s.Settings.Deadline,
		s.Settings.HealthChecksAllowed, strings.Join(faults, " "))
}

// validate returns an error if a fault has a target that the fleet lacks.
func (s Schedule) validate() error {
	for _, fault := range s.Faults {
		targets := len(s.Faults) + fault.Target + 1 // any
		switch group, _, _ := strings.Cut(string(fault.Kind), "-"); group {
		case "worker":
			targets = s.Workers
		case "router", "connection":
			targets = s.Routers
		}
		if fault.Target < 0 || fault.Target >= targets {
			return fmt.Errorf("soak: %v: no such target", fault)
		}
	}
	if s.Routers > maxRouters || s.Workers > maxWorkers {
		return fmt.Errorf("soak: %d routers and %d workers, at most %d and %d", s.Routers, s.Workers, maxRouters, maxWorkers)
	}
	return nil
}

// concernsDiscovery reports whether routers can't rely on discovery while the fault lasts.
func (k FaultKind) concernsDiscovery() bool { return strings.HasPrefix(string(k), "discovery-") }
