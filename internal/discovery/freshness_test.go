package discovery

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/platformtest"
)

// TestListConfirmationTime checks the time up to which a response confirms the list. The server writes a response
// without events at the end of the poll's wait, however late it is read. A response with events may have been written
// right after the poll was sent.
func TestListConfirmationTime(t *testing.T) {
	const wait = time.Second
	for _, test := range []struct {
		name      string
		readAfter time.Duration
		hasEvents bool
		want      time.Duration // after the poll was sent
	}{
		{"no event, read at once after the wait", wait + time.Millisecond, false, wait},
		{"no event, read after a pause of the process", time.Minute, false, wait},
		{"no event, before the wait was over", wait / 2, false, 0},
		{"events", wait / 2, true, 0},
		{"events, read after a pause of the process", time.Minute, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			query := pollQuery{sentAt: time.Now().Add(-test.readAfter), wait: wait}
			if got := query.confirmedAt(test.hasEvents, time.Now()); got != test.want {
				t.Errorf("list confirmed up to %v after the poll was sent, want %v", got, test.want)
			}
		})
	}
}

// elapsedClock is a RouterClock that shows the time since startedAt.
type elapsedClock struct {
	zeroClock
	startedAt time.Time
}

func (c elapsedClock) Now() time.Duration { return time.Since(c.startedAt) }

// callbackRecorder records the calls of a Watcher's callbacks, in order.
type callbackRecorder struct {
	mu      sync.Mutex
	reports []string
}

func (r *callbackRecorder) add(report string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, report)
}

// last returns the last report.
func (r *callbackRecorder) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reports[len(r.reports)-1]
}

func (r *callbackRecorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.reports, " ")
}

// startRecordedWatcher starts a Watcher whose callbacks are recorded.
func startRecordedWatcher(t *testing.T, server *fakeplatform.DiscoveryServer) (*Watcher, *callbackRecorder) {
	t.Helper()
	reports := &callbackRecorder{}
	cfg := watcherConfig(server.Addr(), func(endpoints.Update) { reports.add("update") })
	cfg.RouterClock = elapsedClock{startedAt: time.Now()}
	cfg.OnConfirmed = func(time.Duration) { reports.add("confirmed") }
	cfg.OnRequested = func(time.Duration) { reports.add("asked-again") }
	return startWatcherWith(t, cfg, server.AllEvents()), reports
}

// TestRecoveryPollsAreReported lets polls fail for a while. The list must not be confirmed during that time, and each
// further poll must be reported before it is sent. The first response must confirm the list, after the update that it
// contains.
func TestRecoveryPollsAreReported(t *testing.T) {
	for name, respond := range map[string]func(int, string) (string, bool){
		"never answered": func(int, string) (string, bool) { return "", true },
		"cut off":        func(int, string) (string, bool) { return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", false },
		"crowded":        func(int, string) (string, bool) { return "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := platformtest.StartDiscovery(t, initialEndpoints)
			watcher, reports := startRecordedWatcher(t, server)
			testsupport.WaitUntil(t, "the first poll", func() bool { return len(server.Polls()) > 0 })
			server.SetRespond(respond)
			testsupport.WaitUntil(t, "failed polls", func() bool { return watcher.Stats().FailedPolls > 2 })
			if report := reports.last(); report != "asked-again" {
				t.Errorf("reports %s, want the last to be a poll after a failure", reports)
			}
			server.AddEvent(fakeplatform.EndpointsEvent(false, "c 1.1.1.3:1 active"))
			server.SetRespond(nil)
			testsupport.WaitUntil(t, "the update", func() bool {
				return strings.Contains(reports.String(), "asked-again update confirmed")
			})
		})
	}
}

// TestFirstPollAfterFailureIsShort checks that the list is confirmed soon after a failure even if it has not changed.
func TestFirstPollAfterFailureIsShort(t *testing.T) {
	server := platformtest.StartDiscovery(t, initialEndpoints)
	confirmed := make(chan struct{}, 64)
	cfg := watcherConfig(server.Addr(), func(endpoints.Update) {})
	cfg.PollWait = longPollWait
	cfg.OnConfirmed = func(time.Duration) { confirmed <- struct{}{} }
	startWatcherWith(t, cfg, server.AllEvents())
	testsupport.Await(t, confirmed, "the confirmation at the start")
	awaitRevision(t, server, 1)
	server.Suspend()
	if err := server.Resume(); err != nil {
		t.Skip("the address was taken by another process:", err)
	}
	resumedAt := time.Now()
	testsupport.Await(t, confirmed, "the confirmation after the failure")
	if took := time.Since(resumedAt); took > longPollWait/2 {
		t.Errorf("confirmed after %v", took)
	}
}

// awaitRevision waits for a poll from a revision.
func awaitRevision(t *testing.T, server *fakeplatform.DiscoveryServer, revision int) {
	t.Helper()
	for {
		if got := testsupport.Await(t, server.Polls(), "a poll"); got == revision {
			return
		}
	}
}

