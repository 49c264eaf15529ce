package respupstream

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestQueuedExchangeIsRecheckedBeforeWrite: during a slow connect the exchange is cancelled, its worker drains, is
// removed, is replaced at its address or under its id, or loses its lease, the deadline passes, or the client
// disconnects. The exchange must then not be written and must end as NotSent.
func TestQueuedExchangeIsRecheckedBeforeWrite(t *testing.T) {
	names := map[exchangeKind]string{kindAttempt: "attempt", kindLoad: "load command"}
	for name, change := range map[string]func(h *harness, x *exchange){
		"cancelled":        func(h *harness, x *exchange) { h.pool.cancel(x) },
		"worker drains":    func(h *harness, _ *exchange) { h.endpoints[0].State = dispatch.EndpointDraining },
		"worker removed":   func(h *harness, _ *exchange) { h.endpoints = nil },
		"worker restarted": func(h *harness, _ *exchange) { h.endpoints[0].StartedAt = time.Hour },
		"address reused":   func(h *harness, _ *exchange) { h.endpoints[0].ID = "other" },
		"no time left": func(h *harness, x *exchange) {
			h.pool.mu.Lock()
			x.writeBefore = time.Now()
			h.pool.mu.Unlock()
		},
		"the worker's lease is over": func(h *harness, x *exchange) {
			h.pool.mu.Lock()
			x.sendLimits.SendBefore = time.Now()
			h.pool.mu.Unlock()
		},
		"client left": func(h *harness, x *exchange) {
			h.pool.mu.Lock()
			x.call = &router.Call{ClientCancelled: func() bool { return true }}
			h.pool.mu.Unlock()
		},
	} {
		for _, kind := range []exchangeKind{kindAttempt, kindLoad} {
			t.Run(fmt.Sprint(name, "/", names[kind]), func(t *testing.T) {
				t.Parallel()
				w := &fakeplatform.Worker{ID: "w"}
				h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
				h.waitForEndpoints()
				x, ended := addWaitingExchange(t, h, kind)
				change(h, x)
				h.router.SetEndpoints(h.endpoints)
				h.waitForEndpoints()
				h.pool.dial(x.worker) // the connect succeeds
				if result := testsupport.Await(t, ended, "the end"); result != dispatch.NotSent {
					t.Errorf("result %v", result)
				}
				if got := w.Received(); len(got) > 0 {
					t.Errorf("the worker received %v", got)
				}
			})
		}
	}
}

// TestQueuedExchangeIsWrittenIfNothingChanged checks that without any of the changes in the test above the exchange
// is written.
func TestQueuedExchangeIsWrittenIfNothingChanged(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
	h.waitForEndpoints()
	x, _ := addWaitingExchange(t, h, kindHealthCheck)
	h.pool.dial(x.worker)
	testsupport.Await(t, w.Arrivals(), "the queued exchange")
}

// TestNoRetryAfterClientCancelled: the client disconnects during the first attempt, and the attempt ends before the
// router has been notified of that. The retry that the dispatcher then starts must not be written.
func TestNoRetryAfterClientCancelled(t *testing.T) {
	var clientCancelled atomic.Bool
	first := &fakeplatform.Worker{ID: "w", Handle: func(r fakeplatform.Request) {
		clientCancelled.Store(true)
		r.Conn.WriteMessage(r.ID, "error", "-", "")
	}}
	second := &fakeplatform.Worker{ID: "x"}
	h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w", "x"}}, first, second)
	client := make(testClient, 1)
	h.router.Submit(&router.Call{Function: testFunction, Class: "c", RemainingDeadline: 15 * time.Second,
		Client: client, ClientCancelled: clientCancelled.Load,
		Request: &invocation.Request{ID: strings.Repeat("a", 16), Class: "c", Function: testFunction}})
	for _, want := range []dispatch.Result{dispatch.Errored, dispatch.NotSent} {
		if ended := testsupport.Await(t, h.dispatcher.outcomes, "an outcome"); ended.Result != want {
			t.Errorf("%+v, want result %v", ended, want)
		}
	}
	testsupport.Await(t, client, "the final answer")
	if got := second.Received(); len(got) > 0 {
		t.Errorf("the second worker received %v", got)
	}
}

// TestExchangeBehindBlockedWriteIsRechecked: a worker does not read, so one request fills the socket and a second one
// is queued behind it. Before the socket accepts bytes again, the worker starts to drain, or the client of the second
// request disconnects. Only the first request must be written.
func TestExchangeBehindBlockedWriteIsRechecked(t *testing.T) {
	t.Run("worker drains", func(t *testing.T) { testBlockedWrite(t, false) })
	t.Run("client left", func(t *testing.T) { testBlockedWrite(t, true) })
}

func testBlockedWrite(t *testing.T, clientCancels bool) {
	t.Helper()
	startReading := make(chan struct{})
	addr, received := listenWithDelayedReading(t, startReading, 0)
	h := newHarness(t, func(c *Config) { c.MaxConns = 1 }, &scriptedDispatcher{attemptWorkers: []string{"w"}})
	h.endpoints = []endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: addr}}
	h.router.SetEndpoints(h.endpoints)
	firstClient := make(testClient, 1)
	h.router.Submit(&router.Call{Function: testFunction, Class: "c", RemainingDeadline: 30 * time.Second,
		Client:  firstClient,
		Request: &invocation.Request{ID: strings.Repeat("a", 16), Class: "c", Function: testFunction, Body: make([]byte, 32<<20)}})
	h.waitForStats("the first is not being written", func(s Stats) bool { return s.Written == 1 })
	var clientCancelled atomic.Bool
	secondClient := make(testClient, 1)
	h.router.Submit(&router.Call{Function: testFunction, Class: "c", RemainingDeadline: 30 * time.Second,
		Client: secondClient, ClientCancelled: clientCancelled.Load,
		Request: &invocation.Request{ID: strings.Repeat("b", 16), Class: "c", Function: testFunction}})
	h.waitForStats("the second is not queued", func(s Stats) bool { return s.Queued == 1 })
	if clientCancels {
		clientCancelled.Store(true)
	} else {
		h.endpoints[0].State = dispatch.EndpointDraining
		h.router.SetEndpoints(h.endpoints)
		h.waitForEndpoints()
	}
	close(startReading)
	if final := testsupport.Await(t, firstClient, "the answer to the first"); string(final.Attempt.Body) != "answer" {
		t.Errorf("%+v", final)
	}
	testsupport.Await(t, secondClient, "the final answer to the second")
	for range 2 {
		if ended := testsupport.Await(t, h.dispatcher.outcomes, "an outcome"); ended.Result != dispatch.OK && ended.Result != dispatch.NotSent {
			t.Errorf("%+v", ended)
		}
	}
	if id := testsupport.Await(t, received, "the first request"); id != strings.Repeat("a", 16) || len(received) > 0 {
		t.Errorf("the worker received %s and %d more", id, len(received))
	}
}
