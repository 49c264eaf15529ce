package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
)

// TestLateResponsesAreApplied delays each response, up to more than twice a poll's timeout. Each event must be applied
// exactly once.
func TestLateResponsesAreApplied(t *testing.T) {
	for name, delay := range map[string]time.Duration{"a little": 400 * time.Millisecond, "over twice the time-out": 1100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, watcher, lists := startWatcher(t, func(int, string) (string, bool) {
				time.Sleep(delay)
				return "", false
			})
			for _, want := range []string{"c", "d", "e"} {
				server.AddEvent(fakeplatform.EndpointsEvent(true, want+" 1.1.1.1:1 active"))
				if got := testsupport.Await(t, lists, "the event"); got != want+"@1.1.1.1:1" {
					t.Errorf("list %s, want %s", got, want)
				}
			}
			if stats := watcher.Stats(); stats.Events != 3 {
				t.Errorf("%+v, want 3 events", stats)
			}
		})
	}
}

// TestLongOutage lets every connect fail for 60 s of simulated time. It guards against a flood of connects and against
// a late recovery: the first connect after the outage must come within the longest delay and resume from the revision
// before it.
func TestLongOutage(t *testing.T) {
	const outage, maxDelay = time.Minute, 500 * time.Millisecond
	server := platformtest.StartDiscovery(t, initialEndpoints)
	lists := make(chan string, 8)
	list := endpointList{}
	cfg := watcherConfig(server.Addr(), func(update endpoints.Update) {
		list.apply(&update)
		lists <- list.String()
	})
	cfg.MaxRetryDelay = maxDelay
	var elapsed time.Duration // simulated time since the start of the outage; only the watcher's goroutine uses it
	failedConnects, over := 0, make(chan time.Duration, 1)
	cfg.sleep = func(_ context.Context, d time.Duration) { elapsed += d }
	cfg.dial = func(address string, cfg Config) (*connection, error) {
		if elapsed < outage {
			failedConnects++
			return nil, errors.New("down")
		}
		if len(over) == 0 {
			over <- elapsed
			server.AddEvent(fakeplatform.EndpointsEvent(false, "c 1.1.1.3:1 active"))
		}
		return dial(address, cfg)
	}
	startWatcherWith(t, cfg, server.AllEvents())
	testsupport.Await(t, lists, "the initial list")
	if got := testsupport.Await(t, lists, "the event of the outage"); got != "a@1.1.1.1:1, b@1.1.1.2:1, c@1.1.1.3:1" {
		t.Errorf("list %s", got)
	}
	if late := testsupport.Await(t, over, "the end") - outage; late > maxDelay {
		t.Errorf("connected %v after the outage", late)
	}
	if most := int(outage/(maxDelay/2)) + 10; failedConnects > most {
		t.Errorf("%d connects in %v, want at most %d", failedConnects, outage, most)
	}
	if revision := testsupport.Await(t, server.Polls(), "a poll"); revision != 1 {
		t.Errorf("polled from revision %d", revision)
	}
}

// TestOverloadedServer lets the server reject several polls before it answers one. The event must then be applied, and
// the rejected polls must be delayed by the backoff.
func TestOverloadedServer(t *testing.T) {
	const rejected = 12
	startedAt := time.Now()
	server, watcher, lists := startWatcher(t, func(poll int, _ string) (string, bool) {
		if poll > rejected {
			return "", false
		}
		return "HTTP/1.1 503 Crowded\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", false
	})
	server.AddEvent(fakeplatform.EndpointsEvent(false, "c 1.1.1.3:1 active"))
	if got := testsupport.Await(t, lists, "the event"); got != "a@1.1.1.1:1, b@1.1.1.2:1, c@1.1.1.3:1" {
		t.Errorf("list %s", got)
	}
	// The shortest delay of a retry is half of the delay after the second failure, retryBaseDelay << 2.
	const shortestDelay = 20 * time.Millisecond
	if elapsed := time.Since(startedAt); elapsed < (rejected-2)*shortestDelay {
		t.Errorf("%d polls were rejected within %v", rejected, elapsed)
	}
	if stats := watcher.Stats(); stats.FailedPolls < rejected || stats.Events != 1 {
		t.Errorf("%+v", stats)
	}
}

// TestAddressChangesInQuickSuccession changes the address five times in a row. The watcher must end up polling the last
// address, with every event applied exactly once.
func TestAddressChangesInQuickSuccession(t *testing.T) {
	const changes = 5
	_, watcher, lists := startWatcherWithWait(t, longPollWait, nil)
	events := []string{initialEndpoints}
	var last *fakeplatform.DiscoveryServer
	for i := range changes {
		events = append(events, fakeplatform.EndpointsEvent(false, fmt.Sprintf("w%d 1.1.1.3:1 active", i)))
		last = platformtest.StartDiscovery(t, events...)
		watcher.SetAddress(last.Addr())
	}
	const want = "a@1.1.1.1:1, b@1.1.1.2:1, w0@1.1.1.3:1, w1@1.1.1.3:1, w2@1.1.1.3:1, w3@1.1.1.3:1, w4@1.1.1.3:1"
	for got := ""; got != want; {
		got = testsupport.Await(t, lists, "the last server's list")
	}
	for revision := 0; revision != changes+1; {
		revision = testsupport.Await(t, last.Polls(), "a poll at the last address")
	}
	if stats := watcher.Stats(); stats.Events != changes || stats.AddressChanges != changes || stats.FailedPolls != 0 {
		t.Errorf("%+v", stats)
	}
}

// TestLatePollIsClosedOnceAnotherIsAnswered checks that the connection of a poll that is never answered is closed once
// a later poll is answered.
func TestLatePollIsClosedOnceAnotherIsAnswered(t *testing.T) {
	listener := testsupport.Listen(t)
	lists, silentEnded := make(chan string, 8), make(chan struct{})
	go func() {
		silent, err := listener.Accept()
		if err != nil {
			return
		}
		answered, err := listener.Accept() // after the timeout of the first poll
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(io.Discard, silent)
			close(silentEnded)
		}()
		body := `{"cursor":2,"cmds":[{"cursor":2,` + fakeplatform.EndpointsEvent(true, "c 1.1.1.1:1 active") + `}]}`
		for request := make([]byte, 1024); ; body = `{"cursor":2,"cmds":[]}` {
			if _, err := answered.Read(request); err != nil {
				return
			}
			time.Sleep(testPollWait / 2)
			_, _ = answered.Write([]byte(httpResponse(body)))
		}
	}()
	list := endpointList{}
	onUpdate := func(update endpoints.Update) {
		list.apply(&update)
		lists <- list.String()
	}
	startWatcherWith(t, watcherConfig(listener.Addr().String(), onUpdate), `{"cursor":1,"cmds":[]}`)
	testsupport.Await(t, lists, "the initial list")
	if got := testsupport.Await(t, lists, "the event"); got != "c@1.1.1.1:1" {
		t.Errorf("list %s", got)
	}
	testsupport.Await(t, silentEnded, "the end of the silent poll's connection")
}