// TestLowerRevisionTriggersResynchronization restarts the server with a new numbering of events. The watcher must not
// accept the lower revision as a confirmation; it must request the complete list, apply it and continue with the new
// revisions.
func TestLowerRevisionTriggersResynchronization(t *testing.T) {
	list := endpointList{}
	lists := make(chan string, 64)
	first := platformtest.StartDiscovery(t, initialEndpoints, fakeplatform.EndpointsEvent(false, "c 1.1.1.3:1 active"),
		fakeplatform.EndpointsEvent(false, "d 1.1.1.4:1 active"))
	second := platformtest.StartDiscovery(t, fakeplatform.EndpointsEvent(true, "a 1.1.1.1:1 active", "e 1.1.1.5:1 active"))
	watcher := startWatcherWith(t, watcherConfig(first.Addr(), func(update endpoints.Update) {
		list.apply(&update)
		lists <- list.String()
	}), first.AllEvents())
	testsupport.Await(t, lists, "the initial list")
	watcher.SetAddress(second.Addr())
	if got := testsupport.Await(t, lists, "the list of the restarted server"); got != "a@1.1.1.1:1, e@1.1.1.5:1" {
		t.Errorf("list %s", got)
	}
	second.AddEvent(fakeplatform.EndpointsEvent(false, "a 1.1.1.1:1 leaving"))
	if got := testsupport.Await(t, lists, "its next event"); got != "a@1.1.1.1:1 drains, e@1.1.1.5:1" {
		t.Errorf("list %s", got)
	}
}

// TestResynchronizationRequiresSnapshot checks that responses of a server whose events don't continue the log, and
// which sends no snapshot, are not applied.
func TestResynchronizationRequiresSnapshot(t *testing.T) {
	server := platformtest.StartDiscovery(t, initialEndpoints)
	watcher, reports := startRecordedWatcher(t, server)
	server.SetRespond(func(int, string) (string, bool) {
		return httpResponse(fmt.Sprintf(`{"cursor":7,"cmds":[{"cursor":7,%s}]}`, fakeplatform.EndpointsEvent(false, "c 1.1.1.3:1 active"))), true
	})
	testsupport.WaitUntil(t, "failed polls", func() bool { return watcher.Stats().FailedPolls > 3 })
	if strings.Count(reports.String(), "update") > 1 || watcher.Stats().Revision != 1 {
		t.Errorf("reports %s, revision %d; want at most one update, revision 1", reports, watcher.Stats().Revision)
	}
	server.SetRespond(nil)
	testsupport.WaitUntil(t, "a confirmation", func() bool { return reports.last() == "confirmed" })
}

// TestStartReportsRequestAfterConfirmation checks that Start confirms the initial list and then reports a request with
// a later time, because the server may have been unreachable for an unknown time.
func TestStartReportsRequestAfterConfirmation(t *testing.T) {
	var confirmed, requested []time.Duration
	cfg := watcherConfig(testsupport.UnusedAddress(t), func(endpoints.Update) {})
	cfg.OnConfirmed = func(at time.Duration) { confirmed = append(confirmed, at) }
	cfg.OnRequested = func(at time.Duration) { requested = append(requested, at) }
	startWatcherWith(t, cfg, `{"cursor":1,"cmds":[{"cursor":1,`+initialEndpoints+`}]}`).Close()
	if len(confirmed) != 1 || len(requested) != 1 || requested[0] <= confirmed[0] {
		t.Errorf("confirmed at %v, requested at %v", confirmed, requested)
	}
}

// TestRestartAtSameRevisionIsDetected stops the server for longer than verifyAfter and restarts it with a different
// list at the same revision. The watcher must detect that the last event has changed and request the complete list.
func TestRestartAtSameRevisionIsDetected(t *testing.T) {
	t.Parallel()
	server := platformtest.StartDiscovery(t, initialEndpoints)
	address := server.Addr()
	lists := make(chan string, 64)
	list := endpointList{}
	cfg := watcherConfig(address, func(update endpoints.Update) {
		list.apply(&update)
		lists <- list.String()
	})
	cfg.RouterClock = elapsedClock{startedAt: time.Now()}
	startWatcherWith(t, cfg, server.AllEvents())
	testsupport.Await(t, lists, "the initial list")
	server.Suspend()
	time.Sleep(verifyAfter + testPollWait)
	restarted, err := fakeplatform.StartDiscoveryServerAt(address, fakeplatform.EndpointsEvent(true, "a 1.1.1.1:1 leaving", "b 1.1.1.2:1 active"))
	if err != nil {
		t.Skip("the address was taken by another process:", err)
	}
	t.Cleanup(restarted.Stop)
	if got := testsupport.Await(t, lists, "the list of the restarted server"); got != "a@1.1.1.1:1 drains, b@1.1.1.2:1" {
		t.Errorf("list %s", got)
	}
}
