package dispatch

import (
	"testing"
	"time"
)

func TestNotResidentCommandsOneLoadAndRetriesAfterIt(t *testing.T) {
	h := newHarness(t, testSettings(), "w1", "w2")
	started := h.startAttempt("f", classNonIdempotent)
	worker := started.Worker
	actions := h.step(AttemptEnded{ID: started.ID, Worker: worker, Result: NotResident})
	if loads := actionsOf[LoadFunction](actions); len(loads) != 1 || loads[0].Worker != worker || loads[0].Copies != 1 {
		t.Fatalf("load commands %v, want one copy at %s", loads, worker)
	}
	if _, actions = h.request("f", classNonIdempotent); len(actionsOf[LoadFunction](actions)) != 0 {
		t.Error("a second load command while the first is in flight")
	}
	h.now += 300 * time.Millisecond
	actions = h.step(FunctionLoaded{Worker: worker, Function: "f", Copies: 1, Duration: 300 * time.Millisecond})
	if n := len(actionsOf[StartAttempt](actions)); n != 2 {
		t.Errorf("%d attempts started after the load, want 2", n)
	}
}

func TestLoadCommandsKeepToRateLimit(t *testing.T) {
	s := testSettings()
	s.LoadRateWindow, s.LoadRateBurst, s.LoadRateRatio = 5*time.Second, 2, 0.1
	h := newHarness(t, s, "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8")
	n := 0
	for _, function := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		started := h.startAttempt(function, classIdempotent)
		actions := h.step(AttemptEnded{ID: started.ID, Worker: started.Worker, Result: NotResident})
		n += len(actionsOf[LoadFunction](actions))
	}
	if n != 2 {
		t.Errorf("%d load commands, want 2", n)
	}
}

// After a rejected load command, requests must not use up their attempts on NotResident within milliseconds and end in
// a rejection, as happened in scenario big-1 of abuja-boxes.
func TestLoadBackoffDoesNotUseUpAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), "w1")
	started := h.startAttempt("f", classIdempotent)
	h.step(AttemptEnded{ID: started.ID, Worker: started.Worker, Result: NotResident})
	actions := h.step(FunctionLoaded{Worker: started.Worker, Function: "f", Result: Rejected})
	if n := len(actionsOf[StartAttempt](actions)) + len(actionsOf[RejectRequest](actions)); n != 0 {
		t.Errorf("%v, want no attempt and no rejection during the load backoff", actions)
	}
	if actions = h.advance(2 * time.Second); len(actionsOf[StartAttempt](actions)) == 0 {
		t.Error("no retry after the load backoff")
	}
}

func TestLoadBackoffGrowsWithEachFailure(t *testing.T) {
	h := newHarness(t, testSettings(), "w1")
	p := &placement{}
	last := time.Duration(0)
	for range 3 {
		h.dispatcher.backOffLoads(p)
		backoff := p.loadBackoffUntil - h.dispatcher.now
		if backoff <= last {
			t.Errorf("backoff %v after a backoff of %v, want a longer one", backoff, last)
		} else {
			last = backoff
		}
	}
}

// A request must not wait for a load that ends after its deadline. It used to be answered only when its client gave up.
func TestRequestIsRejectedWhenLoadEndsTooLate(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = time.Second
	h := newHarness(t, s, "w1")
	r := h.newRequest("f", classIdempotent)
	r.LoadTime, r.RemainingDeadline = 2*time.Second, time.Second
	actions := h.endAttempt(h.onlyAttempt(h.step(r)), 0, outcomeOf(NotResident, 0))
	if rejected := actionsOf[RejectRequest](actions); len(rejected) != 1 || rejected[0].RetryAfter <= 0 {
		t.Errorf("%v, want a rejection at once: the load takes two seconds and the client waits for one", actions)
	}
}
