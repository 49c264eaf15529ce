package httprouter

import (
	"testing"
	"time"
)

// Limits of the platform on a shutdown.
const (
	clientSendPeriod = 600 * time.Millisecond // clients send requests for this long after SIGTERM
	newConnPeriod    = 400 * time.Millisecond // clients open connections for this long after SIGTERM
	allowedLateness  = 500 * time.Millisecond // an answer within this after its deadline has no value, but is not lost
	closeRaceWindow  = 50 * time.Millisecond  // a client resends a request if its connection ends within this time
)

var testedDeadlines = []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second}

// earliestSIGKILL returns the time from SIGTERM to the earliest SIGKILL.
func earliestSIGKILL(deadline time.Duration) time.Duration {
	return min(deadline, 3*time.Second) + 700*time.Millisecond
}

// TestShutdownPhases checks for several longest deadlines that the phases are in order, that connections stay open
// while clients may send, that calls in flight at SIGTERM have time until their deadline, and that the process can exit
// before SIGKILL.
func TestShutdownPhases(t *testing.T) {
	for _, deadline := range append(testedDeadlines, 0, time.Hour) {
		t.Run(deadline.String(), func(t *testing.T) {
			p := newShutdownPhases(deadline)
			if p.accepting > p.answering || p.answering >= p.stopping || p.stopping >= p.draining || p.draining >= p.closing {
				t.Errorf("phases out of order: %+v", p)
			}
			if p.draining < clientSendPeriod {
				t.Errorf("clients may send until %v, connections are closed at %v", clientSendPeriod, p.draining)
			}
			if p.answering < min(deadline, maxSIGKILLDeadline) {
				t.Errorf("a call in flight at SIGTERM has only %v", p.answering)
			}
			if left := earliestSIGKILL(deadline) - p.closing; left < closeMargin {
				t.Errorf("%v left to exit before SIGKILL", left)
			}
		})
	}
}
