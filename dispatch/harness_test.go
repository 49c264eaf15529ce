package dispatch

import (
	"testing"
	"time"
)

// This file contains shared test helpers: settings, a harness for one Dispatcher, and results of attempts.

// The classes of testSettings.
const (
	classIdempotent    = "idempotent"
	classNonIdempotent = "non-idempotent"
	classKeyed         = "keyed" // idempotent by key, within a cell
)

// harnessTick is the time between two steps in harness.advance.
const harnessTick = 10 * time.Millisecond

// testSettings returns settings of a fleet whose workers answer NotResident. Tests change the settings they examine.
func testSettings() Settings {
	testClass := func(name string, idempotency Idempotency) Class {
		return Class{Name: name, LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1,
			Idempotency: idempotency}
	}
	keyed := testClass(classKeyed, IdempotentByKey)
	keyed.DeduplicationScope, keyed.DeduplicationWindow = ScopeCell, 2*time.Second
	return Settings{
		Routers: 1, WorkerKinds: []WorkerKind{{"big", 16000}, {"small", 8000}},
		MaxAttempts: 4, HedgingAllowed: true, CancelAllowed: true, ResponseGrace: 16 * time.Millisecond,
		LoadCommandsAllowed: true, HealthChecksAllowed: true, IdleResidency: 10 * time.Second,
		SlowStartShare: 0.2, SlowStartDuration: 16 * time.Second,
		OverloadMultiple: 3, OverloadWindow: 1500 * time.Millisecond,
		Classes: []Class{testClass(classIdempotent, Idempotent), testClass(classNonIdempotent, NonIdempotent), keyed},
	}
}

// harness drives one Dispatcher and checks every step with a checker.
type harness struct {
	t          *testing.T
	dispatcher *Dispatcher
	checker    *checker
	now        time.Duration
	lastID     RequestID
}

// newHarness starts a router in a fleet of the given workers, two in each cell.
func newHarness(t *testing.T, s Settings, workers ...string) *harness {
	t.Helper()
	h := newHarnessWithoutEndpoints(t, s, 1)
	endpoints := []Endpoint{}
	for i, id := range workers {
		endpoints = append(endpoints, Endpoint{ID: id, Kind: "big", Cell: i / 2})
	}
	h.step(EndpointUpdate{Snapshot: true, Endpoints: endpoints})
	return h
}

// newHarnessWithoutEndpoints starts a router that has not received an endpoint list yet.
func newHarnessWithoutEndpoints(t *testing.T, s Settings, seed uint64) *harness {
	t.Helper()
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, dispatcher: d, checker: newChecker(s), now: time.Second}
}

func (h *harness) step(events ...Event) []Action {
	h.t.Helper()
	actions := h.dispatcher.Step(h.now, events)
	if err := h.checker.step(h.now, events, actions); err != nil {
		h.t.Fatal(err)
	}
	return actions
}

// advance advances the time, with a TimerFired at every tick.
func (h *harness) advance(span time.Duration) (actions []Action) {
	h.t.Helper()
	for end := h.now + span; h.now < end; {
		h.now += harnessTick
		actions = append(actions, h.step(TimerFired{})...)
	}
	return actions
}

// newRequest returns a request with a new id.
func (h *harness) newRequest(function, class string) Request {
	h.lastID++
	return Request{ID: h.lastID, Function: function, Class: class, MemoryMB: 300, ConcurrencyPerInstance: 1,
		RemainingDeadline: 3 * time.Second}
}

// request passes a new request for a function to the router.
func (h *harness) request(function, class string) (RequestID, []Action) {
	h.t.Helper()
	r := h.newRequest(function, class)
	return r.ID, h.step(r)
}

// startAttempt passes a new request to the router and returns the one attempt that it starts.
func (h *harness) startAttempt(function, class string) StartAttempt {
	h.t.Helper()
	_, actions := h.request(function, class)
	return h.onlyAttempt(actions)
}

// endAttempt ends an attempt with an outcome, whose ids it fills in. The result OK is final.
func (h *harness) endAttempt(started StartAttempt, number int, outcome AttemptEnded) []Action {
	h.t.Helper()
	outcome.ID, outcome.Worker, outcome.Attempt = started.ID, started.Worker, number
	outcome.Final = outcome.Result == OK
	return h.step(outcome)
}

// serveOnce serves one request for a function and returns its worker, which is then known to hold the function.
func (h *harness) serveOnce(function, class string) string {
	h.t.Helper()
	started := h.startAttempt(function, class)
	h.endAttempt(started, 0, outcomeOf(OK, 50*time.Millisecond))
	return started.Worker
}

// onlyAttempt returns the one attempt that the actions start.
func (h *harness) onlyAttempt(actions []Action) StartAttempt {
	h.t.Helper()
	started := actionsOf[StartAttempt](actions)
	if len(started) != 1 {
		h.t.Fatalf("%d attempts started, want 1: %v", len(started), actions)
	}
	return started[0]
}

// outcomeOf returns the end of an attempt without a load report.
func outcomeOf(result Result, duration time.Duration) AttemptEnded {
	return AttemptEnded{Result: result, Duration: duration, FunctionInFlight: -1, LoadReport: NoLoadReport}
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) (found []T) {
	for _, a := range actions {
		if x, ok := a.(T); ok {
			found = append(found, x)
		}
	}
	return found
}
