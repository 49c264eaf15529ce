package discovery

import (
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// formatList formats an endpoint list as "id@address, id@address drains".
func formatList(workers []endpoints.Worker) string {
	var parts []string
	for _, worker := range workers {
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

// constantRouterTime converts start times for tests that don't look at them.
func constantRouterTime(string, wallclock.Time) time.Duration { return 1 }

// zeroClock is a RouterClock for tests that don't look at start times.
type zeroClock struct{}

func (zeroClock) Clock() time.Duration            { return 0 }
func (zeroClock) At(wallclock.Time) time.Duration { return 0 }

// initialEndpoints is the event of a snapshot of the endpoints a and b.
var initialEndpoints = fakeplatform.EndpointsEvent(true, "a 1.1.1.1:1 active", "b 1.1.1.2:1 active")

func startServer(t *testing.T, events ...string) *fakeplatform.DiscoveryServer {
	t.Helper()
	server, err := fakeplatform.StartDiscoveryServer(events...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return server
}

// testPollWait is the PollWait of most tests.
const testPollWait = 200 * time.Millisecond

// watcherConfig is a configuration with short times.
func watcherConfig(address string, onUpdate func([]endpoints.Worker)) Config {
	return Config{Address: address, ConnectTimeout: 5 * time.Second, PollWait: testPollWait,
		ResponseGrace: 300 * time.Millisecond, MaxRetryDelay: 50 * time.Millisecond, MaxResponseBytes: 1 << 16,
		RouterClock: zeroClock{}, OnUpdate: onUpdate}
}

// longPollWait is the PollWait of tests in which no poll may time out, on a busy machine too.
const longPollWait = 5 * time.Second

// startWatcher starts a discovery server whose first event is a snapshot of the endpoints a and b, and a Watcher of it.
// respond is the server's Respond. The channel returned has each further list, formatted.
func startWatcher(t *testing.T, respond func(int, string) (string, bool)) (*fakeplatform.DiscoveryServer, *Watcher, chan string) {
	t.Helper()
	return startWatcherWithWait(t, testPollWait, respond)
}

func startWatcherWithWait(t *testing.T, pollWait time.Duration, respond func(int, string) (string, bool),
) (*fakeplatform.DiscoveryServer, *Watcher, chan string) {
	t.Helper()
	server := startServer(t, initialEndpoints)
	server.Respond = respond
	lists := make(chan string, 64)
	cfg := watcherConfig(server.Addr(), func(workers []endpoints.Worker) { lists <- formatList(workers) })
	cfg.PollWait = pollWait
	watcher, err := Start(cfg, parseResponse(t, server.AllEvents()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(watcher.Close)
	if got := testsupport.Await(t, lists, "the initial list"); got != "a@1.1.1.1:1, b@1.1.1.2:1" {
		t.Fatalf("initial list: %s", got)
	}
	return server, watcher, lists
}
