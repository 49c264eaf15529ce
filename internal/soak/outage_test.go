package soak

import (
	"testing"
	"time"
)

// TestWorkersDrainWhileDiscoveryIsOutOfReach replays an incident of the users.
//
// What they saw: discovery was out of reach for all routers for longer than the time after which what it would have
// reported counts as notified. Right after the outage began two busy workers began to drain; their processes stayed up.
// From 7.6 s after the begin of the outage on, all routers sent these workers 2,472 attempts and 741 load commands. Each was
// rejected, and the calls were served elsewhere.
//
// Order of events: the list is current; discovery stops answering (connects refused, or polls accepted and never answered);
// two workers drain; the routers go on by the last list; the time passes after which the drains count as notified, and the
// grace; attempts and load commands go on.
//
// Cause: the routers believed the last endpoint list without a limit on its age, and a worker's rejection told them nothing
// of drains. Evidence: the same schedule, with the age of the list and the workers' answers recorded at the sockets.
func TestWorkersDrainWhileDiscoveryIsOutOfReach(t *testing.T) {
	t.Parallel()
	for _, kind := range []FaultKind{DiscoveryRefused, DiscoverySilent} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			s := usualSchedule()
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
