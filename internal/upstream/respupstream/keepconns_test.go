package respupstream

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestConnectionChangesAreReported checks what the dispatcher learns of connections, which prove that a worker was not
// restarted: when the oldest was opened, and that there is none left, whoever closed it.
func TestConnectionChangesAreReported(t *testing.T) {
	for name, end := range map[string]func(h *harness, w *fakeplatform.Worker){
		"closed by the worker": func(_ *harness, w *fakeplatform.Worker) { w.FailConns(fakeplatform.CloseConn) },
		"closed as idle": func(h *harness, _ *fakeplatform.Worker) {
			h.pool.mu.Lock()
			defer h.pool.mu.Unlock()
			h.pool.config.IdleTimeout = time.Nanosecond
		},
		"evicted": func(h *harness, _ *fakeplatform.Worker) {
			var evicted *conn
			testsupport.WaitUntil(h.t, "an idle connection", func() bool { // the write loop may still be ending
				h.pool.mu.Lock()
				defer h.pool.mu.Unlock()
				evicted = h.pool.evictIdle()
				return evicted != nil
			})
			evicted.close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := &fakeplatform.Worker{ID: "w"}
			h := newHarness(t, nil, &scriptedDispatcher{}, w)
			before := h.router.Now()
			h.checkHealth()
			opened := testsupport.Await(t, h.dispatcher.connections, "the report of the connection")
			if opened.Worker != "w" || opened.OldestOpenedAt < before || opened.OldestOpenedAt > h.router.Now() {
				t.Errorf("%+v, want a connection opened after %v", opened, before)
			}
			end(h, w)
			if closed := testsupport.Await(t, h.dispatcher.connections, "the report of its end"); closed.OldestOpenedAt != 0 {
				t.Errorf("%+v, want no connection", closed)
			}
		})
	}
}

// checkHealth makes one health check of the worker "w", and waits for its result.
func (h *harness) checkHealth() {
	h.t.Helper()
	h.waitForEndpoints()
	done := make(chan router.HealthResult, 1)
	h.pool.CheckHealth("w", 10*time.Second, func(result router.HealthResult) { done <- result })
	if result := testsupport.Await(h.t, done, "the health check"); !result.Ready {
		h.t.Fatalf("health check: %+v", result)
	}
}

// TestIdleConnectionIsKept guards against a router that closes its connections as idle while the endpoint list is out of
// date, and then misses the restart of a worker. A health check keeps the connection from being closed by the worker.
func TestIdleConnectionIsKept(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	h := newHarness(t, func(c *Config) { c.IdleTimeout = 2 * sweepInterval }, &scriptedDispatcher{}, w)
	h.pool.KeepConnections(true)
	h.checkHealth()
	h.waitForStats("no health check kept the connection", func(s Stats) bool { return s.Kept >= 2 && s.Conns == 1 })
	if n := w.Accepted(); n != 1 {
		t.Errorf("%d connections accepted, want the first one to be kept", n)
	}
	h.pool.KeepConnections(false)
	h.waitForStats("the idle connection is still open", func(s Stats) bool { return s.Conns == 0 && s.IdleClosed == 1 })
}
