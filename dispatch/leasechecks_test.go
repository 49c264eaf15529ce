package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// TestWaitingRequestsDoNotMultiply guards against a router that uses all of its processor time while it is cut off from
// all workers, and answers late: each request that waited for a health check was routed again by its timer and by the end of the
// check, and each time into two more queues.
func TestWaitingRequestsDoNotMultiply(t *testing.T) {
	const (
		workers      = 15
		outage       = 8 * time.Second
		checkTimeout = 250 * time.Millisecond
		callInterval = 100 * time.Millisecond
		callsAtOnce  = 2
	)
	s := testSettings()
	s.WorkersLoadOnMiss, s.DrainGrace, s.MaxRetryAfter = true, testDrainGrace, time.Second
	var ids []string
	for i := range workers {
		ids = append(ids, fmt.Sprint("w", i))
	}
	h := newHarness(t, s, ids...)
	h.step(EndpointListConfirmed{At: h.now})
	h.advance(lossNotificationDelay + testDrainGrace)
	checks := map[time.Duration][]string{} // by the time at which they time out
	selections := h.dispatcher.selectionCount
	requests := 0
	for start := h.now; h.now < start+outage; {
		h.now += harnessTick
		events := []Event{TimerFired{}}
		for _, worker := range checks[h.now] {
			events = append(events, HealthChecked{Worker: worker, Result: TimedOut, Duration: checkTimeout, LoadReport: NoLoadReport})
		}
		if (h.now-start)%callInterval == 0 {
			for range callsAtOnce {
				events = append(events, h.newRequest("f", classIdempotent))
				requests++
			}
		}
		for _, check := range actionsOf[CheckHealth](h.step(events...)) {
			checks[h.now+checkTimeout] = append(checks[h.now+checkTimeout], check.Worker)
		}
	}
	const lifetime = 3 * time.Second
	most := 2 * int(lifetime/pendingBackoff) // twice a routing for each wait, for the ends of checks
	if perRequest := (h.dispatcher.selectionCount - selections) / requests; perRequest > most {
		t.Errorf("each request was routed %d times, want %d at most", perRequest, most)
	} else {
		t.Logf("each request was routed %d times", perRequest)
	}
}

// TestRequestAwaitsOneLeaseCheck checks that a request that gives up waiting for the health check of one worker, and waits
// for that of another, no longer waits for the first.
func TestRequestAwaitsOneLeaseCheck(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.expireListLease()
	h.requireOutcome("check", "the list is out of date")
	h.advance(2 * pendingBackoff)
	waiting := 0
	for _, w := range h.dispatcher.activeWorkers {
		waiting += len(w.lease.awaiting.requests)
	}
	if waiting != 1 {
		t.Errorf("one request waits for %d health checks", waiting)
	}
	h.advance(3 * time.Second)
	for id, w := range h.dispatcher.workers {
		if !w.lease.awaiting.isEmpty() {
			t.Errorf("a request that has ended waits for the health check of %s", id)
		}
	}
}
