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
	DiscoveryMoved     FaultKind = "discovery-moved"     // the servers move to other addresses; each router gets SIGHUP
	DiscoveryRestarted FaultKind = "discovery-restarted" // the servers restart and number their events from 1 again
	ClockStepped       FaultKind = "clock-stepped"       // from now on, start times in the list are off by an hour
	WorkerDrained      FaultKind = "worker-drained"      // drains, is removed, and comes back cold at its address
	WorkerKilled       FaultKind = "worker-killed"       // its connections are reset; it comes back cold
	WorkerHung         FaultKind = "worker-hung"         // answers health checks and load commands, but no calls
	WorkerVanished     FaultKind = "worker-vanished"     // answers nothing, not even health checks
	WorkerReplaced     FaultKind = "worker-replaced"     // drains; a worker with another id takes its address
	WorkerMoved        FaultKind = "worker-moved"        // dies; a worker of another cell takes its address and fails keyed calls
	WorkerSlow         FaultKind = "worker-slow"         // requests take ten times as long
	WorkerResets       FaultKind = "worker-resets"       // its connections are reset several times
	WorkerFloods       FaultKind = "worker-floods"       // sends responses to no request without end
	RouterTerminated   FaultKind = "router-terminated"   // SIGTERM, more signals, and the earliest allowed SIGKILL
	RouterKilled       FaultKind = "router-killed"       // SIGKILL
	RouterStopped      FaultKind = "router-stopped"      // SIGSTOP, then SIGCONT
	RouterReloaded     FaultKind = "router-reloaded"     // SIGHUP four times in a row, with the same configuration
	TrafficBurst       FaultKind = "traffic-burst"       // three times as many calls
	ClientsLeave       FaultKind = "clients-leave"       // one client in five closes its connection early
	ConnectionCrowd    FaultKind = "connection-crowd"    // hundreds of connections that send nothing or half a request
	ConnectionFlood    FaultKind = "connection-flood"    // a few connections that send empty lines, pings or noise without end
)

// Fault is one fault of a schedule.
type Fault struct {
	Kind     FaultKind
	At       time.Duration // since the start of the traffic
	Duration time.Duration
	Target   int // index of the worker or router, for kinds that affect a single one
}

func (f Fault) String() string {
	return fmt.Sprintf("%s@%v+%v#%d", f.Kind, f.At.Round(time.Millisecond), f.Duration.Round(time.Millisecond), f.Target)
}

// Schedule describes a run: the fleet, the traffic, the routers' settings and the faults.
type Schedule struct {
	Seed           uint64
	Routers        int
	Workers        int
	CallRate       float64       // calls per second to each router
	Duration       time.Duration // of the traffic
	Settings       Settings
	Faults         []Fault
	MinServedShare float64 // a run fails if a smaller share of the calls is served
	FunctionSkew   float64 // exponent of the functions' Zipf distribution, above 1
}

// Settings are the router settings that vary between schedules.
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

// validate returns an error if a fault's target does not exist or the fleet is too large.
func (s Schedule) validate() error {
	for _, fault := range s.Faults {
		targets := len(s.Faults) + fault.Target + 1 // kinds without a target accept any
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

// concernsDiscovery reports whether routers cannot rely on discovery while the fault lasts.
func (k FaultKind) concernsDiscovery() bool { return strings.HasPrefix(string(k), "discovery-") }
