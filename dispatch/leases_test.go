package dispatch

import (
	"testing"
	"time"
)

// leaseHarness is a router in a fleet of three workers that load functions on a miss. Its endpoint list is confirmed
// once, at the start of the test.
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

// expireListLease advances the time until the lease of the endpoint list has ended.
func (h *leaseHarness) expireListLease() { h.advance(lossNotificationDelay + testDrainGrace) }

// requestOutcome returns what the router did with a request: "attempt", "check", "rejected" or "nothing".
func requestOutcome(actions []Action) string {
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
	if got := requestOutcome(actions); got != want {
		h.t.Errorf("%s: %s, want %s", why, got, want)
	}
	return actions
}

// TestListLeaseEnds checks how long the endpoint list is current after its last confirmation, for several events.
func TestListLeaseEnds(t *testing.T) {
	const lease = testDrainGrace - leaseMargin
	for _, test := range []struct {
		name  string
		event func(h *leaseHarness) // 1 s after the list was confirmed
		end   time.Duration         // end of the lease, from the confirmation
	}{
		{"the list is lost", func(*leaseHarness) {}, lossNotificationDelay + lease},
		{"it is asked for again", func(h *leaseHarness) { h.step(EndpointListRequested{At: h.now}) }, time.Second + lease},
		{"it is asked for again, several times", func(h *leaseHarness) {
			h.step(EndpointListRequested{At: h.now})
			h.advance(100 * time.Millisecond)
			h.step(EndpointListRequested{At: h.now})
		}, time.Second + lease},
		{"it is confirmed again", func(h *leaseHarness) { h.confirm() }, time.Second + lossNotificationDelay + lease},
		{"it is confirmed late, for a time long ago", func(h *leaseHarness) {
			h.step(EndpointListConfirmed{At: h.confirmedAt + 100*time.Millisecond})
		}, 100*time.Millisecond + lossNotificationDelay + lease},
		{"asked for again and confirmed", func(h *leaseHarness) {
			h.step(EndpointListRequested{At: h.now})
			h.now += 10 * time.Millisecond
			h.confirm()
		}, time.Second + 10*time.Millisecond + lossNotificationDelay + lease},
		{"asked for again and answered with events", func(h *leaseHarness) {
			h.step(EndpointListRequested{At: h.now})
			h.step(EndpointListConfirmed{At: h.now})
		}, time.Second + lossNotificationDelay + lease},
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
		}, time.Second + lossNotificationDelay + lease},
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

// An endpoint list that the caller never confirms is current at any age.
func TestListWithoutConfirmationsIsCurrent(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	h := newHarness(t, s, "w1", "w2")
	h.advance(time.Minute)
	_, actions := h.request("f", classIdempotent)
	if started := h.onlyAttempt(actions); started.SendBefore != 0 {
		t.Errorf("send time limit %v, want none", started.SendBefore)
	}
}

// TestSendIsLimitedToDrainGrace checks the time limit of a send while the list is current and at the end of its lease.
func TestSendIsLimitedToDrainGrace(t *testing.T) {
	h := newLeaseHarness(t, nil)
	if got := h.startAttempt("f", classIdempotent).SendBefore - h.now; got != testDrainGrace-leaseMargin {
		t.Errorf("time to send is %v, want the drain grace less the margin", got)
	}
	h.advance(lossNotificationDelay + testDrainGrace - leaseMargin - harnessTick)
	if got := h.startAttempt("g", classIdempotent).SendBefore; got != h.dispatcher.listLeaseEnd() {
		t.Errorf("send time limit %v, want the end of the list's lease, %v", got, h.dispatcher.listLeaseEnd())
	}
}

// Even with a very short drain grace, a send has enough time to open a connection while the list is current.
func TestShortDrainGraceLeavesTimeToConnect(t *testing.T) {
	h := newLeaseHarness(t, func(s *Settings) { s.DrainGrace = time.Millisecond })
	if got := h.startAttempt("f", classIdempotent).SendBefore - h.now; got != minSendWindow {
		t.Errorf("time to send is %v, want minSendWindow", got)
	}
}

// Without a drain grace in the settings, no rule on drains applies. Requests are then served at any age of the list,
// also without health checks.
func TestWithoutDrainGraceListIsCurrent(t *testing.T) {
	h := newLeaseHarness(t, func(s *Settings) {
		s.DrainGrace = 0
		s.HealthChecksAllowed = false
	})
	h.step(EndpointListRequested{At: h.now})
	h.advance(time.Minute)
	if started := h.startAttempt("f", classIdempotent); started.SendBefore != 0 {
		t.Errorf("send time limit %v, want none", started.SendBefore)
	}
}

