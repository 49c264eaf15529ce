package dispatch

import (
	"fmt"
	"testing"
	"time"
)

func TestDrainingWorkerGetsNoAttempt(t *testing.T) {
	h := newHarness(t, testSettings(), "w1", "w2")
	worker := h.startAttempt("f", classIdempotent).Worker
	h.step(EndpointUpdate{Endpoints: []Endpoint{{ID: worker, State: EndpointDraining}}})
	if h.startAttempt("f", classIdempotent).Worker == worker {
		t.Error("attempt started at a draining worker")
	}
}

// In a fleet whose workers are continually replaced by new ones with other ids, the stored workers and placements must
// stay bounded by the size of the fleet.
func TestEndpointChurnKeepsStateBounded(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	h := newHarness(t, s, "a0", "b0", "c0")
	for generation := range 200 {
		for f := range 5 {
			_, actions := h.request(fmt.Sprint("f", f), classIdempotent)
			for _, a := range actionsOf[StartAttempt](actions) {
				h.endAttempt(a, 0, outcomeOf(OK, 50*time.Millisecond))
			}
		}
		h.advance(50 * time.Millisecond)
		removed, added := fmt.Sprint("b", generation), fmt.Sprint("b", generation+1)
		h.step(EndpointUpdate{Endpoints: []Endpoint{
			{ID: removed, Kind: "big", State: EndpointRemoved},
			{ID: added, Kind: "big", Cell: 0},
		}})
	}
	if n := len(h.dispatcher.workers); n > 4 {
		t.Errorf("%d workers stored for a fleet of 3", n)
	}
	for _, f := range h.dispatcher.functionsInOrder {
		if n := len(f.placements); n > 4 {
			t.Errorf("function %s has %d placements in a fleet of 3", f.key, n)
		}
	}
}

// A request that waits for a load must be retried on another worker when its worker is removed.
func TestRequestAwaitingLoadMovesOnWhenWorkerIsRemoved(t *testing.T) {
	h := newHarness(t, testSettings(), "a", "b")
	started := h.startAttempt("f", classIdempotent)
	actions := h.endAttempt(started, 0, outcomeOf(NotResident, time.Millisecond))
	if len(actionsOf[LoadFunction](actions)) != 1 || len(actionsOf[StartAttempt](actions)) != 0 {
		t.Fatalf("after NotResident: %v, want one load command", actions)
	}
	other := map[string]string{"a": "b", "b": "a"}[started.Worker]
	removed := Endpoint{ID: started.Worker, Kind: "big", State: EndpointRemoved}
	actions = h.step(EndpointUpdate{Endpoints: []Endpoint{removed}})
	if retries := actionsOf[StartAttempt](actions); len(retries) != 1 || retries[0].Worker != other {
		t.Errorf("after the removal: %v, want one attempt at %s", actions, other)
	}
}
