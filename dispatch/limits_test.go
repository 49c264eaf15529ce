package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Late responses lower the fleet limit only if they show that requests queue. They must not do so if the request itself
// takes long, or if it may have waited for a load.
func TestFleetLimitShrinksForQueueingNotForHeavyRequests(t *testing.T) {
	for name, c := range map[string]struct {
		expectedWork time.Duration
		loadTime     time.Duration // workers load on a miss if it is not 0
		shrinks      bool
	}{
		"light":                          {20 * time.Millisecond, 0, true},
		"heavy by its expected work":     {800 * time.Millisecond, 0, false},
		"no longer than a load explains": {20 * time.Millisecond, 1300 * time.Millisecond, false},
		"longer than a load explains":    {20 * time.Millisecond, 900 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.Routers, s.WorkersLoadOnMiss = 100, c.loadTime > 0
			h := newHarness(t, s, "w1", "w2", "w3")
			h.serveOnce("f", classIdempotent)
			before := h.dispatcher.fleetLimit
			h.dispatcher.meanResponseTime = 0.5 // in seconds; a response after 1.2 s is then no outlier
			for range 5 {
				r := h.newRequest("f", classIdempotent)
				r.ExpectedWork, r.LoadTime = c.expectedWork, c.loadTime
				actions := h.step(r)
				h.advance(1200 * time.Millisecond)
				h.endAttempt(h.onlyAttempt(actions), 0, outcomeOf(OK, 1200*time.Millisecond))
			}
			if shrunk := h.dispatcher.fleetLimit < before; shrunk != c.shrinks {
				t.Errorf("fleet limit %.2f, then %.2f; want it to shrink: %v", before, h.dispatcher.fleetLimit, c.shrinks)
			}
		})
	}
}

func TestRequestsBeyondConcurrencyLimitArePendingNewestFirst(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	h := newHarness(t, s, "w1")
	first := h.startAttempt("f", classIdempotent)
	h.step(AttemptEnded{ID: first.ID, Worker: first.Worker, Duration: 50 * time.Millisecond, Final: true})
	var lastStarted RequestID
	attempts := 0
	for range 20 {
		h.now += time.Millisecond
		id, actions := h.request("f", classIdempotent)
		if n := len(actionsOf[StartAttempt](actions)); n > 0 {
			lastStarted, attempts = id, attempts+n
		}
	}
	if attempts < int(initialLimit) || attempts == 20 {
		t.Fatalf("%d of 20 attempts started, want the concurrency limit of %v", attempts, initialLimit)
	}
	actions := h.step(AttemptEnded{ID: lastStarted, Worker: "w1", Duration: 60 * time.Millisecond, Final: true})
	if started := actionsOf[StartAttempt](actions); len(started) == 0 || started[0].ID != h.lastID {
		t.Errorf("%v, want the newest request, %d, first", started, h.lastID)
	}
}

// Pending requests that can no longer meet their latency objective must not take the concurrency of those that can.
// This happened in the heavy-tailed scenarios of abuja-boxes.
func TestPendingRequestsThatCanMeetTheirObjectiveGoFirst(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss, s.Routers = true, 12 // a concurrency limit of one
	h := newHarness(t, s, "w1")
	request := func(expectedWork time.Duration) {
		h.now += time.Millisecond
		r := h.newRequest("f", classIdempotent)
		r.ExpectedWork = expectedWork
		h.step(r)
	}
	request(50 * time.Millisecond)
	h.step(AttemptEnded{ID: 1, Worker: "w1", Duration: 50 * time.Millisecond, Final: true})
	h.dispatcher.workers["w1"].concurrencyLimit = 1
	request(50 * time.Millisecond)
	request(50 * time.Millisecond)
	request(2 * time.Second)
	h.dispatcher.workers["w1"].concurrencyLimit = 1
	actions := h.step(AttemptEnded{ID: 2, Worker: "w1", Duration: 50 * time.Millisecond, Final: true})
	if started := actionsOf[StartAttempt](actions); len(started) == 0 || started[0].ID != 3 {
		t.Errorf("%v, want request 3 first: request 4 cannot meet its objective", started)
	}
}

// A request that is pending at the concurrency limit must be rejected as soon as it cannot meet its latency objective.
// It used to be answered only when its client gave up.
func TestPendingRequestIsShedWhenItMissesItsObjective(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss, s.MaxRetryAfter, s.Routers, s.HedgingAllowed = true, time.Second, 12, false
	h := newHarness(t, s, "w1")
	h.serveOnce("f", classIdempotent)
	h.dispatcher.workers["w1"].concurrencyLimit = 1
	h.dispatcher.meanResponseTime = 10 // in seconds; the attempt in flight is then not overdue
	h.request("f", classIdempotent)
	id, actions := h.request("f", classIdempotent)
	if len(actionsOf[StartAttempt](actions)) > 0 {
		t.Fatal("attempt started beyond the concurrency limit")
	}
	start := h.now
	for len(actionsOf[RejectRequest](actions)) == 0 && h.now < start+3*time.Second {
		h.step(HealthChecked{Worker: "w1", LoadReport: NoLoadReport}) // the worker responds, but stays at its limit
		actions = h.advance(10 * time.Millisecond)
	}
	rejected := actionsOf[RejectRequest](actions)
	if waited := h.now - start; len(rejected) != 1 || rejected[0].ID != id || waited > time.Second {
		t.Errorf("%v after %v, want request %d rejected before its latency objective", rejected, waited, id)
	}
}

// Attempts that never get a response must not use up the fleet limit. In incident i654813, a fifth of the attempts got
// none and used up the router's share of the limit, 1.8 attempts, for the five seconds until their clients gave up. 60%
// of the requests were rejected in that time.
func TestUnansweredAttemptsDoNotUseUpFleetLimit(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss, s.HedgingAllowed, s.Routers = true, false, 60
	h := newHarness(t, s, "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9")
	for i := range 9 {
		h.serveOnce(fmt.Sprintf("f%d", i), classIdempotent)
	}
	limitReached := func() bool {
		return h.dispatcher.inFlight+1 > h.dispatcher.fleetLimit*h.dispatcher.fleetShare
	}
	for range 20 { // none of these requests gets a response
		for i := range 9 {
			h.request(fmt.Sprintf("f%d", i), classIdempotent)
		}
		if limitReached() {
			break
		}
	}
	if !limitReached() {
		t.Fatalf("%.1f attempts in flight, want the limit of %.1f reached", h.dispatcher.inFlight,
			h.dispatcher.fleetLimit*h.dispatcher.fleetShare)
	}
	if actions := h.advance(700 * time.Millisecond); len(actionsOf[StartAttempt](actions)) < 2 {
		t.Errorf("%v, want attempts of the pending requests: those in flight are long overdue", actions)
	}
}
