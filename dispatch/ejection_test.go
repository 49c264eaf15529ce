package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// A class that a worker fails is ejected from it for a while. The worker still serves other classes.
func TestFailingClassIsEjectedAndOthersAreServed(t *testing.T) {
	for name, failure := range map[string]AttemptEnded{
		"error": {Result: Errored, Duration: 40 * time.Millisecond, LoadReport: NoLoadReport},
		"slow rejection with capacity left": {Result: Rejected, Duration: 200 * time.Millisecond,
			LoadReport: inFlightReport(0)},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.WorkersLoadOnMiss, s.LoadCommandsAllowed = true, false
			h := newHarness(t, s, "w1", "w2", "w3")
			worker := h.serveOnce("f", classNonIdempotent)
			other := h.serveFunctionOn(worker)
			h.endAttempt(h.startAttempt(other, classIdempotent), 0,
				AttemptEnded{Duration: 50 * time.Millisecond, LoadReport: inFlightReport(9)})
			h.endAttempt(h.startAttempt("f", classNonIdempotent), 0, failure)
			started := h.startAttempt("f", classNonIdempotent)
			if started.Worker == worker {
				t.Error("attempt started at the worker that the class was ejected from")
			} else {
				h.endAttempt(started, 0, outcomeOf(OK, 50*time.Millisecond))
			}
			h.advance(loadReportTTL) // the report of 9 requests in flight is then out of date
			if h.startAttempt(other, classIdempotent).Worker != worker {
				t.Error("the worker does not serve the other class any more")
			}
			h.advance(30 * time.Second)
			e := h.dispatcher.workers[worker].ejections[h.dispatcher.classes[classNonIdempotent]]
			if h.now < e.until {
				t.Error("the class is still ejected after 30 s")
			}
		})
	}
}

// serveFunctionOn serves new functions until the given worker has served one, and returns that function.
func (h *harness) serveFunctionOn(worker string) string {
	h.t.Helper()
	for i := 0; ; i++ {
		if function := fmt.Sprintf("g%d", i); h.serveOnce(function, classIdempotent) == worker {
			return function
		}
	}
}

// A worker may hang for one class while it serves others. As it still sends responses, the failure detector never
// suspects it. The class must be ejected, and overdue attempts must be retried on other workers where that is harmless.
func TestTimedOutClassIsEjectedAndRetriedElsewhere(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	f := &hangingFleet{harness: newHarness(t, s, "a", "b"), attempts: map[RequestID]int{}}
	for range 100 {
		f.sendRequest("fsafe", classIdempotent)
		f.sendRequest("fonce", classNonIdempotent)
		f.answer(f.advance(20 * time.Millisecond))
	}
	a := f.dispatcher.workers["a"]
	if e := a.ejections[f.dispatcher.classes[classIdempotent]]; f.hung > 0 && e.count == 0 {
		t.Fatalf("%d attempts hung at a, and the class was not ejected", f.hung)
	}
	if a.suspected || a.ejections[f.dispatcher.classes[classNonIdempotent]].count > 0 {
		t.Error("the worker was suspected or its other class ejected")
	}
	retried := 0
	for _, n := range f.attempts {
		if n > 1 {
			retried++
		}
	}
	// At 45 requests per second, those of the first second become overdue only after the time of a load.
	if f.hung == 0 || f.hung > 60 || retried == 0 {
		t.Errorf("%d of 100 requests hung at a, %d were retried", f.hung, retried)
	}
}

// hangingFleet answers every attempt at once, except those of classIdempotent at worker a.
type hangingFleet struct {
	*harness
	attempts map[RequestID]int // by request of classIdempotent
	hung     int
}

func (f *hangingFleet) sendRequest(function, class string) {
	f.t.Helper()
	r := f.newRequest(function, class)
	r.ExpectedWork = 20 * time.Millisecond
	if class == classIdempotent {
		f.attempts[r.ID] = 0
	}
	f.answer(f.step(r))
}

func (f *hangingFleet) answer(actions []Action) {
	f.t.Helper()
	for _, a := range actionsOf[StartAttempt](actions) {
		number, hangs := f.attempts[a.ID]
		if hangs {
			f.attempts[a.ID]++
		}
		if hangs && a.Worker == "a" {
			f.hung++
			continue
		}
		f.now += time.Millisecond
		f.answer(f.endAttempt(a, number, outcomeOf(OK, 20*time.Millisecond)))
	}
}

// Single requests without a response must not eject the class if other requests get responses in between.
func TestResponseResetsConsecutiveTimeouts(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	h := newHarness(t, s, "a", "b")
	for i := range 200 {
		_, actions := h.request("f", classIdempotent)
		for _, a := range actionsOf[StartAttempt](actions) {
			if i%7 == 0 {
				continue // no response
			}
			h.now += time.Millisecond
			h.endAttempt(a, 0, outcomeOf(OK, 20*time.Millisecond))
		}
		h.advance(20 * time.Millisecond)
	}
	for _, w := range h.dispatcher.activeWorkers {
		if e := w.ejections[h.dispatcher.classes[classIdempotent]]; e.count > 0 {
			t.Errorf("the class is ejected from %s, %+v", w.ID, e)
		}
	}
}

// A request that has waited for a load report or a load has several timers, which may fire while its attempt is in
// flight. They must count the attempt as one timeout only.
func TestAttemptCountsAsOneTimeout(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	h := newHarness(t, s, "a")
	first := h.startAttempt("f", classIdempotent)
	r := h.dispatcher.requests[first.ID]
	for range 2 * timeoutsToEject { // timers set before the attempt was started
		h.dispatcher.setRequestTimer(r, h.now)
	}
	other := h.startAttempt("g", classNonIdempotent) // the worker responds to another request
	h.now += 10 * time.Millisecond
	h.endAttempt(other, 0, outcomeOf(OK, 10*time.Millisecond))
	h.advance(2 * time.Second)
	e := h.dispatcher.workers["a"].ejections[h.dispatcher.classes[classIdempotent]]
	if e.consecutiveTimeouts != 1 || e.count != 0 {
		t.Errorf("one overdue attempt counts as %d timeouts and ejected the class %d times", e.consecutiveTimeouts, e.count)
	}
}
