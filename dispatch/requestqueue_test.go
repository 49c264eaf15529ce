package dispatch

import (
	"slices"
	"testing"
)

// TestRequestStandsOnceInQueue guards against copies of a waiting request: it waits for a load, is routed again and again
// meanwhile, by its timers and by the ends of what it waited for before, and stood in the queue once for each.
func TestRequestStandsOnceInQueue(t *testing.T) {
	h := newHarness(t, testSettings(), "w1")
	started := h.startAttempt("f", classIdempotent)
	h.endAttempt(started, 0, outcomeOf(NotResident, harnessTick))
	r := h.dispatcher.requests[started.ID]
	queue := &r.function.ensurePlacement(h.dispatcher.workers["w1"]).awaitingLoad
	for range 5 {
		h.dispatcher.routeRequest(r)
	}
	if !slices.Equal(queue.requests, []*request{r}) {
		t.Errorf("%d entries wait for the load, want the request once", len(queue.requests))
	}
	h.dispatcher.pending = []*request{r, r}
	selections := h.dispatcher.selectionCount
	actions := h.step(FunctionLoaded{Worker: "w1", Function: "f", Result: OK, Copies: 1})
	h.onlyAttempt(actions)
	if routed := h.dispatcher.selectionCount - selections; routed != 1 {
		t.Errorf("the end of the load routed the request %d times, want once", routed)
	}
}

func TestRequestQueueKeepsOrder(t *testing.T) {
	a, b, c := &request{}, &request{}, &request{}
	var q requestQueue
	for _, r := range []*request{a, b, a, c, b} {
		q.add(r)
	}
	q.remove(b)
	q.remove(b)
	if got := q.takeAll(); !slices.Equal(got, []*request{a, c}) || !q.isEmpty() {
		t.Errorf("%v, want the first and the last request", got)
	}
	if got := withoutCopies([]*request{b, a, b, c, a}); !slices.Equal(got, []*request{b, a, c}) {
		t.Errorf("%v, want each request once", got)
	}
}
