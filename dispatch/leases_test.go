package dispatch

import (
	"testing"
	"time"
)

// leaseHarness is a router in a fleet of three workers that load functions by themselves, whose endpoint list was confirmed
// when the test began and not since.
type leaseHarness struct {
	*harness
	confirmedAt time.Duration
}

const testDrainGrace = 500 * time.Millisecond

func newLeaseHarness(t *testing.T, change func(*Settings)) *leaseHarness {
	t.Helper()
	s := testSettings()
	s.WorkersLoadOnMiss = true
	s.DrainGrace = testDrainGrace
	s.MaxRetryAfter = time.Second
	if change != nil {
		change(&s)
	}
	h := &leaseHarness{harness: newHarness(t, s, "w1", "w2", "w3")}
	h.confirm()
	return h
}

func (h *leaseHarness) confirm() []Action {
	h.confirmedAt = h.now
	return h.step(EndpointListConfirmed{At: h.now})
}

// passLease lets time pass until the lease of the list is over.
func (h *leaseHarness) passLease() { h.advance(lossNotifiedAfter + testDrainGrace) }

// outcome says what a request led to: "attempt", "check" or "rejected".
func outcome(actions []Action) string {
	switch {
	case len(actionsOf[StartAttempt](actions)) > 0:
		return "attempt"
	case len(actionsOf[CheckHealth](actions)) > 0:
		return "check"
	case len(actionsOf[RejectRequest](actions)) > 0:
		return "rejected"
	default:
		return "nothing"
	}
}

func (h *leaseHarness) requireOutcome(want, why string) []Action {
	h.t.Helper()
	_, actions := h.request("f", classIdempotent)
	if got := outcome(actions); got != want {
		h.t.Errorf("%s: %s, want %s", why, got, want)
	}
	return actions
}

// TestListLeaseEnds holds how long the endpoint list is believed after it was last confirmed, by what happens to it.
func TestListLeaseEnds(t *testing.T) {
	const lease = testDrainGrace - leaseMargin
	for _, test := range []struct {
		name  string
		event func(h *leaseHarness) // 1 s after the list was confirmed
		end   time.Duration         // of the lease, since then
	}{
		{"the list is lost", func(*leaseHarness) {}, lossNotifiedAfter + lease},
		{"it is asked for again", func(h *leaseHarness) { h.step(EndpointListRequested{At: h.now}) }, time.Second + lease},
		{"it is asked for again, several times", func(h *leaseHarness) {
			h.step(EndpointListRequested{At: h.now})
			h.advance(100 * time.Millisecond)
			h.step(EndpointListRequested{At: h.now})
		}, time.Second + lease},
		{"it is confirmed again", func(h *leaseHarness) { h.confirm() }, time.Second + lossNotifiedAfter + lease},
		{"it is confirmed late, for a time long ago", func(h *leaseHarness) {
			h.step(EndpointListConfirmed{At: h.confirmedAt + 100*time.Millisecond})
		}, 100*time.Millisecond + lossNotifiedAfter + lease},
		{"asked for again and confirmed", func(h *leaseHarness) {
			h.step(EndpointListRequested{At: h.now})
			h.now += 10 * time.Millisecond
			h.confirm()
		}, time.Second + 10*time.Millisecond + lossNotifiedAfter + lease},
		{"asked for again and answered with events", func(h *leaseHarness) {
			h.step(EndpointListRequested{At: h.now})
			h.step(EndpointListConfirmed{At: h.now})
		}, time.Second + lossNotifiedAfter + lease},
		{"asked for again twice, and the first question is answered late", func(h *leaseHarness) {
			first := h.now
			h.step(EndpointListRequested{At: first})
			h.advance(200 * time.Millisecond)
			h.step(EndpointListRequested{At: h.now})
			h.advance(200 * time.Millisecond)
			h.step(EndpointListConfirmed{At: first})
		}, time.Second + 200*time.Millisecond + lease},
		{"confirmed for a time to come", func(h *leaseHarness) {
			h.step(EndpointListConfirmed{At: h.now + time.Hour})
		}, time.Second + lossNotifiedAfter + lease},
		{"the process is paused", func(h *leaseHarness) {
			h.now += testDrainGrace
			h.step()
		}, lease},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newLeaseHarness(t, nil)
			start := h.confirmedAt
			h.advance(time.Second)
			test.event(h)
			if got := h.dispatcher.listLeaseEnd() - start; got != test.end {
				t.Errorf("lease ends %v after the list was confirmed, want %v", got, test.end)
			}
		})
	}
}

