package grpcgateway

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestWorkerStartsWithSteppedWallClock adds workers to the list whose start times are off as after a step of the wall
// clock where the list is written. Each is taken to have started after the file was last read without it, and not in the
// future.
func TestWorkerStartsWithSteppedWallClock(t *testing.T) {
	type toldStart struct{ startedAt, toldAt time.Duration }
	starts := make(chan toldStart, 16)
	observe := func(now time.Duration, events []dispatch.Event, _ []dispatch.Action) {
		for _, event := range events {
			if update, ok := event.(dispatch.EndpointUpdate); ok && len(update.Endpoints) > 0 {
				added := update.Endpoints[len(update.Endpoints)-1]
				starts <- toldStart{added.StartedAt, now}
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
		t.Errorf("a worker without a start time: %+v, want long ago", first)
	}
	for i, step := range testsupport.WallClockSteps {
		startedAt := time.Now().Add(step)
		list.Workers = append(list.Workers, config.Worker{ID: string(rune('b' + i)), Address: "127.0.0.1:1", Kind: "box", StartedAt: &startedAt})
		earliest := gateway.router.Now() - config.PollInterval
		if err := config.WriteWorkers(path, list); err != nil {
			t.Fatal(err)
		}
		if told := testsupport.Await(t, starts, "the list"); told.startedAt < earliest || told.startedAt > told.toldAt {
			t.Errorf("step %v: added after %v, %+v", step, earliest, told)
		}
	}
}
