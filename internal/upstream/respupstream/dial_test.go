package respupstream

import (
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestRefusedConnectionIsConnectFailed checks that an attempt ends as ConnectFailed if the connect is refused.
func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
	w.Stop()
	h.submit(15 * time.Second)
	if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.ConnectFailed {
		t.Errorf("%+v", ended)
	}
}

// TestConnectTimeout checks that an attempt ends as ConnectFailed if the connect times out, and that nothing is
// written.
func TestConnectTimeout(t *testing.T) {
	addr, _ := testsupport.ListenWithFullBacklog(t)
	h := newHarness(t, func(c *Config) { c.ConnectTimeout = 50 * time.Millisecond }, &scriptedDispatcher{attemptWorkers: []string{"w"}})
	h.endpoints = []endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: addr}}
	h.router.SetEndpoints(h.endpoints)
	h.submit(20 * time.Second)
	if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.ConnectFailed {
		t.Errorf("%+v", ended)
	}
	if stats := h.pool.Stats(); stats.Written != 0 || stats.Conns != 0 {
		t.Errorf("%+v", stats)
	}
}

// TestLateConnectionServesWaitingAttempt checks that an attempt that waited for a slow connect is written and
// answered.
func TestLateConnectionServesWaitingAttempt(t *testing.T) {
	addr, accept := testsupport.ListenWithFullBacklog(t)
	h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}})
	h.endpoints = []endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: addr}}
	h.router.SetEndpoints(h.endpoints)
	client := h.submit(20 * time.Second)
	h.waitForStats("no connect was started", func(s Stats) bool { return s.Dials == 1 })
	ln := accept()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go answerAll(nc, "late but whole", func(string) {})
		}
	}()
	if final := testsupport.Await(t, client, "the answer"); final.Attempt == nil || string(final.Attempt.Body) != "late but whole" {
		t.Errorf("%+v", final)
	}
}

// TestFailedDialEndsWaitingExchange checks that a failed connect ends a waiting exchange with the result that its
// error proves.
func TestFailedDialEndsWaitingExchange(t *testing.T) {
	for _, test := range []struct {
		err  error
		want dispatch.Result
	}{
		{syscall.ENETUNREACH, dispatch.ConnectFailed},
		{syscall.EADDRNOTAVAIL, dispatch.NotSent},
		{syscall.ECONNREFUSED, dispatch.ConnectFailed},
	} {
		t.Run(test.err.Error(), func(t *testing.T) {
			h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}}, &fakeplatform.Worker{ID: "w"})
			h.waitForEndpoints()
			x, ended := addWaitingExchange(t, h, kindAttempt)
			h.pool.dialFailed(x.worker, test.err)
			if result := testsupport.Await(t, ended, "the end"); result != test.want {
				t.Errorf("result %v, want %v", result, test.want)
			}
		})
	}
}

// TestIdleConnectionIsEvictedAtLimit checks that at the limit of connections the least recently used idle connection
// is closed to make room for one to another worker.
func TestIdleConnectionIsEvictedAtLimit(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.MaxConns = 2 }, &scriptedDispatcher{}, &fakeplatform.Worker{ID: "a"},
		&fakeplatform.Worker{ID: "b"}, &fakeplatform.Worker{ID: "c"})
	h.waitForEndpoints()
	for i, id := range []string{"a", "b", "a", "c", "a", "b"} {
		checked := make(chan router.HealthResult, 1)
		h.pool.CheckHealth(id, 15*time.Second, func(result router.HealthResult) { checked <- result })
		if result := testsupport.Await(t, checked, "the result"); result.Result != dispatch.OK {
			t.Fatalf("check %d, of %s: %v", i, id, result.Result)
		}
		h.waitForWrites()
	}
	// c evicts b, and b evicts c; a was used more recently each time.
	if stats := h.pool.Stats(); stats.Dials != 4 || stats.Evicted != 2 || stats.Conns != 2 {
		t.Errorf("%+v", stats)
	}
}
