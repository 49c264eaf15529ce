package grpcupstream

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// TestIdleConnectionsAreClosed checks that a connection without a stream for the idle timeout is closed, after which
// the next call dials, and that a connection used in between is kept.
func TestIdleConnectionsAreClosed(t *testing.T) {
	pool := newTestPool(t, startGRPCGoWorker(t), Config{ConnectTimeout: 10 * time.Second, IdleTimeout: time.Hour})
	check := func() {
		t.Helper()
		checks := make(chan router.HealthResult, 1)
		pool.CheckHealth("w", 10*time.Second, func(checked router.HealthResult) { checks <- checked })
		if checked := testsupport.Await(t, checks, "the health check result"); checked.Result != dispatch.OK {
			t.Fatalf("health check: %+v", checked)
		}
	}
	now := time.Now()
	seenIdle := func() bool { // polled, since the stream of the check ends shortly after its result
		if expired := pool.removeIdle(now); len(expired) > 0 {
			t.Fatal("a connection expired that was just used")
		}
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.workers["w"].idleSince) > 0
	}
	awaitIdle := func() {
		t.Helper()
		testsupport.WaitUntil(t, "the connection is idle", seenIdle)
	}
	check()
	awaitIdle()
	check()
	now = now.Add(2 * time.Hour) // the connection was used in between, so it is idle only from now on
	awaitIdle()
	expired := pool.removeIdle(now.Add(2 * time.Hour))
	if len(expired) != 1 || pool.Conns() != 0 {
		t.Fatalf("%d expired, %d left", len(expired), pool.Conns())
	}
	closeAll(expired)
	check()
	if pool.Conns() != 1 {
		t.Errorf("%d connections", pool.Conns())
	}
}

// TestLostConnectionIsReported guards against a restart of a worker that goes unseen: the end of an idle connection that
// this router has not closed must reach the dispatcher, and so must the changes of the oldest connection.
func TestLostConnectionIsReported(t *testing.T) {
	accepted := make(chan *scriptedStream, 1)
	r, dispatcher := newTestRouter(t, startScriptedWorker(t, func(s *scriptedStream) { accepted <- s }))
	_ = submit(t, r, false, time.Minute)
	stream := testsupport.Await(t, accepted, "the request")
	if opened := testsupport.Await(t, dispatcher.changed, "the report of the connection"); opened.OldestOpenedAt == 0 {
		t.Errorf("%+v, want when it was opened", opened)
	}
	_ = stream.conn.Close()
	if worker := testsupport.Await(t, dispatcher.lost, "the report of the loss"); worker != "w" {
		t.Errorf("lost a connection to %q", worker)
	}
	if closed := testsupport.Await(t, dispatcher.changed, "the report that none is left"); closed.OldestOpenedAt != 0 {
		t.Errorf("%+v, want no connection", closed)
	}
}

// TestIdleConnectionsAreKept checks that no connection is closed as idle while its end would be the only sign of a
// restart.
func TestIdleConnectionsAreKept(t *testing.T) {
	pool := newTestPool(t, startGRPCGoWorker(t), Config{ConnectTimeout: 10 * time.Second, IdleTimeout: time.Hour})
	checked := make(chan router.HealthResult, 1)
	pool.CheckHealth("w", 10*time.Second, func(result router.HealthResult) { checked <- result })
	testsupport.Await(t, checked, "the health check result")
	now := time.Now()
	testsupport.WaitUntil(t, "the connection is idle", func() bool {
		pool.removeIdle(now)
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.workers["w"].idleSince) > 0
	})
	pool.KeepConnections(true)
	if expired := pool.removeIdle(now.Add(2 * time.Hour)); len(expired) != 0 {
		t.Error("a connection that is kept expired")
	}
	pool.KeepConnections(false)
	expired := pool.removeIdle(now.Add(2 * time.Hour))
	if len(expired) != 1 {
		t.Errorf("%d connections expired, want 1", len(expired))
	}
	closeAll(expired)
}

func closeAll(conns []*http2.Conn) {
	for _, c := range conns {
		c.Shutdown()
	}
}
