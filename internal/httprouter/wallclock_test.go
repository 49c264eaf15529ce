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

// workerStart is a notification to the dispatcher of when a worker started.
type workerStart struct {
	worker     string
	startedAt  time.Duration
	notifiedAt time.Duration
}

// startRecorder is a dispatcher that sends each start of a worker that it is notified of to a channel, once.
type startRecorder struct {
	starts chan workerStart
	known  map[string]time.Duration
}

func (r *startRecorder) Step(now time.Duration, events []dispatch.Event) []dispatch.Action {
	for _, event := range events {
		update, ok := event.(dispatch.EndpointUpdate)
		if !ok {
			continue
		}
		for _, e := range update.Endpoints {
			if startedAt, ok := r.known[e.ID]; !ok || startedAt != e.StartedAt {
				r.known[e.ID] = e.StartedAt
				r.starts <- workerStart{worker: e.ID, startedAt: e.StartedAt, notifiedAt: now}
			}
		}
	}
	return nil
}

// TestWorkerStartsWithSteppedWallClock guards against wrong start times of workers after a step of the wall clock,
// either that of the router before its start or that of the whole platform while the router runs. The start time of a
// worker in an update must lie between the router's start and the update, and that of the other worker must not change.
func TestWorkerStartsWithSteppedWallClock(t *testing.T) {
	for _, step := range testsupport.WallClockSteps {
		for _, beforeStart := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v/before start %v", step, beforeStart), func(t *testing.T) {
				t.Parallel()
				var clock, platform testsupport.WallClock // of the router's host, and of the platform
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
				recorder := &startRecorder{starts: make(chan workerStart, 8), known: map[string]time.Duration{}}
				beforeServer := time.Now()
				server, err := Start(cfg, Options{WallClock: &clock, NewDispatcher: fixedDispatcher(recorder)})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(server.Close)
				serverStart := server.router.Now() - time.Since(beforeServer)
				first := testsupport.Await(t, recorder.starts, "the first list")
				if first.startedAt > first.notifiedAt {
					t.Errorf("start time of the first worker is in the future: %+v", first)
				}
				if !beforeStart {
					clock.Step(step)
					platform.Step(step)
				}
				discovery.AddEvent(fakeplatform.EndpointsEvent(false, endpoint("new")))
				second := testsupport.Await(t, recorder.starts, "the update")
				if second.worker != "new" || second.startedAt < serverStart || second.startedAt > second.notifiedAt {
					t.Errorf("server started at %v, first list %+v, update %+v", serverStart, first, second)
				}
			})
		}
	}
}