// Requests that arrive while the list is out of date share one health check. If the worker is ready, all of them are
// forwarded to it, and further requests need no check until its lease ends.
func TestOneCheckServesAllRequests(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.expireListLease()
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

// If the first worker answers its health check as draining, the next worker is checked.
func TestDrainingWorkerIsPassedOver(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.expireListLease()
	first := actionsOf[CheckHealth](h.requireOutcome("check", "the request"))[0].Worker
	actions := h.step(HealthChecked{Worker: first, Draining: true, LoadReport: NoLoadReport},
		EndpointUpdate{Endpoints: []Endpoint{{ID: first, Kind: "big", State: EndpointDraining}}})
	checks := actionsOf[CheckHealth](actions)
	if len(checks) != 1 || checks[0].Worker == first {
		t.Errorf("%v, want a check of another worker than %s", actions, first)
	}
}

// If the first worker does not answer its health check, another one is checked while the request has most of its time
// left, even if its deadline is short.
func TestUnansweredCheckDoesNotBlockRequest(t *testing.T) {
	for _, deadline := range []time.Duration{50 * time.Millisecond, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			h := newLeaseHarness(t, nil)
			h.expireListLease()
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

// TestResultsThatRenewLease checks which results of an attempt renew the lease of a worker, and from which time. The
// attempt starts 300 ms before the end of the list's lease and ends 100 ms after it.
func TestResultsThatRenewLease(t *testing.T) {
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
			h.advance(lossNotificationDelay + testDrainGrace - leaseMargin - 300*time.Millisecond)
			started := h.startAttempt("f", classIdempotent)
			startedAt := h.now
			h.advance(400 * time.Millisecond)
			h.endAttempt(started, 0, outcomeOf(test.result, 400*time.Millisecond))
			w := h.dispatcher.workers[started.Worker]
			if got := h.dispatcher.holdsLease(w); got != test.renews {
				t.Errorf("holds a lease: %v, want %v", got, test.renews)
			}
			if want := startedAt + testDrainGrace - leaseMargin; test.renews && h.dispatcher.leaseEnd(w) != want {
				t.Errorf("lease ends at %v, want %v, counted from the start of the attempt", h.dispatcher.leaseEnd(w), want)
			}
		})
	}
}

// A worker that rejects an attempt or a load command while the list is out of date may be draining. Its lease must end,
// so that it is checked before it gets anything else.
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
			h.expireListLease()
			check := actionsOf[CheckHealth](h.requireOutcome("check", "the first request"))[0]
			h.step(HealthChecked{Worker: check.Worker, LoadReport: NoLoadReport})
			reject(h, check.Worker)
			if w := h.dispatcher.workers[check.Worker]; h.dispatcher.holdsLease(w) {
				t.Error("the worker still holds a lease")
			}
		})
	}
}

// A worker without a lease must not get a load command.
func TestNoLoadCommandWithoutLease(t *testing.T) {
	h := newLeaseHarness(t, func(s *Settings) { s.WorkersLoadOnMiss = false })
	h.startAttempt("f", classIdempotent)
	h.expireListLease()
	d := h.dispatcher
	if d.commandLoad(d.functions["f"], d.workers["w2"], 1, LoadForRequest) {
		t.Error("a load command was sent")
	}
}

// Without health checks, leases are renewed only by served requests. When no worker holds a lease, requests are
// rejected at once, with a Retry-After.
func TestWithoutHealthChecks(t *testing.T) {
	h := newLeaseHarness(t, func(s *Settings) { s.HealthChecksAllowed = false })
	const step = 200 * time.Millisecond
	for range 25 { // far beyond the lease of the list
		started := h.startAttempt("f", classIdempotent)
		h.advance(step)
		h.endAttempt(started, 0, outcomeOf(OK, step))
	}
	if h.dispatcher.listIsCurrent() {
		t.Fatal("the list is still current")
	}
	h.advance(testDrainGrace)
	actions := h.requireOutcome("rejected", "no lease is left")
	if rejected := actionsOf[RejectRequest](actions); rejected[0].RetryAfter <= 0 {
		t.Error("rejected without a Retry-After")
	}
}

