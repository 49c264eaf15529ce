package httprouter

import (
	"testing"
	"time"
)

// Terms of the platform that the tests hold a shutdown to.
const (
	clientsComeFor    = 600 * time.Millisecond // after SIGTERM
	newClientsComeFor = 400 * time.Millisecond // after SIGTERM, on new connections
	acceptedLateness  = 500 * time.Millisecond // of an answer, after its request's deadline: it earns nothing, but isn't lost
	crossedClose      = 50 * time.Millisecond  // a request that crosses a close within this is sent again
)

var testedDeadlines = []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second}

// earliestSIGKILL is when SIGKILL may follow SIGTERM.
func earliestSIGKILL(deadline time.Duration) time.Duration {
	return min(deadline, 3*time.Second) + 700*time.Millisecond
}

// TestShutdownPhases: whatever the longest deadline, the phases follow each other, clients find the router while they
// come, no call is cut short by more than the margin, and time is left to exit before SIGKILL.
func TestShutdownPhases(t *testing.T) {
	for _, deadline := range append(testedDeadlines, 0, time.Hour) {
		t.Run(deadline.String(), func(t *testing.T) {
			p := newShutdownPhases(deadline)
			if p.accepting > p.answering || p.answering >= p.stopping || p.stopping >= p.draining || p.draining >= p.closing {
				t.Errorf("phases out of order: %+v", p)
			}
			if p.draining < clientsComeFor {
				t.Errorf("clients may come until %v and are closed at %v", clientsComeFor, p.draining)
			}
			if p.answering < min(deadline, maxSIGKILLDeadline) {
				t.Errorf("a call in flight at SIGTERM is answered within %v", p.answering)
			}
			if left := earliestSIGKILL(deadline) - p.closing; left < closeMargin {
				t.Errorf("%v left to exit before SIGKILL", left)
			}
		})
	}
}
