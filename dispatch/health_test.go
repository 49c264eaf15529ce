package dispatch

import (
	"testing"
	"time"
)

// A worker that sends no responses to its attempts is passed over until it responds.
func TestSilentWorkerIsSuspectedUntilItResponds(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	h := newHarness(t, s, "w1", "w2", "w3")
	first := h.startAttempt("f", classIdempotent)
	h.step(AttemptEnded{ID: first.ID, Worker: first.Worker, Duration: 50 * time.Millisecond, Final: true})
	for range 4 {
		h.request("f", classIdempotent)
	}
	h.advance(1500 * time.Millisecond)
	if h.startAttempt("f", classIdempotent).Worker == first.Worker {
		t.Fatal("attempt started at an unresponsive worker")
	}
	h.step(HealthChecked{Worker: first.Worker})
	if h.dispatcher.workers[first.Worker].suspected {
		t.Error("still suspected after a response to a health check")
	}
}
