package soak

import (
	"testing"
	"time"
)

// TestFloodsStayWithinMemoryLimit guards against a router that is killed because peers fill its memory: clients that send
// empty lines, pings or noise without end, and a worker that sends responses to no request.
func TestFloodsStayWithinMemoryLimit(t *testing.T) {
	t.Parallel()
	s := baseSchedule()
	s.MinServedShare = minServedWithAnyFaults
	s.Faults = []Fault{
		{Kind: ConnectionFlood, At: time.Second, Duration: 6 * time.Second},
		{Kind: WorkerFloods, At: time.Second, Duration: 6 * time.Second, Target: 2},
		{Kind: WorkerFloods, At: 1500 * time.Millisecond, Duration: 5 * time.Second, Target: 3},
	}
	requirePassed(t, s)
}
