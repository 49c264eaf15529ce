package respupstream

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestCommandsToHungWorkerEnd checks that a load command and a health check each end exactly once, as TimedOut, if
// the worker does not answer.
func TestCommandsToHungWorkerEnd(t *testing.T) {
	const limit = 300 * time.Millisecond // long enough for both to be written
	w := &fakeplatform.Worker{ID: "w", Handle: func(fakeplatform.Request) {}}
	h := newHarness(t, nil, &scriptedDispatcher{}, w)
	h.waitForEndpoints()
	results := make(chan dispatch.Result, 4)
	h.pool.LoadFunction("w", testFunction, 2, router.SendLimits{Remaining: limit}, func(r router.LoadResult) { results <- r.Result })
	h.pool.CheckHealth("w", limit, func(r router.HealthResult) { results <- r.Result })
	for range 2 {
		if result := testsupport.Await(t, results, "the end of a command"); result != dispatch.TimedOut {
			t.Errorf("ended as %v, want %v", result, dispatch.TimedOut)
		}
	}
	h.pool.Close() // ends the exchanges that are still open, if any
	if len(results) != 0 {
		t.Error("a command ended twice")
	}
}
