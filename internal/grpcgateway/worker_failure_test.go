package grpcgateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/invariants"
)

func TestNonIdempotentCallIsNotRetriedAfterWorkerCrash(t *testing.T) {
	const midStream = "mid-stream"
	for name, fault := range map[string]func(*fakeworker.Faults){
		midStream:             func(f *fakeworker.Faults) { f.DieAfterMessages = map[string]int{"points": 2} },
		"before the response": func(f *fakeworker.Faults) { f.DieAfterMessages = map[string]int{"points": 0} },
		"as it begins to run": func(f *fakeworker.Faults) { f.DieOnStart = map[string]bool{"points": true} },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3, nil, nil)
			h.setFaults(fault)
			messages, _, err := h.streamInfer(timeoutContext(t, 5*time.Second), newRequest("award", "a1", 30, 6, 50), nil)
			if code := status.Code(err); code == codes.OK || code == codes.Unavailable {
				t.Errorf("%d messages, then %v: the call may have run, so its status must not invite a retry", messages, err)
			}
			if received, ran := h.records(invariants.AttemptReceived, "a1"), h.records(invariants.RunStarted, "a1"); received != 1 || ran != 1 {
				t.Errorf("received %d times, ran %d times", received, ran)
			}
			if name == midStream && messages != 2 {
				t.Errorf("%d messages came before the crash, want 2", messages)
			}
		})
	}
}

func TestIdempotentCallIsRetriedAfterWorkerCrash(t *testing.T) {
	h := newHarness(t, 3, nil, nil)
	var once sync.Once
	firstCrashed := ""
	for _, worker := range h.workers { // the first worker that gets the call crashes; the others serve
		worker.ChangeFaults(func(f *fakeworker.Faults) { f.DieOnStart = map[string]bool{"quote": true} })
		go func() { // ends when the worker is down or the test ends
			for !worker.Down() {
				time.Sleep(time.Millisecond)
				if t.Context().Err() != nil {
					return
				}
			}
			once.Do(func() {
				firstCrashed = worker.ID()
				h.setFaults(func(f *fakeworker.Faults) { f.DieOnStart = nil })
			})
		}()
	}
	if _, err := h.infer(timeoutContext(t, 5*time.Second), newRequest("quote", "q1", 5, 1, 1)); err != nil {
		t.Fatalf("%v (crashed first: %s)", err, firstCrashed)
	}
}

// TestNonIdempotentCallIsRetriedIfItCannotHaveRun checks that a call is retried after an attempt that provably did
// not run.
func TestNonIdempotentCallIsRetriedIfItCannotHaveRun(t *testing.T) {
	for name, disable := range map[string]func(*fakeworker.Worker){
		"connection refused": func(w *fakeworker.Worker) { w.Kill() },
		"REFUSED_STREAM": func(w *fakeworker.Worker) {
			w.ChangeFaults(func(f *fakeworker.Faults) { f.RefuseStreams = true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3, nil, nil)
			disable(h.workers[0])
			disable(h.workers[1])
			for i := range 6 {
				id := fmt.Sprint("a", i)
				if _, err := h.infer(timeoutContext(t, 5*time.Second), newRequest("award", id, 2, 1, 1)); err != nil {
					t.Fatal(err)
				}
				if ran := h.records(invariants.RunStarted, id); ran != 1 {
					t.Errorf("%s ran %d times", id, ran)
				}
			}
		})
	}
}