// TestUnreportedListIsBelieved checks that a caller which does not report on the list is not bothered by its age.
func TestUnreportedListIsBelieved(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	h := newHarness(t, s, "w1", "w2")
	h.advance(time.Minute)
	_, actions := h.request("f", classIdempotent)
	if started := h.onlyAttempt(actions); started.SendBefore != 0 {
		t.Errorf("to be sent before %v", started.SendBefore)
	}
}

// TestSendIsDecidedAnewAfterDrainGrace checks the time limits of sends, while the list is believed and at its lease's end.
func TestSendIsDecidedAnewAfterDrainGrace(t *testing.T) {
	h := newLeaseHarness(t, nil)
	if got := h.startAttempt("f", classIdempotent).SendBefore - h.now; got != testDrainGrace-leaseMargin {
		t.Errorf("to be sent within %v", got)
	}
	h.advance(lossNotifiedAfter + testDrainGrace - leaseMargin - harnessTick)
	if got := h.startAttempt("g", classIdempotent).SendBefore; got != h.dispatcher.listLeaseEnd() {
		t.Errorf("to be sent before %v, the list's lease ends at %v", got, h.dispatcher.listLeaseEnd())
	}
}

// TestSendHasTimeToConnectInShortGrace has settings that give hardly any drain grace. A send still has the time of a connect
// while the list is believed.
func TestSendHasTimeToConnectInShortGrace(t *testing.T) {
	h := newLeaseHarness(t, func(s *Settings) { s.DrainGrace = time.Millisecond })
	if got := h.startAttempt("f", classIdempotent).SendBefore - h.now; got != minSendWindow {
		t.Errorf("to be sent within %v", got)
	}
}

// TestWithoutDrainGraceListIsBelieved has settings without a drain grace, and so without a rule on drains, and without health
// checks. Requests are served however old the list is.
func TestWithoutDrainGraceListIsBelieved(t *testing.T) {
	h := newLeaseHarness(t, func(s *Settings) {
		s.DrainGrace = 0
		s.HealthChecksAllowed = false
	})
	h.step(EndpointListRequested{At: h.now})
	h.advance(time.Minute)
	if started := h.startAttempt("f", classIdempotent); started.SendBefore != 0 {
		t.Errorf("to be sent before %v", started.SendBefore)
	}
}

// TestOneCheckServesAllRequests has requests come while the list is out of date. One health check is made for them; when
// the worker is ready all are forwarded to it, and within its lease further requests need no check.
func TestOneCheckServesAllRequests(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.passLease()
	checks := actionsOf[CheckHealth](h.requireOutcome("check", "the first request"))
	h.requireOutcome("nothing", "the second, while the check is under way")
	h.now += 2 * time.Millisecond
	actions := h.step(HealthChecked{Worker: checks[0].Worker, Duration: 2 * time.Millisecond, LoadReport: NoLoadReport})
	if started := actionsOf[StartAttempt](actions); len(started) != 2 || started[0].Worker != checks[0].Worker {
		t.Fatalf("%v, want both requests at %s", actions, checks[0].Worker)
	}
	h.requireOutcome("attempt", "within the lease")
	h.advance(testDrainGrace)
	h.requireOutcome("check", "after the lease")
}

// TestDrainingWorkerIsPassedOver has the first worker that is checked answer that it drains. The next is checked.
func TestDrainingWorkerIsPassedOver(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.passLease()
	first := actionsOf[CheckHealth](h.requireOutcome("check", "the request"))[0].Worker
	actions := h.step(HealthChecked{Worker: first, Draining: true, LoadReport: NoLoadReport},
		EndpointUpdate{Endpoints: []Endpoint{{ID: first, Kind: "big", State: EndpointDraining}}})
	checks := actionsOf[CheckHealth](actions)
	if len(checks) != 1 || checks[0].Worker == first {
		t.Errorf("%v, want a check of another worker than %s", actions, first)
	}
}

