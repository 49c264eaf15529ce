package dispatch

import (
	"testing"
	"time"
)

func TestNonIdempotentRequestIsNotRetriedWhenItMayHaveRun(t *testing.T) {
	for name, result := range map[string]Result{"timed out": TimedOut, "connection reset": ConnectionReset,
		"errored": Errored, "cancelled": Cancelled} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings(), "w1", "w2")
			started := h.startAttempt("f", classNonIdempotent)
			actions := h.step(AttemptEnded{ID: started.ID, Worker: started.Worker, Result: result})
			if len(actionsOf[FailRequest](actions)) != 1 || len(actionsOf[StartAttempt](actions)) != 0 {
				t.Errorf("%v, want a failure and no retry", actions)
			}
		})
	}
}

func TestNonIdempotentRequestIsRetriedElsewhereAfterRejection(t *testing.T) {
	h := newHarness(t, testSettings(), "w1", "w2")
	started := h.startAttempt("f", classNonIdempotent)
	actions := h.step(AttemptEnded{ID: started.ID, Worker: started.Worker, Result: Rejected})
	if h.onlyAttempt(actions).Worker == started.Worker {
		t.Error("retried at the worker that rejected it")
	}
}

// A request that is idempotent by key may run again only where its repeat is recognized: in the deduplication scope of
// the first attempt, here a cell, and within the deduplication window. The checker verifies the time after the window.
func TestKeyedRequestIsRetriedOnlyInScopeAndWindow(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	h := newHarness(t, s, "w1", "w2", "w3", "w4")
	first := h.startAttempt("f", classKeyed)
	actions := h.step(AttemptEnded{ID: first.ID, Worker: first.Worker, Result: ConnectionReset})
	retry := h.onlyAttempt(actions)
	workers := h.dispatcher.workers
	if workers[retry.Worker].Cell != workers[first.Worker].Cell || retry.Worker == first.Worker {
		t.Errorf("retried at %s, first attempt at %s, want another worker of its cell", retry.Worker, first.Worker)
	}
	h.now += 2 * time.Second
	h.step(AttemptEnded{ID: first.ID, Attempt: 1, Worker: retry.Worker, Result: ConnectionReset})
	h.advance(2 * time.Second)
}

func TestRequestIsRejectedInTimeWithoutWorkers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.request("f", classNonIdempotent)
	if actions := h.advance(4 * time.Second); len(actionsOf[RejectRequest](actions)) != 1 {
		t.Errorf("%v, want one rejection", actions)
	}
}

// A request that gets no further attempt is answered in the same step, and a rejection has a Retry-After.
func TestRequestWithoutFurtherAttemptIsAnsweredAtOnce(t *testing.T) {
	rejected := outcomeOf(Rejected, 2*time.Millisecond)
	for name, c := range map[string]unservedCase{
		"attempts used up": {class: classIdempotent, deadline: 3 * time.Second,
			outcomes: []AttemptEnded{rejected, rejected, rejected, rejected}},
		"retry budget used up": {class: classIdempotent, deadline: 3 * time.Second, outcomes: []AttemptEnded{rejected},
			prepare: func(h *harness) { h.dispatcher.retryBudget = 0 }},
		"cannot end before its deadline": {class: classIdempotent, deadline: 40 * time.Millisecond},
		"may have run": {class: classNonIdempotent, deadline: 3 * time.Second,
			outcomes: []AttemptEnded{outcomeOf(Errored, 0)}, fails: true},
		"no active worker in its deduplication scope": {class: classKeyed, deadline: 3 * time.Second,
			outcomes: []AttemptEnded{outcomeOf(ConnectionReset, 0)}, fails: true, prepare: drainCellOfFirstAttempt},
	} {
		t.Run(name, c.run)
	}
}

// unservedCase is a request that gets no further attempt after its last outcome, or no attempt at all.
type unservedCase struct {
	class    string
	deadline time.Duration
	outcomes []AttemptEnded
	fails    bool           // it ends in a failure, not in a rejection
	prepare  func(*harness) // called before the first outcome
}

func (c unservedCase) run(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss, s.MaxRetryAfter, s.HedgingAllowed = true, time.Second, false
	h := newHarness(t, s, "w1", "w2", "w3", "w4")
	r := h.newRequest("f", c.class)
	r.RemainingDeadline = c.deadline
	actions := h.step(r)
	if c.prepare != nil {
		c.prepare(h)
	}
	for number, outcome := range c.outcomes {
		actions = h.endAttempt(h.awaitAttempt(actions), number, outcome)
	}
	rejected, failed := actionsOf[RejectRequest](actions), actionsOf[FailRequest](actions)
	if c.fails {
		if len(failed) != 1 || len(rejected) > 0 {
			t.Errorf("%v in the step that leaves no attempt, want a failure", actions)
		}
		return
	}
	if len(rejected) != 1 || len(failed) > 0 {
		t.Fatalf("%v in the step that leaves no attempt, want a rejection", actions)
	}
	if retryAfter := rejected[0].RetryAfter; retryAfter <= 0 || retryAfter > s.MaxRetryAfter {
		t.Errorf("Retry-After %v, want at most %v", retryAfter, s.MaxRetryAfter)
	}
}

// awaitAttempt returns the one attempt that the actions start, or that is started within the next 400 ms.
func (h *harness) awaitAttempt(actions []Action) StartAttempt {
	h.t.Helper()
	for range 40 {
		if len(actionsOf[StartAttempt](actions)) > 0 {
			break
		}
		actions = h.advance(10 * time.Millisecond)
	}
	return h.onlyAttempt(actions)
}

// drainCellOfFirstAttempt drains every worker in the cell of the last request's first attempt.
func drainCellOfFirstAttempt(h *harness) {
	first := h.dispatcher.requests[h.lastID].attempts[0].worker
	for _, w := range h.dispatcher.workers {
		if w.Cell == first.Cell {
			draining := Endpoint{ID: w.ID, Kind: "big", Cell: w.Cell, State: EndpointDraining}
			h.step(EndpointUpdate{Endpoints: []Endpoint{draining}})
		}
	}
}
