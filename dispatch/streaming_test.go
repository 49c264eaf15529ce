package dispatch

import (
	"testing"
	"time"
)

// firstMessageAfter is when the streamed responses of these tests begin.
const firstMessageAfter = 20 * time.Millisecond

// startStream starts an attempt whose streamed response starts at once.
func (h *harness) startStream(class string) StartAttempt {
	h.t.Helper()
	started := h.startAttempt("f", class)
	h.step(ResponseStarted{ID: started.ID, Worker: started.Worker, Duration: firstMessageAfter})
	return started
}

// Once a streamed response has started, the router neither retries nor cancels it. Only the deadline ends it.
func TestStartedStreamIsNeitherRetriedNorCancelled(t *testing.T) {
	for _, class := range []string{classIdempotent, classNonIdempotent, classKeyed} {
		t.Run(class, func(t *testing.T) {
			h := newHarness(t, testSettings(), "w1", "w2", "w3")
			started := h.startAttempt("f", class)
			h.now += firstMessageAfter
			actions := h.step(ResponseStarted{ID: started.ID, Worker: started.Worker, Duration: firstMessageAfter})
			if len(actionsOf[StartAttempt](actions)) > 0 {
				t.Fatalf("another attempt: %v", actions)
			}
			// This is long past the latency objective and the mean response time. The checker checks the actions too.
			actions = h.advance(2500 * time.Millisecond)
			n := len(actionsOf[StartAttempt](actions)) + len(actionsOf[CancelAttempt](actions)) +
				len(actionsOf[RejectRequest](actions)) + len(actionsOf[FailRequest](actions))
			if n > 0 {
				t.Fatalf("%v, want no action on the started stream", actions)
			}
			actions = h.advance(600 * time.Millisecond)
			if len(actionsOf[FailRequest](actions)) != 1 || len(actionsOf[RejectRequest](actions)) != 0 {
				t.Fatalf("at the deadline: %v, want one failure", actions)
			}
		})
	}
}

func TestBrokenStreamIsNotRetried(t *testing.T) {
	for _, class := range []string{classIdempotent, classNonIdempotent, classKeyed} {
		t.Run(class, func(t *testing.T) {
			h := newHarness(t, testSettings(), "w1", "w2", "w3")
			started := h.startStream(class)
			// The caller should set Final here; without it nothing may be retried either.
			actions := h.step(AttemptEnded{ID: started.ID, Worker: started.Worker, Result: ConnectionReset,
				Duration: time.Second, LoadReport: NoLoadReport})
			if len(actionsOf[StartAttempt](actions)) > 0 || len(actionsOf[RejectRequest](actions)) > 0 {
				t.Fatalf("%v, want no retry and no rejection", actions)
			}
		})
	}
}

// A worker must not be passed over because the readers of its streams are slow.
func TestLongStreamsRaiseNoSuspicion(t *testing.T) {
	h := newHarness(t, testSettings(), "w1", "w2", "w3")
	for range 8 {
		h.startStream(classIdempotent)
	}
	h.advance(2 * time.Second)
	for _, w := range h.dispatcher.activeWorkers {
		if h.dispatcher.updateSuspicion(w); w.suspected {
			t.Errorf("%s is suspected", w.ID)
		}
	}
	before := h.dispatcher.meanResponseTime
	for id := RequestID(1); id <= 8; id++ {
		h.step(AttemptEnded{ID: id, Attempt: 0, Result: OK, Final: true, Duration: 2 * time.Second,
			LoadReport: NoLoadReport})
	}
	if after := h.dispatcher.meanResponseTime; after > before {
		t.Errorf("mean response time %v s, before %v s: it includes the length of the streams", after, before)
	}
}

// Streams that are read slowly must not use up the concurrency limits permanently.
func TestSlowReadersDoNotUseUpConcurrencyLimits(t *testing.T) {
	h := newHarness(t, testSettings(), "w1")
	for range 4 { // after that the worker is known to hold the function, and each attempt has full weight
		started := h.startAttempt("f", classIdempotent)
		h.now += 20 * time.Millisecond
		h.step(AttemptEnded{ID: started.ID, Worker: started.Worker, Result: OK, Final: true,
			Duration: 20 * time.Millisecond, LoadReport: NoLoadReport})
	}
	streams := 0
	for range 60 {
		_, actions := h.request("f", classIdempotent)
		if started := actionsOf[StartAttempt](actions); len(started) == 1 {
			streams++
			h.step(ResponseStarted{ID: started[0].ID, Worker: started[0].Worker, Duration: firstMessageAfter})
		}
	}
	if streams == 0 || streams == 60 {
		t.Fatalf("%d streams of 60 started: the concurrency limit was not reached", streams)
	}
	h.advance(2 * time.Second)
	if _, actions := h.request("f", classIdempotent); len(actionsOf[StartAttempt](actions)) == 0 {
		t.Errorf("no attempt while %d streams are read slowly: %v", streams, actions)
	}
}