// TestUnansweredCheckDoesNotHoldRequest has the first worker not answer its health check. Another is checked while the
// request has most of its time left, also where that is short.
func TestUnansweredCheckDoesNotHoldRequest(t *testing.T) {
	for _, deadline := range []time.Duration{50 * time.Millisecond, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			h := newLeaseHarness(t, nil)
			h.passLease()
			request := h.newRequest("f", classIdempotent)
			request.RemainingDeadline = deadline
			request.ExpectedWork = 5 * time.Millisecond
			first := actionsOf[CheckHealth](h.step(request))[0].Worker
			checks := actionsOf[CheckHealth](h.advance(40 * time.Millisecond))
			if len(checks) == 0 || checks[0].Worker == first {
				t.Errorf("%v, want a check of another worker than %s", checks, first)
			}
		})
	}
}

// TestWhatRenewsLease holds which ends of an attempt show, and from when, that a worker does not drain. The attempt starts
// 300 ms before the lease of the list ends and ends 100 ms after that.
func TestWhatRenewsLease(t *testing.T) {
	for name, test := range map[string]struct {
		result Result
		renews bool
	}{
		"served":             {OK, true},
		"rejected":           {Rejected, false},
		"error":              {Errored, false},
		"not resident":       {NotResident, false},
		"connection reset":   {ConnectionReset, false},
		"timed out":          {TimedOut, false},
		"cancelled":          {Cancelled, false},
		"not sent":           {NotSent, false},
		"connection refused": {ConnectFailed, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLeaseHarness(t, nil)
			h.advance(lossNotifiedAfter + testDrainGrace - leaseMargin - 300*time.Millisecond)
			started := h.startAttempt("f", classIdempotent)
			startedAt := h.now
			h.advance(400 * time.Millisecond)
			h.endAttempt(started, 0, outcomeOf(test.result, 400*time.Millisecond))
			w := h.dispatcher.workers[started.Worker]
			if got := h.dispatcher.holdsLease(w); got != test.renews {
				t.Errorf("holds a lease: %v, want %v", got, test.renews)
			}
			if want := startedAt + testDrainGrace - leaseMargin; test.renews && h.dispatcher.leaseEnd(w) != want {
				t.Errorf("lease ends at %v, want %v: it counts from the attempt's start", h.dispatcher.leaseEnd(w), want)
			}
		})
	}
}

// TestRejectionEndsLease has a worker serve a request and reject the next while the list is out of date: it may drain, and
// is checked before it gets anything else.
func TestRejectionEndsLease(t *testing.T) {
	for name, reject := range map[string]func(h *leaseHarness, worker string) []Action{
		"an attempt": func(h *leaseHarness, _ string) []Action {
			return h.endAttempt(h.startAttempt("f", classIdempotent), 0, outcomeOf(Rejected, time.Millisecond))
		},
		"a load command": func(h *leaseHarness, worker string) []Action {
			return h.step(FunctionLoaded{Worker: worker, Function: "f", Result: Rejected})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLeaseHarness(t, nil)
			h.passLease()
			check := actionsOf[CheckHealth](h.requireOutcome("check", "the first request"))[0]
			h.step(HealthChecked{Worker: check.Worker, LoadReport: NoLoadReport})
			reject(h, check.Worker)
			if w := h.dispatcher.workers[check.Worker]; h.dispatcher.holdsLease(w) {
				t.Error("the worker still holds a lease")
			}
		})
	}
}

// TestNoLoadCommandWithoutLease checks that a worker without a lease gets no load command, for whatever reason.
func TestNoLoadCommandWithoutLease(t *testing.T) {
	h := newLeaseHarness(t, func(s *Settings) { s.WorkersLoadOnMiss = false })
	h.startAttempt("f", classIdempotent)
	h.passLease()
	d := h.dispatcher
	if d.commandLoad(d.functions["f"], d.workers["w2"], 1, LoadForRequest) {
		t.Error("a load command was sent")
	}
}

