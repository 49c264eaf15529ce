package respupstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestAttemptAfterIdleResetUsesAnotherConnection checks that an attempt is written to another connection if its first
// one was reset before it accepted a byte.
func TestAttemptAfterIdleResetUsesAnotherConnection(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
	testsupport.Await(t, h.submit(15*time.Second), "the first answer")
	testsupport.Await(t, h.dispatcher.outcomes, "its outcome")
	for _, r := range w.Received() {
		_ = r.Conn.Close()
	}
	for range 20 {
		final := testsupport.Await(t, h.submit(15*time.Second), "an answer")
		if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result == dispatch.OK && string(final.Attempt.Body) == "done body" {
			return
		}
	}
	t.Error("no answer after a reset")
}

// TestConnectionLimitAndIdleTimeout checks that the number of connections stays within the limit and idle ones are
// closed.
func TestConnectionLimitAndIdleTimeout(t *testing.T) {
	release := make(chan struct{})
	w := &fakeplatform.Worker{ID: "w"}
	w.Handle = func(r fakeplatform.Request) {
		go func() {
			<-release
			r.Conn.WriteMessage(r.ID, "ok", "-", "")
		}()
	}
	h := newHarness(t, func(c *Config) { c.MaxConns, c.MaxRequestsPerConn, c.IdleTimeout = 3, 100, 50*time.Millisecond }, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
	for range 40 {
		h.submit(15 * time.Second)
	}
	for range 40 {
		testsupport.Await(t, w.Arrivals(), "an attempt")
	}
	if stats := h.pool.Stats(); stats.Conns > 3 || stats.InFlight != 40 {
		t.Errorf("%+v", stats)
	}
	close(release)
	for range 40 {
		testsupport.Await(t, h.dispatcher.outcomes, "an outcome")
	}
	for range 2000 {
		if h.pool.Stats().Conns == 0 && w.Connections() == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("idle connections were not closed: %+v", h.pool.Stats())
}

// TestUsedIDsExpire checks that expired ids are removed unless they are in flight, also if the wall clock was
// stepped, and that a connection with too many ids drains.
func TestUsedIDsExpire(t *testing.T) {
	openedAt := time.Now()
	for _, step := range testsupport.WallClockSteps {
		t.Run(step.String(), func(t *testing.T) {
			c := &conn{inFlight: map[string]*exchange{"open": {}}, usedIDs: map[usedID]time.Duration{}, worker: &worker{}, openedAt: openedAt}
			c.markIDUsed("old", openedAt)
			c.markIDUsed("open", openedAt)
			c.markIDUsed("new", openedAt.Add(3*time.Second))
			for _, check := range []struct {
				at   time.Duration
				want int
			}{{usedIDRetention - time.Second, 3}, {usedIDRetention + 2*time.Second, 2}, {usedIDRetention + time.Hour, 1}} {
				c.idsExpiredAt = time.Time{}
				c.expireUsedIDs(testsupport.StepWallClock(t, openedAt.Add(check.at), step))
				if len(c.usedIDs) != check.want || !c.hasUsedID("open") {
					t.Errorf("after %v: used ids %v, want %d", check.at, c.usedIDs, check.want)
				}
			}
			for i := range maxUsedIDs {
				c.markIDUsed(fmt.Sprint(i), openedAt)
			}
			if c.expireUsedIDs(openedAt); !c.draining {
				t.Error("a connection with too many used ids does not drain")
			}
		})
	}
}

// TestLostConnectionIsReported checks that an idle connection that the worker ends is reported to the router, and one
// that the pool's sweep closes is not.
func TestLostConnectionIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		idleTimeout time.Duration
		end         func(w *fakeplatform.Worker)
		reported    bool
	}{
		"reset by the worker":  {0, func(w *fakeplatform.Worker) { w.FailConns(fakeplatform.ResetConn) }, true},
		"closed by the worker": {0, func(w *fakeplatform.Worker) { w.FailConns(fakeplatform.CloseConn) }, true},
		"idle for too long":    {50 * time.Millisecond, func(*fakeplatform.Worker) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := &fakeplatform.Worker{ID: "w"}
			h := newHarness(t, func(c *Config) { c.IdleTimeout = test.idleTimeout }, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
			testsupport.Await(t, h.submit(15*time.Second), "the answer")
			testsupport.Await(t, h.dispatcher.outcomes, "its outcome")
			test.end(w)
			h.waitForStats("the connection is still open", func(s Stats) bool { return s.Conns == 0 })
			if test.reported {
				if connectionLost := testsupport.Await(t, h.dispatcher.connectionLost,
					"the report"); connectionLost.Worker != "w" {
					t.Errorf("%+v", connectionLost)
				}
				return
			}
			h.waitForEndpoints() // the router's loop has processed all earlier reports
			if len(h.dispatcher.connectionLost) > 0 {
				t.Error("a connection that the pool closed was reported")
			}
		})
	}
}
