package dispatch

import (
	"slices"
	"testing"
	"time"
)

// answerLeaseChecks answers all health checks as ready, and those that follow, and returns all actions.
func (h *leaseHarness) answerLeaseChecks(actions []Action) []Action {
	h.t.Helper()
	for _, check := range actionsOf[CheckHealth](actions) {
		followed := h.step(HealthChecked{Worker: check.Worker, Result: OK, LoadReport: NoLoadReport})
		actions = append(actions, h.answerLeaseChecks(followed)...)
	}
	return actions
}

// startKeyedAttempt passes a keyed request to the router and returns its attempt. Workers answer health checks.
func (h *leaseHarness) startKeyedAttempt() StartAttempt {
	h.t.Helper()
	_, actions := h.request("f", classKeyed)
	return h.onlyAttempt(h.answerLeaseChecks(actions))
}

// endFromConnection ends an attempt with an error of the worker. connectedAt is when its connection was opened.
func (h *leaseHarness) endFromConnection(started StartAttempt, number int, connectedAt time.Duration) []Action {
	h.t.Helper()
	outcome := outcomeOf(Errored, harnessTick)
	outcome.ConnectedAt = connectedAt
	return h.answerLeaseChecks(h.endAttempt(started, number, outcome))
}

// firstCell lists the workers of the first cell of a leaseHarness.
var firstCell = []string{"w1", "w2"}

// TestKeyedRepeatNeedsListedProcess guards against a request that is idempotent by key and takes effect twice, in two
// cells: a worker of another cell has taken the address of one that has gone, and the router, which can't know it, sends
// a repeat to the cell of the worker that has gone.
func TestKeyedRepeatNeedsListedProcess(t *testing.T) {
	const confirmedAgo = 3 * time.Second // longer than the list is current
	for name, test := range map[string]struct {
		change   func(*Settings)
		current  bool                                 // the list is current when the attempt starts
		openedAt func(h *leaseHarness) time.Duration  // of the attempt's connection
		between  func(h *leaseHarness, worker string) // between the start and the end of the attempt
		repeated bool
	}{
		"list current, new connection": {
			current: true, openedAt: func(h *leaseHarness) time.Duration { return h.now }, repeated: true},
		"list out of date, connection older than the list": {
			openedAt: func(h *leaseHarness) time.Duration { return h.confirmedAt }, repeated: true},
		"list out of date, connection newer than the list": {
			openedAt: func(h *leaseHarness) time.Duration { return h.confirmedAt + 1 }},
		"list out of date, connection unknown": {
			openedAt: func(*leaseHarness) time.Duration { return 0 }},
		"list out of date, without a drain grace": {
			change:   func(s *Settings) { s.DrainGrace = 0 },
			openedAt: func(h *leaseHarness) time.Duration { return h.confirmedAt + 1 }},
		"list out of date, all workers drop repeats": {
			change:   func(s *Settings) { s.Classes[2].DeduplicationScope = ScopeAll },
			openedAt: func(h *leaseHarness) time.Duration { return h.confirmedAt + 1 }, repeated: true},
		"list current again, worker listed": {
			openedAt: func(h *leaseHarness) time.Duration { return h.confirmedAt + 1 },
			between:  func(h *leaseHarness, _ string) { h.step(EndpointListConfirmed{At: h.now}) }, repeated: true},
		"list current again, worker gone, newer connection": {
			openedAt: func(h *leaseHarness) time.Duration { return h.confirmedAt + 1 },
			between:  (*leaseHarness).removeAndConfirm},
		"list current again, worker gone, older connection": {
			openedAt: func(h *leaseHarness) time.Duration { return h.confirmedAt },
			between:  (*leaseHarness).removeAndConfirm, repeated: true},
		"list current again, worker in another cell": {
			openedAt: func(h *leaseHarness) time.Duration { return h.confirmedAt + 1 },
			between: func(h *leaseHarness, worker string) {
				h.step(EndpointUpdate{Endpoints: []Endpoint{{ID: worker, Kind: "big", Cell: 7}}}, EndpointListConfirmed{At: h.now})
			}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLeaseHarness(t, func(s *Settings) {
				s.Classes[2].Deadline, s.HedgingAllowed = 3*time.Second, false
				if test.change != nil {
					test.change(s)
				}
			})
			if !test.current {
				h.advance(confirmedAgo)
			}
			started := h.startKeyedAttempt()
			if test.between != nil {
				test.between(h, started.Worker)
			}
			actions := h.endFromConnection(started, 0, test.openedAt(h))
			repeats, failed := actionsOf[StartAttempt](actions), actionsOf[FailRequest](actions)
			if test.repeated {
				if len(repeats) != 1 {
					t.Fatalf("%d repeats, want 1: %v", len(repeats), actions)
				}
				return
			}
			if len(repeats) > 0 || len(failed) != 1 || failed[0].Cause != CauseIdentityUnproven {
				t.Errorf("repeats %v, failures %v, want one failure because the process is not known", repeats, failed)
			}
		})
	}
}

// removeAndConfirm applies a list without a worker, and with another one that may have taken its address.
func (h *leaseHarness) removeAndConfirm(worker string) {
	h.t.Helper()
	h.step(
		EndpointUpdate{Endpoints: []Endpoint{{ID: worker, Kind: "big", State: EndpointRemoved}, {ID: "w9", Kind: "big", Cell: 9}}},
		EndpointListConfirmed{At: h.now})
}

// TestKeyedRepeatUsesListedProcess guards against a repeat that is sent to the right cell by an outdated list, on a
// connection to the process that has taken the worker's address.
func TestKeyedRepeatUsesListedProcess(t *testing.T) {
	h := newLeaseHarness(t, func(s *Settings) { s.HedgingAllowed = false })
	h.advance(3 * time.Second)
	started := h.startKeyedAttempt()
	if started.ConnectedBefore != 0 {
		t.Errorf("the first attempt needs a connection from before %v, want none", started.ConnectedBefore)
	}
	repeat := h.onlyAttempt(h.endFromConnection(started, 0, h.confirmedAt))
	if repeat.ConnectedBefore != h.confirmedAt || !slices.Contains(firstCell, repeat.Worker) {
		t.Errorf("repeat at %s on a connection from before %v, want one of %v and %v",
			repeat.Worker, repeat.ConnectedBefore, firstCell, h.confirmedAt)
	}
	actions := h.answerLeaseChecks(h.endAttempt(repeat, 1, outcomeOf(NotSent, 0)))
	for _, next := range actionsOf[StartAttempt](actions) {
		if next.Worker == repeat.Worker {
			t.Errorf("another repeat at %s, which has no connection from before %v", next.Worker, h.confirmedAt)
		}
	}
}
