package discovery

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// endpointList is the endpoint list that results from the updates applied to it, by ID.
type endpointList map[string]endpoints.Worker

// apply applies an update. It does nothing if update is nil.
func (l endpointList) apply(update *endpoints.Update) {
	if update == nil {
		return
	}
	if update.Snapshot {
		clear(l)
	}
	for _, worker := range update.Workers {
		if worker.State == dispatch.EndpointRemoved {
			delete(l, worker.ID)
		} else {
			l[worker.ID] = worker
		}
	}
}

// workers returns the workers sorted by ID.
func (l endpointList) workers() (workers []endpoints.Worker) {
	for _, id := range slices.Sorted(maps.Keys(l)) {
		workers = append(workers, l[id])
	}
	return workers
}

// String formats the list as "id@address, id@address drains".
func (l endpointList) String() string {
	var parts []string
	for _, worker := range l.workers() {
		part := worker.ID + "@" + worker.Address
		if worker.State == dispatch.EndpointDraining {
			part += " drains"
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}

func parseResponse(t *testing.T, raw string) PollResponse {
	t.Helper()
	response, err := ParsePollResponse([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// startWatcherWith starts a watcher with the given events as its initial response, and closes it at the end of the
// test.
func startWatcherWith(t *testing.T, cfg Config, events string) *Watcher {
	t.Helper()
	watcher, err := Start(cfg, parseResponse(t, events))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(watcher.Close)
	return watcher
}

// constantRouterTime is a startTimeConverter for tests that ignore start times.
func constantRouterTime(string, wallclock.Time) time.Duration { return 1 }

// zeroClock is a RouterClock for tests that ignore start times.
type zeroClock struct{}

func (zeroClock) Now() time.Duration                        { return 0 }
func (zeroClock) FromWallTime(wallclock.Time) time.Duration { return 0 }

// initialEndpoints is an event with a snapshot of the endpoints a and b.
var initialEndpoints = fakeplatform.EndpointsEvent(true, "a 1.1.1.1:1 active", "b 1.1.1.2:1 active")

// testPollWait is the PollWait of most tests.
const testPollWait = 200 * time.Millisecond

// watcherConfig returns a configuration with short timeouts.
func watcherConfig(address string, onUpdate func(endpoints.Update)) Config {
	return Config{Address: address, ConnectTimeout: 5 * time.Second, PollWait: testPollWait,
		ResponseGrace: 300 * time.Millisecond, MaxRetryDelay: 50 * time.Millisecond, MaxResponseBytes: 1 << 16,
		RouterClock: zeroClock{}, OnUpdate: onUpdate}
}

// longPollWait is the PollWait of tests in which no poll may time out, even on a busy machine.
const longPollWait = 5 * time.Second

// startWatcher starts a discovery server whose first event is a snapshot of the endpoints a and b, and a Watcher that
// polls it. respond is the server's Respond. The returned channel receives each further list, formatted.
func startWatcher(t *testing.T, respond func(int, string) (string, bool)) (*fakeplatform.DiscoveryServer, *Watcher, chan string) {
	t.Helper()
	return startWatcherWithWait(t, testPollWait, respond)
}

// startWatcherWithWait is startWatcher with the given PollWait.
func startWatcherWithWait(t *testing.T, pollWait time.Duration, respond func(int, string) (string, bool),
) (*fakeplatform.DiscoveryServer, *Watcher, chan string) {
	t.Helper()
	server := platformtest.StartDiscovery(t, initialEndpoints)
	server.Respond = respond
	list, lists := endpointList{}, make(chan string, 64)
	cfg := watcherConfig(server.Addr(), func(update endpoints.Update) {
		list.apply(&update)
		lists <- list.String()
	})
	cfg.PollWait = pollWait
	watcher := startWatcherWith(t, cfg, server.AllEvents())
	if got := testsupport.Await(t, lists, "the initial list"); got != "a@1.1.1.1:1, b@1.1.1.2:1" {
		t.Fatalf("initial list: %s", got)
	}
	return server, watcher, lists
}
