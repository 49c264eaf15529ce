package soak

import (
	"testing"
	"time"
)

// TestWorkerOfAnotherCellTakesAddressDuringOutage guards against a call that is idempotent by key and takes effect twice.
// Discovery is out of reach; later most workers die, and workers of another cell take their addresses and fail most keyed
// calls after running them. The routers sent the repeats to the cells of the workers that had died, as their outdated
// list said.
func TestWorkerOfAnotherCellTakesAddressDuringOutage(t *testing.T) {
	t.Parallel()
	for _, kind := range []FaultKind{DiscoveryRefused, DiscoverySilent} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			s := baseSchedule()
			s.Duration = 14 * time.Second
			s.CallRate = 120
			s.MinServedShare = minServedWithAnyFaults
			s.Faults = []Fault{{Kind: kind, At: time.Second, Duration: 13 * time.Second}}
			for target := range s.Workers * 3 / 4 {
				s.Faults = append(s.Faults, Fault{Kind: WorkerMoved, At: time.Second + movedAfter, Duration: 9 * time.Second, Target: target})
			}
			requirePassed(t, s)
		})
	}
}

// TestFaultsWhileEndpointListIsOutdated combines a router's outdated view of the workers with other faults and
// settings: drains, stopped and restarted routers, a move of discovery, no health checks, and short deadlines.
func TestFaultsWhileEndpointListIsOutdated(t *testing.T) {
	t.Parallel()
	const outage = 8 * time.Second
	drain := func(at, lasts time.Duration, worker int) Fault {
		return Fault{Kind: WorkerDrained, At: at, Duration: lasts, Target: worker}
	}
	for _, test := range []struct {
		name   string
		faults []Fault
		change func(*Schedule)
	}{
		{"the process is stopped while a worker begins to drain", []Fault{
			{Kind: RouterStopped, At: 2 * time.Second, Duration: 2 * time.Second},
			drain(2200*time.Millisecond, 4*time.Second, 2),
		}, nil},
		{"a router starts during the outage", []Fault{
			{Kind: DiscoveryRefused, At: time.Second, Duration: outage},
			{Kind: RouterTerminated, At: 2 * time.Second},
			{Kind: RouterKilled, At: 3 * time.Second, Target: 1},
			drain(4500*time.Millisecond, 4*time.Second, 2),
		}, nil},
		{"discovery moves in the middle of its silence", []Fault{
			{Kind: DiscoverySilent, At: time.Second, Duration: outage},
			{Kind: DiscoveryMoved, At: 3 * time.Second},
			drain(3200*time.Millisecond, 4*time.Second, 2),
		}, nil},
		{"a worker drains, ends and returns during the outage", []Fault{
			{Kind: DiscoveryRefused, At: time.Second, Duration: outage},
			drain(1500*time.Millisecond, 2*time.Second, 2),
			{Kind: WorkerKilled, At: 2 * time.Second, Duration: time.Second, Target: 5},
		}, nil},
		{"health checks are not allowed", []Fault{
			{Kind: DiscoveryRefused, At: time.Second, Duration: outage},
			drain(3*time.Second, 4*time.Second, 2),
		}, func(s *Schedule) {
			s.Settings.HealthChecksAllowed = false
			s.MinServedShare = minServedWithoutHealthChecks
		}},
		{"deadlines are short", []Fault{
			{Kind: DiscoverySilent, At: time.Second, Duration: outage},
			drain(3*time.Second, 4*time.Second, 2),
		}, func(s *Schedule) {
			s.Settings.Deadline = 50 * time.Millisecond
			s.MinServedShare = 0.9
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := baseSchedule()
			s.Duration = 10 * time.Second
			s.Faults = test.faults
			if test.change != nil {
				test.change(&s)
			}
			requirePassed(t, s)
		})
	}
}
