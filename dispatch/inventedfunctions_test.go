package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// TestInventedFunctionsAreLimited guards against clients that fill the memory with functions that no worker knows, each
// request with another one. A function that is served must be kept, and requests that are open must get their answers.
func TestInventedFunctionsAreLimited(t *testing.T) {
	h := newLeaseHarness(t, nil)
	served := h.serveOnce("served", classIdempotent)
	open := h.startAttempt("open", classIdempotent)
	for i := range 4 * maxUnservedFunctions {
		h.now += 100 * time.Microsecond
		if i%1000 == 0 {
			h.confirm()
		}
		h.rejectEverywhere(fmt.Sprint("invented ", i))
		if known := len(h.dispatcher.functions); known > maxUnservedFunctions+2 {
			t.Fatalf("%d functions are known after %d invented ones, want at most %d", known, i+1, maxUnservedFunctions+2)
		}
	}
	if got := len(h.dispatcher.functions); got != len(h.dispatcher.functionsInOrder) {
		t.Errorf("%d functions by name, %d in order", got, len(h.dispatcher.functionsInOrder))
	}
	if h.dispatcher.functions["served"] == nil || h.dispatcher.functions["open"] == nil {
		t.Errorf("the function served by %s or the one of an open request is gone", served)
	}
	h.endAttempt(open, 0, outcomeOf(OK, time.Second))
	if open := len(h.dispatcher.requests); open > 0 {
		t.Errorf("%d requests are still open", open)
	}
}

// rejectEverywhere passes a request for a function to the router and ends each of its attempts with an error, until the
// request has its final answer.
func (h *leaseHarness) rejectEverywhere(function string) {
	h.t.Helper()
	_, actions := h.request(function, classIdempotent)
	for number := 0; len(actionsOf[StartAttempt](actions)) > 0; number++ {
		actions = h.endAttempt(h.onlyAttempt(actions), number, outcomeOf(Errored, time.Millisecond))
	}
}
