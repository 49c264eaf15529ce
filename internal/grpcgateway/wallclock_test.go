package grpcgateway

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestWorkerStartsWithSteppedWallClock adds workers to the list with start times that are wrong because the wall
// clock was stepped where the list is written. The gateway must assume that such a worker started after the file was
// last read without it, and not in the future.
func TestWorkerStartsWithSteppedWallClock(t *testing.T) {
	type observedStart struct{ startedAt, observedAt time.Duration }
	starts := make(chan observedStart, 16)
	observe := func(now time.Duration, events []dispatch.Event, _ []dispatch.Action) {
		for _, event := range events {
			if update, ok := event.(dispatch.EndpointUpdate); ok && len(update.Endpoints) > 0 {
				added := update.Endpoints[len(update.Endpoints)-1]
				starts <- observedStart{added.StartedAt, now}
			}
		}
	}
	path := filepath.Join(t.TempDir(), "workers.json")
	list := config.WorkerList{Workers: []config.Worker{{ID: "a", Address: "127.0.0.1:1", Kind: "box"}}}
	if err := config.WriteWorkers(path, list); err != nil {
		t.Fatal(err)
	}
	gateway, err := Start(testGatewayConfig(path), Options{Observer: observe})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gateway.Kill)
	if first := testsupport.Await(t, starts, "the first list"); first.startedAt != 0 {
		t.Errorf("start of a worker listed without a start time: %+v, want 0", first)
	}
	for i, step := range testsupport.WallClockSteps {
		startedAt := time.Now().Add(step)
		list.Workers = append(list.Workers, config.Worker{ID: string(rune('b' + i)), Address: "127.0.0.1:1", Kind: "box", StartedAt: &startedAt})
		earliest := gateway.router.Now() - config.PollInterval
		if err := config.WriteWorkers(path, list); err != nil {
			t.Fatal(err)
		}
		if got := testsupport.Await(t, starts, "the list"); got.startedAt < earliest || got.startedAt > got.observedAt {
			t.Errorf("step %v: added after %v, %+v", step, earliest, got)
		}
	}
}
