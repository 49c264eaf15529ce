package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// TestWorkersThatHaveGoneAreForgotten: in a fleet whose workers are replaced all day by others under new ids, what is
// kept of workers and of functions at them stays that of the fleet.
func TestWorkersThatHaveGoneAreForgotten(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss = true
	r := newHarness(t, s, "a0", "b0", "c0")
	for day := range 200 {
		for f := range 5 {
			id, out := r.call(fmt.Sprint("f", f), "safe")
			for _, a := range actionsOf[StartAttempt](out) {
				r.step(AttemptEnded{ID: id, Worker: a.Worker, Result: OK, Duration: 50 * time.Millisecond, Final: true, FunctionInFlight: -1, LoadReport: NoLoadReport})
			}
		}
		r.advance(50 * time.Millisecond)
		old, gone := fmt.Sprint("b", day), fmt.Sprint("b", day+1)
		r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: old, Kind: "big", State: EndpointRemoved}, {ID: gone, Kind: "big", Cell: 0}}})
	}
	if n := len(r.dispatcher.workers); n > 4 {
		t.Errorf("%d workers are kept of a fleet of 3", n)
	}
	for _, f := range r.dispatcher.functionsInOrder {
		if n := len(f.placements); n > 4 {
			t.Errorf("function %s keeps %d places at a fleet of 3", f.key, n)
		}
	}
}

// TestWhoWaitsForAWorkerThatGoesIsLetGo: a request that waits on a load there is sent to another at once.
func TestWhoWaitsForAWorkerThatGoesIsLetGo(t *testing.T) {
	r := newHarness(t, settings(), "a", "b")
	id, out := r.call("f", "safe")
	first := r.onlyAttempt(out).Worker
	out = r.step(AttemptEnded{ID: id, Worker: first, Result: NotResident, Duration: time.Millisecond, FunctionInFlight: -1, LoadReport: NoLoadReport})
	if len(actionsOf[LoadFunction](out)) != 1 || len(actionsOf[StartAttempt](out)) != 0 {
		t.Fatalf("after the miss: %v", out)
	}
	other := map[string]string{"a": "b", "b": "a"}[first]
	out = r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: first, Kind: "big", State: EndpointRemoved}}})
	if s := actionsOf[StartAttempt](out); len(s) != 1 || s[0].Worker != other {
		t.Errorf("after it went: %v", out)
	}
}

// TestNamesWithoutEnd: names that anyone makes up, and that no worker ever answers for, are not kept for long.
func TestNamesWithoutEnd(t *testing.T) {
	r := newHarness(t, settings(), "a", "b")
	for i := range 3000 {
		id, out := r.call(fmt.Sprint("made up ", i), "safe")
		for _, a := range actionsOf[StartAttempt](out) {
			r.step(AttemptEnded{ID: id, Worker: a.Worker, Result: Errored, Duration: time.Millisecond, FunctionInFlight: -1, LoadReport: NoLoadReport})
		}
		r.now += 10 * time.Millisecond
	}
	r.advance(unservedFunctionTTL + 2*rebalanceInterval + 4*time.Second)
	if n := len(r.dispatcher.functions); n > 0 {
		t.Errorf("%d names are kept", n)
	}
}
