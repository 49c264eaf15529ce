package respupstream

import (
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestRefusedConnectionIsConnectFailed: a refused connect proves that nothing ran.
func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
	w.Stop()
	h.submit(15 * time.Second)
	if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.ConnectFailed {
		t.Errorf("%+v", ended)
	}
}

// TestConnectTimeout: a connect that times out proves that nothing ran, and the worker never receives the request.
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

// TestLateConnectionServesWaitingAttempt: the attempt that waited for a slow connect is written and answered.
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

// TestFailedDialEndsWaitingExchange: what waits for the connection ends by the evidence of the connect's error.
func TestFailedDialEndsWaitingExchange(t *testing.T) {
	for _, test := range []struct {
		err  error
		want dispatch.Result
	}{
		{syscall.ENETUNREACH, dispatch.NotSent},
		{syscall.ECONNREFUSED, dispatch.ConnectFailed},
	} {
		t.Run(test.err.Error(), func(t *testing.T) {
			h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}}, &fakeplatform.Worker{ID: "w"})
			h.waitForEndpoints()
			x, ended := queueUnwritten(t, h, kindAttempt)
			h.pool.dialFailed(x.worker, test.err)
			if result := testsupport.Await(t, ended, "the end"); result != test.want {
				t.Errorf("result %v, want %v", result, test.want)
			}
		})
	}
}