// A worker that responds again after a loss of contact goes through slow start, if the endpoint list is too old to show
// whether it was restarted. An update of the list that shows no restart ends the slow start once it is confirmed for a time
// after the loss.
func TestLostWorkerReturnsInSlowStart(t *testing.T) {
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
			h.expireListLease()
			h.step(HealthChecked{Worker: "w2", LoadReport: NoLoadReport})
			w := h.dispatcher.workers["w2"]
			if w.warmingUp != test.slowStart {
				t.Errorf("in slow start: %v, want %v", w.warmingUp, test.slowStart)
			}
			h.step(EndpointUpdate{Endpoints: []Endpoint{{ID: "w2", Kind: "big"}}})
			if w.warmingUp != test.slowStart {
				t.Errorf("in slow start after an update that may be old: %v, want %v", w.warmingUp, test.slowStart)
			}
			h.confirm()
			if w.warmingUp {
				t.Error("still in slow start after the list showed no restart")
			}
		})
	}
}

// If a lost worker responds again while the list is current, its slow start begins when the list goes out of date.
func TestLostWorkerReturnsBeforeListExpires(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.advance(time.Second)
	h.step(HealthChecked{Worker: "w2", Result: ConnectionReset, LoadReport: NoLoadReport})
	h.advance(time.Second)
	h.step(HealthChecked{Worker: "w2", LoadReport: NoLoadReport})
	w := h.dispatcher.workers["w2"]
	if w.warmingUp {
		t.Error("in slow start while the list is current")
	}
	h.advance(time.Second)
	if !w.warmingUp {
		t.Error("not in slow start when the list is out of date")
	}
}

// TestListStateIsReported checks that each change between current and out of date is reported once.
func TestListStateIsReported(t *testing.T) {
	h := newLeaseHarness(t, nil)
	const outage = 10 * time.Second
	expired := actionsOf[EndpointListStateChanged](h.advance(outage))
	if len(expired) != 1 || expired[0].Current || expired[0].Age < lossNotificationDelay {
		t.Errorf("%v, want one report that the list is out of date", expired)
	}
	current := actionsOf[EndpointListStateChanged](h.confirm())
	if len(current) != 1 || !current[0].Current {
		t.Errorf("%v, want one report that the list is current", current)
	}
}

// An endless outage must not use up memory: only the first request for the list after its confirmation and the newest
// ones are stored.
func TestListRequestsAreBounded(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.advance(time.Second)
	first := h.now
	for range 10 * maxListRequests {
		h.step(EndpointListRequested{At: h.now})
		h.advance(100 * time.Millisecond)
	}
	newest := h.now - 100*time.Millisecond
	kept := h.dispatcher.list.requestedAt
	if len(kept) != maxListRequests || kept[0] != first || kept[maxListRequests-1] != newest {
		t.Errorf("stored requests %v, want %d, from %v to %v", kept, maxListRequests, first, newest)
	}
}

// TestLateConfirmationsLeaveListOutOfDate guards against an attempt at a worker that has drained for longer than the
// grace, while discovery answers each request late: such a list was relied on until the next request or for
// lossNotificationDelay, as if it had just been lost.
func TestLateConfirmationsLeaveListOutOfDate(t *testing.T) {
	const delay = lossNotificationDelay
	h := newLeaseHarness(t, nil)
	h.expireListLease()
	for range 3 {
		requestedAt := h.now
		h.step(EndpointListRequested{At: requestedAt})
		h.advance(delay)
		h.step(EndpointListConfirmed{At: requestedAt})
		if _, actions := h.request("f", classIdempotent); requestOutcome(actions) == "attempt" {
			t.Error("an attempt was started although the list was confirmed late")
		}
	}
	h.confirm()
	h.requireOutcome("attempt", "the list was confirmed in time")
	h.advance(lossNotificationDelay)
	h.requireOutcome("attempt", "the list was lost again")
}

// TestListIsCurrentAgainWithShortDrainGrace guards against a list that stays out of date for ever, because each
// confirmation takes longer than a very short drain grace.
func TestListIsCurrentAgainWithShortDrainGrace(t *testing.T) {
	h := newLeaseHarness(t, func(s *Settings) { s.DrainGrace = minDrainGrace })
	h.expireListLease()
	requestedAt := h.now
	h.advance(maxConfirmationDelay / 2)
	h.step(EndpointListConfirmed{At: requestedAt})
	h.requireOutcome("attempt", "the list was confirmed")
}