// TestWithoutHealthChecks has settings that allow no health checks. What workers serve renews their leases; once none is
// left, requests are rejected at once, with advice when to retry.
func TestWithoutHealthChecks(t *testing.T) {
	h := newLeaseHarness(t, func(s *Settings) { s.HealthChecksAllowed = false })
	const step = 200 * time.Millisecond
	for range 25 { // far beyond the lease of the list
		started := h.startAttempt("f", classIdempotent)
		h.advance(step)
		h.endAttempt(started, 0, outcomeOf(OK, step))
	}
	if h.dispatcher.listIsCurrent() {
		t.Fatal("the list is still believed")
	}
	h.advance(testDrainGrace)
	actions := h.requireOutcome("rejected", "no lease is left")
	if rejected := actionsOf[RejectRequest](actions); rejected[0].RetryAfter <= 0 {
		t.Error("no advice when to retry")
	}
}

// TestReturnOfLostWorkerIsSlowStart has contact with a worker lost and found again. If that happens while the endpoint list
// can't tell of a restart, the worker goes through slow start; the list ends that if it says otherwise.
func TestReturnOfLostWorkerIsSlowStart(t *testing.T) {
	for name, test := range map[string]struct {
		lost      Event
		confirmed bool // the list was confirmed after contact was lost
		slowStart bool
	}{
		"connection refused":           {HealthChecked{Worker: "w2", Result: ConnectFailed}, false, true},
		"connection reset":             {HealthChecked{Worker: "w2", Result: ConnectionReset}, false, true},
		"idle connection lost":         {ConnectionLost{Worker: "w2"}, false, true},
		"drained":                      {HealthChecked{Worker: "w2", Draining: true}, false, true},
		"not answered":                 {HealthChecked{Worker: "w2", Result: TimedOut}, false, false},
		"the list was confirmed since": {ConnectionLost{Worker: "w2"}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLeaseHarness(t, nil)
			h.serveOnce("f", classIdempotent)
			h.advance(time.Second)
			h.step(test.lost)
			h.advance(harnessTick)
			if test.confirmed {
				h.confirm()
			}
			h.passLease()
			h.step(HealthChecked{Worker: "w2", LoadReport: NoLoadReport})
			w := h.dispatcher.workers["w2"]
			if w.warmingUp != test.slowStart {
				t.Errorf("in slow start: %v, want %v", w.warmingUp, test.slowStart)
			}
			h.step(EndpointUpdate{Endpoints: []Endpoint{{ID: "w2", Kind: "big"}}})
			if w.warmingUp {
				t.Error("still in slow start after the list said that it was not restarted")
			}
		})
	}
}

// TestLostWorkerReturnsBeforeListExpires has a worker return while the list is still believed. The slow start begins when
// the list is no longer believed.
func TestLostWorkerReturnsBeforeListExpires(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.advance(time.Second)
	h.step(HealthChecked{Worker: "w2", Result: ConnectionReset, LoadReport: NoLoadReport})
	h.advance(time.Second)
	h.step(HealthChecked{Worker: "w2", LoadReport: NoLoadReport})
	w := h.dispatcher.workers["w2"]
	if w.warmingUp {
		t.Error("in slow start while the list is believed")
	}
	h.advance(time.Second)
	if !w.warmingUp {
		t.Error("not in slow start when the list is no longer believed")
	}
}

// TestListStateIsReported checks that each change of whether the list is believed is reported, once.
func TestListStateIsReported(t *testing.T) {
	h := newLeaseHarness(t, nil)
	const outage = 10 * time.Second
	expired := actionsOf[EndpointListStateChanged](h.advance(outage))
	if len(expired) != 1 || expired[0].Current || expired[0].Age < lossNotifiedAfter {
		t.Errorf("%v, want one report that the list is out of date", expired)
	}
	current := actionsOf[EndpointListStateChanged](h.confirm())
	if len(current) != 1 || !current[0].Current {
		t.Errorf("%v, want one report that the list is current", current)
	}
}

// TestQuestionsForListAreBounded checks that an outage without an end costs no memory, and that the first question since the
// list was confirmed and the newest ones are kept.
func TestQuestionsForListAreBounded(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.advance(time.Second)
	first := h.now
	for range 10 * maxQuestions {
		h.step(EndpointListRequested{At: h.now})
		h.advance(100 * time.Millisecond)
	}
	newest := h.now - 100*time.Millisecond
	kept := h.dispatcher.list.askedAgainAt
	if len(kept) != maxQuestions || kept[0] != first || kept[maxQuestions-1] != newest {
		t.Errorf("%v, want %d, from %v to %v", kept, maxQuestions, first, newest)
	}
}
