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

func closeAll(conns []*http2.Conn) {
	for _, c := range conns {
		c.Shutdown()
	}
}
