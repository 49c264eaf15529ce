package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// A class that a worker fails is ejected there for a while; other classes are still served by the worker.
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
				t.Error("another class was moved away from the worker too")
			}
			h.advance(30 * time.Second)
			e := h.dispatcher.workers[worker].ejections[h.dispatcher.classes[classNonIdempotent]]
			if h.now < e.until {
				t.Error("the class is still ejected after 30 s")
			}
		})
	}
}

// serveFunctionOn serves functions until a worker has served one, and returns that function.
func (h *harness) serveFunctionOn(worker string) string {
	h.t.Helper()
	for i := 0; ; i++ {
		if function := fmt.Sprintf("g%d", i); h.serveOnce(function, classIdempotent) == worker {
			return function
		}
	}
}

// A worker may leave one class without responses while it serves others. It is heard, so silence detection never
// suspects it: the class must be ejected, and overdue attempts retried elsewhere where that does no harm.
func TestTimedOutClassIsEjectedAndRetriedElsewhere(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	f := &hangingFleet{harness: newHarness(t, s, "a", "b"), attempts: map[RequestID]int{}}
	for range 100 {
		f.requestOf("fsafe", classIdempotent)
		f.requestOf("fonce", classNonIdempotent)
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
	// At 45 requests a second, those of the first second are overdue only once a load could have ended.
	if f.hung == 0 || f.hung > 60 || retried == 0 {
		t.Errorf("%d of 100 requests hung at a, %d were retried", f.hung, retried)
	}
}

// hangingFleet answers every attempt at once, but none of the class classIdempotent at worker a.
type hangingFleet struct {
	*harness
	attempts map[RequestID]int // by request of the class that hangs
	hung     int
}

func (f *hangingFleet) requestOf(function, class string) {
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

// Single requests without a response, with responses between them, must not eject the class.
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

// The timers of a request may fire several times while its attempt is in flight, as it waited for a load report or a
// load before. However often they do, it is one attempt without a response.
func TestAttemptCountsAsOneTimeout(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	h := newHarness(t, s, "a")
	first := h.startAttempt("f", classIdempotent)
	r := h.dispatcher.requests[first.ID]
	for range 2 * timeoutsToEject { // timers set before the attempt was started
		h.dispatcher.setRequestTimer(r, h.now)
	}
	other := h.startAttempt("g", classNonIdempotent) // the worker responds to others meanwhile
	h.now += 10 * time.Millisecond
	h.endAttempt(other, 0, outcomeOf(OK, 10*time.Millisecond))
	h.advance(2 * time.Second)
	e := h.dispatcher.workers["a"].ejections[h.dispatcher.classes[classIdempotent]]
	if e.consecutiveTimeouts != 1 || e.count != 0 {
		t.Errorf("one overdue attempt counts as %d timeouts and ejected the class %d times", e.consecutiveTimeouts, e.count)
	}
}
