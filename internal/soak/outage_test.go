package soak

import (
	"testing"
	"time"
)

// TestWorkersDrainWhileDiscoveryIsOutOfReach reproduces an incident that users reported. Discovery was out of reach
// for all routers (connections refused, or polls accepted and never answered), and right afterwards two busy workers
// began to drain; their processes stayed up. The outage outlasted the time after which routers count as notified of a
// drain. From 7.6 s after the start of the outage, all routers still sent these workers 2,472 attempts and 741 load
// commands. Each was rejected, and the calls were served elsewhere.
//
// The routers used the last endpoint list without a limit on its age, and did not treat a worker's rejection as a
// sign of a drain.
func TestWorkersDrainWhileDiscoveryIsOutOfReach(t *testing.T) {
	t.Parallel()
	for _, kind := range []FaultKind{DiscoveryRefused, DiscoverySilent} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			s := baseSchedule()
			s.Duration = 13 * time.Second
			s.Faults = []Fault{
				{Kind: kind, At: time.Second, Duration: 11 * time.Second},
				{Kind: WorkerDrained, At: 1050 * time.Millisecond, Duration: 14 * time.Second, Target: 2},
				{Kind: WorkerDrained, At: 1050 * time.Millisecond, Duration: 14 * time.Second, Target: 9},
			}
			requirePassed(t, s)
		})
	}
}
