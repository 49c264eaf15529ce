package httprouter

import (
	"fmt"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
)

// workerStart is what the dispatcher is notified of a worker's start.
type workerStart struct {
	worker    string
	startedAt time.Duration
	toldAt    time.Duration
}

// startRecorder is a dispatcher that passes on the starts of the workers in each endpoint list, once each.
type startRecorder struct {
	starts   chan workerStart
	notified map[string]time.Duration
}

func (r *startRecorder) Step(now time.Duration, events []dispatch.Event) []dispatch.Action {
	for _, event := range events {
		update, ok := event.(dispatch.EndpointUpdate)
		if !ok {
			continue
		}
		for _, e := range update.Endpoints {
			if startedAt, ok := r.notified[e.ID]; !ok || startedAt != e.StartedAt {
				r.notified[e.ID] = e.StartedAt
				r.starts <- workerStart{worker: e.ID, startedAt: e.StartedAt, toldAt: now}
			}
		}
	}
	return nil
}

// TestWorkerStartsWithSteppedWallClock steps the wall clock before the router's start, and that of the whole platform in
// mid-run. The start of a worker that an update names is taken to lie between the router's start and the update, and the
// other worker's start stays what it was.
func TestWorkerStartsWithSteppedWallClock(t *testing.T) {
	for _, step := range testsupport.WallClockSteps {
		for _, beforeStart := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v/before start %v", step, beforeStart), func(t *testing.T) {
				t.Parallel()
				var clock, platform testsupport.WallClock // of the router's host and of the platform
				endpoint := func(id string) string {
					return fmt.Sprintf("%s 127.0.0.1:1 active 0 %d", id, platform.Now().UnixMilli())
				}
				discovery := platformtest.StartDiscovery(t, fakeplatform.EndpointsEvent(true, endpoint("first")))
				cfg, err := ParseConfig([]byte(configJSON(discovery.Addr(), discovery.AllEvents())))
				if err != nil {
					t.Fatal(err)
				}
				if beforeStart {
					clock.Step(step)
				}
				recorder := &startRecorder{starts: make(chan workerStart, 8), notified: map[string]time.Duration{}}
				beforeServer := time.Now()
				server, err := Start(cfg, Options{WallClock: &clock, NewDispatcher: fixedDispatcher(recorder)})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(server.Close)
				serverStart := server.router.Now() - time.Since(beforeServer)
				first := testsupport.Await(t, recorder.starts, "the first list")
				if first.startedAt > first.toldAt {
					t.Errorf("a worker of the first list starts in the future: %+v", first)
				}
				if !beforeStart {
					clock.Step(step)
					platform.Step(step)
				}
				discovery.AddEvent(fakeplatform.EndpointsEvent(false, endpoint("new")))
				second := testsupport.Await(t, recorder.starts, "the update")
				if second.worker != "new" || second.startedAt < serverStart || second.startedAt > second.toldAt {
					t.Errorf("started at %v, first list %+v, update %+v", serverStart, first, second)
				}
			})
		}
	}
}
