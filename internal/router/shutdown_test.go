package router

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// stopLimit is far beyond what a Stop takes that doesn't run into its limit.
const stopLimit = 20 * time.Second

// TestWorkThatCrossesTheEndOfTheLoop posts work in the last turn of a loop that is to stop: work that posts more as it
// runs. All of it is run, a call gets its answer, and the loop ends.
func TestWorkThatCrossesTheEndOfTheLoop(t *testing.T) {
	for name, test := range map[string]struct {
		cross      func(r *Router, call *Call)
		wantAnswer bool
	}{
		"a call": {func(r *Router, call *Call) { r.Submit(call) }, true},
		"a cancellation behind its call": {func(r *Router, call *Call) {
			cancel, _ := r.Submit(call)
			r.post(cancel)
		}, false},
		"an endpoint list behind a call": {func(r *Router, call *Call) {
			r.Submit(call)
			r.post(func() {
				r.SetEndpoints([]endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: testWorkers[0], Kind: "k"}}})
			})
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			client := make(answerChannel, 1)
			call := &Call{Function: testFunction, Class: testClass, MemoryMB: 1, ConcurrencyPerInstance: 1,
				RemainingDeadline: testDeadline, Client: client}
			r, _, _ := startRouter(t, false)
			refused := false
			r.post(func() {
				r.stopWhenIdle = true
				test.cross(r, call)
				r.post(func() { refused = !r.post(func() {}) })
			})
			if unanswered := r.Stop(stopLimit); unanswered != 0 {
				t.Errorf("%d calls without an answer", unanswered)
			}
			if refused {
				t.Error("a loop that went on refused work")
			}
			if test.wantAnswer {
				testsupport.Await(t, client, "the answer")
			} else if r.stats.Cancelled != 1 {
				t.Errorf("%d calls cancelled, want 1", r.stats.Cancelled)
			}
		})
	}
}
