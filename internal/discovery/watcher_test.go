package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
)

func TestWatchAppliesUpdates(t *testing.T) {
	server, _, lists := startWatcher(t, nil)
	server.AddEvent(fakeplatform.EndpointsEvent(false, "a 1.1.1.1:1 leaving"))
	if got := testsupport.Await(t, lists, "the drain"); got != "a@1.1.1.1:1 drains, b@1.1.1.2:1" {
		t.Errorf("after the drain: %s", got)
	}
	server.AddEvent(fakeplatform.EndpointsEvent(false, "a 1.1.1.1:1 left", "c 1.1.1.1:1 active")) // a new endpoint at the old address
	if got := testsupport.Await(t, lists, "the change"); got != "b@1.1.1.2:1, c@1.1.1.1:1" {
		t.Errorf("after the change: %s", got)
	}
	server.AddEvent(`"other":{"x":1}`) // an event of another kind advances the revision without changing the list
	server.AddEvent(fakeplatform.EndpointsEvent(true, "d 1.1.1.4:1 active"))
	if got := testsupport.Await(t, lists, "the snapshot"); got != "d@1.1.1.4:1" {
		t.Errorf("after a snapshot: %s", got)
	}
}

// brokenResponses holds functions that return a response that must not be applied, made from the body of the valid
// response that it replaces. If hold is true, the server keeps the connection open after the response.
var brokenResponses = map[string]func(body string) (raw string, hold bool){
	"cut off within an event":   func(body string) (string, bool) { return truncated(body), false },
	"cut off and held open":     func(body string) (string, bool) { return truncated(body), true },
	"closed without a response": func(string) (string, bool) { return "\r\n", false },
	"silent":                    func(string) (string, bool) { return "", true },
	"noise":                     func(string) (string, bool) { return "\x00\xff\x17noise\r\n\r\n", true },
	"an error status":           func(string) (string, bool) { return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", true },
	"no JSON":                   func(body string) (string, bool) { return httpResponse(body[1:]), true },
	"no cursor":                 func(string) (string, bool) { return httpResponse(`{"cmds":[]}`), true },
	"a length of 3 GB":          func(string) (string, bool) { return "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n{", true },
	"an endpoint without address": func(body string) (string, bool) {
		return httpResponse(strings.Replace(body, "1.1.1.3:1", "", 1)), true
	},
	"an unknown state": func(body string) (string, bool) {
		return httpResponse(strings.Replace(body, `"phase":"active"`, `"phase":"odd"`, 1)), true
	},
	"without length, cut off": func(body string) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\n" + body[:len(body)-9], false },
	"events out of order": func(string) (string, bool) {
		return httpResponse(`{"cursor":9,"cmds":[{"cursor":3,` + fakeplatform.EndpointsEvent(false, "x 1.1.1.1:1 active") + `},{"cursor":2}]}`), true
	},
	"a gap": func(string) (string, bool) {
		return httpResponse(`{"cursor":9,"cmds":[{"cursor":9,` + fakeplatform.EndpointsEvent(false, "x 1.1.1.1:1 active") + `}]}`), true
	},
}

func httpResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func truncated(body string) string {
	response := httpResponse(body)
	return response[:len(response)-20]
}

// TestBrokenResponseIsPolledAgain checks that a response that is truncated, malformed, too long or missing leaves the
// list unchanged and is followed by the same request, after which the event is applied once.
func TestBrokenResponseIsPolledAgain(t *testing.T) {
	for name, broken := range brokenResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := make(chan struct{})
			brokenSent := make(chan struct{})
			server, watcher, lists := startWatcher(t, func(_ int, body string) (string, bool) {
				if !strings.Contains(body, "1.1.1.3") {
					return "", false
				}
				select {
				case <-first:
					return "", false
				default:
					close(first)
					defer close(brokenSent)
					return broken(body)
				}
			})
			server.AddEvent(fakeplatform.EndpointsEvent(false, "c 1.1.1.3:1 active"))
			testsupport.Await(t, brokenSent, "the broken response")
			if got := testsupport.Await(t, lists, "the event"); got != "a@1.1.1.1:1, b@1.1.1.2:1, c@1.1.1.3:1" {
				t.Errorf("list %s", got)
			}
			if stats := watcher.Stats(); stats.Revision != 2 || stats.Events != 1 || stats.FailedPolls == 0 {
				t.Errorf("%+v", stats)
			}
			for len(server.Polls()) > 0 {
				if revision := <-server.Polls(); revision > 2 {
					t.Errorf("polled from revision %d, beyond the events sent", revision)
				}
			}
		})
	}
}

