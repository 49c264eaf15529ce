package httprouter

import (
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// waysToLoseList holds, by name, how a router loses the endpoint list without a restart of its own.
var waysToLoseList = map[string]func(*harness){
	"discovery refuses connections": func(h *harness) { h.discovery.Suspend() },
	"discovery is silent":           func(h *harness) { h.discovery.SetRespond(func(int, string) (string, bool) { return "", true }) },
	"each list comes late": func(h *harness) {
		h.discovery.SetRespond(func(int, string) (string, bool) {
			time.Sleep(3 * time.Second)
			return "", false
		})
	},
	"SIGHUP names an address without a server": func(h *harness) {
		moved := *h.server.cfg
		moved.DiscoveryAddress = testsupport.UnusedAddress(h.t)
		h.server.UpdateConfig(&moved)
	},
}

// TestRestartIsPossibleWithoutConnections guards against a router that takes a worker for warm after a restart that it could
// not see: it had closed its connections as idle, and then lost the endpoint list.
func TestRestartIsPossibleWithoutConnections(t *testing.T) {
	t.Parallel()
	for name, loseList := range waysToLoseList {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			settings := strings.Replace(defaultSettings, `"idle_close":15000000`, `"idle_close":400000`, 1)
			h := startHarness(t, harnessOptions{settings: settings})
			h.makeCalls(4)
			testsupport.WaitUntil(t, "all connections are closed as idle", func() bool { return h.server.upstream.Stats().Conns == 0 })
			loseList(h)
			testsupport.WaitUntil(t, "the list is out of date", func() bool { return h.server.router.Stats().ListExpired })
			h.restart(h.workers[0])
			before := h.server.router.Stats()
			if served := h.makeCalls(1); served < 3 {
				t.Errorf("%d of 3 calls served", served)
			}
			after := h.server.router.Stats()
			attempts, unproven := after.Attempts-before.Attempts, after.UnprovenAttempts-before.UnprovenAttempts
			if unproven != attempts {
				t.Errorf("%d of %d attempts took into account that the worker may have been restarted, want all", unproven, attempts)
			}
		})
	}
}

// TestRestartIsSeenOnKeptConnections checks that connections which are open when the list is lost are kept, and that the
// restart of one of the workers is noticed at once.
func TestRestartIsSeenOnKeptConnections(t *testing.T) {
	t.Parallel()
	settings := strings.Replace(defaultSettings, `"idle_close":15000000`, `"idle_close":8000000`, 1)
	h := startHarness(t, harnessOptions{settings: settings})
	for _, w := range h.workers {
		testsupport.WaitUntil(t, "a connection to each worker", func() bool {
			h.makeCalls(1)
			return w.Connections() > 0
		})
	}
	opened := h.server.router.Now()
	testsupport.WaitUntil(t, "the list is confirmed with the connections open", func() bool {
		return h.server.router.Now()-h.server.router.Stats().ListAge > opened
	})
	h.discovery.Suspend()
	testsupport.WaitUntil(t, "the list is out of date", func() bool { return h.server.router.Stats().ListExpired })
	testsupport.WaitUntil(t, "idle connections are kept", func() bool { return h.server.upstream.Stats().Kept >= 3 })
	before := h.server.router.Stats()
	if served := h.makeCalls(2); served < 6 {
		t.Errorf("%d of 6 calls served", served)
	}
	if unproven := h.server.router.Stats().UnprovenAttempts - before.UnprovenAttempts; unproven > 0 {
		t.Errorf("%d attempts doubted workers that were connected all along", unproven)
	}
	for _, w := range h.workers[1:] {
		w.Stop() // otherwise they may serve all calls, since they hold a lease and the restarted worker doesn't
	}
	h.restart(h.workers[0])
	testsupport.WaitUntil(t, "a restart is assumed", func() bool {
		h.makeCalls(1)
		return h.server.router.Stats().RestartsAssumed > before.RestartsAssumed
	})
}

// restart restarts a worker at its address.
func (h *harness) restart(w *fakeplatform.Worker) {
	h.t.Helper()
	address := w.Addr()
	w.Stop()
	if err := w.Start(address); err != nil {
		h.t.Fatal(err)
	}
}