// TestSetAddressKeepsRevision checks that the poll pending at the old address, which the server never answers, is
// abandoned, and that polling resumes from the same revision at the new address.
func TestSetAddressKeepsRevision(t *testing.T) {
	oldServer, watcher, lists := startWatcherWithWait(t, longPollWait, nil)
	oldServer.AddEvent(fakeplatform.EndpointsEvent(false, "c 1.1.1.3:1 active"))
	testsupport.Await(t, lists, "the second event")
	newServer := platformtest.StartDiscovery(t, `"x":1`, `"x":2`, fakeplatform.EndpointsEvent(false, "d 1.1.1.4:1 active"))
	watcher.SetAddress(newServer.Addr())
	if revision := testsupport.Await(t, newServer.Polls(), "a poll at the new address"); revision != 2 {
		t.Errorf("polled from revision %d", revision)
	}
	if got := testsupport.Await(t, lists, "the third event"); got != "a@1.1.1.1:1, b@1.1.1.2:1, c@1.1.1.3:1, d@1.1.1.4:1" {
		t.Errorf("list %s", got)
	}
	if stats := watcher.Stats(); stats.Revision != 3 || stats.AddressChanges != 1 || stats.FailedPolls != 0 {
		t.Errorf("%+v, want no failed poll", stats)
	}
}

// TestInterruptionDuringDial checks that a change of the address or a Close while a connection is being established
// prevents a poll on that connection and doesn't count as a failure.
func TestInterruptionDuringDial(t *testing.T) {
	for name, closed := range map[string]bool{"address changed": false, "closed": true} {
		t.Run(name, func(t *testing.T) {
			oldServer, newServer := platformtest.StartDiscovery(t, initialEndpoints), platformtest.StartDiscovery(t, initialEndpoints)
			dialing, dialed := make(chan struct{}), make(chan struct{})
			cfg := watcherConfig(oldServer.Addr(), func(endpoints.Update) {})
			cfg.PollWait = longPollWait
			cfg.dial = func(address string, cfg Config) (*connection, error) {
				if address == oldServer.Addr() {
					dialing <- struct{}{}
					<-dialed
				}
				return dial(address, cfg)
			}
			watcher := startWatcherWith(t, cfg, oldServer.AllEvents())
			testsupport.Await(t, dialing, "a connect to the old address")
			if closed {
				watcher.cancel() // as Close does first
			} else {
				watcher.SetAddress(newServer.Addr())
			}
			dialed <- struct{}{}
			if closed {
				testsupport.Await(t, watcher.done, "the end of the watch")
			} else {
				testsupport.Await(t, newServer.Polls(), "a poll at the new address")
			}
			if stats := watcher.Stats(); len(oldServer.Polls()) > 0 || stats.FailedPolls != 0 {
				t.Errorf("%d polls at the old address, %+v", len(oldServer.Polls()), stats)
			}
		})
	}
}

// TestPendingPollIsInterrupted checks that SetAddress and Close don't wait for the response to a pending poll.
func TestPendingPollIsInterrupted(t *testing.T) {
	oldServer, watcher, _ := startWatcherWithWait(t, longPollWait, nil)
	testsupport.Await(t, oldServer.Polls(), "a poll at the old address")
	newServer := platformtest.StartDiscovery(t, `"x":1`)
	startedAt := time.Now()
	watcher.SetAddress(newServer.Addr())
	testsupport.Await(t, newServer.Polls(), "a poll at the new address")
	if elapsed := time.Since(startedAt); elapsed > longPollWait/2 {
		t.Errorf("polled at the new address after %v", elapsed)
	}
	startedAt = time.Now()
	watcher.Close()
	if elapsed := time.Since(startedAt); elapsed > longPollWait/2 {
		t.Errorf("closed after %v", elapsed)
	}
}

// TestPrematureResponsesAreThrottled checks that a server that answers each poll immediately without an event is polled
// no faster than a failing one, and that a later event is still applied.
func TestPrematureResponsesAreThrottled(t *testing.T) {
	server, watcher, lists := startWatcher(t, nil)
	server.RespondAtOnce()
	time.Sleep(300 * time.Millisecond)
	if stats := watcher.Stats(); stats.Polls > 100 {
		t.Errorf("%d polls in 0.3 s", stats.Polls)
	}
	server.AddEvent(fakeplatform.EndpointsEvent(false, "c 1.1.1.3:1 active"))
	if got := testsupport.Await(t, lists, "the event"); got != "a@1.1.1.1:1, b@1.1.1.2:1, c@1.1.1.3:1" {
		t.Errorf("list %s", got)
	}
}
