package respupstream

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestAttemptCarriesRequestUnchanged checks that a worker receives the request's id, class, function, idempotency key
// and body unchanged, and the remaining deadline as the limit.
func TestAttemptCarriesRequestUnchanged(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	h := newHarness(t, nil, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
	testsupport.Await(t, h.submit(15*time.Second), "the answer")
	r := w.Received()[0]
	if r.Command != "exec" || r.ID != "0000000000000001" || r.Body != "body" || r.Fields["cls"] != "c" || r.Fields["item"] != testFunction || r.Fields["nonce"] != "k1" {
		t.Errorf("%+v", r)
	}
	if limit := r.Fields["limit"]; len(limit) != 5 || limit > "15000" {
		t.Errorf("limit %s", limit)
	}
}

// TestCancelAfterWrite checks that a written attempt is cancelled at the worker, and that its late response is not
// mistaken for the response to another request.
func TestCancelAfterWrite(t *testing.T) {
	cancellations := make(chan fakeplatform.Request, 1)
	var mu sync.Mutex
	var first fakeplatform.Request
	w := &fakeplatform.Worker{ID: "w"}
	w.Handle = func(r fakeplatform.Request) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.Command == "drop":
			first.Conn.WriteMessage(first.ID, "ok", "-", "late")
			cancellations <- r
		case first.ID == "":
			first = r
		default:
			r.Conn.WriteMessage(r.ID, "ok", "-", "second")
		}
	}
	h := newHarness(t, func(config *Config) { config.MaxConns = 1 }, &scriptedDispatcher{attemptWorkers: []string{"w"}}, w)
	client := make(testClient, 1)
	cancel, _ := h.router.Submit(&router.Call{Function: testFunction, Class: "c", RemainingDeadline: 15 * time.Second, Client: client,
		Request: &invocation.Request{ID: strings.Repeat("a", 16), Class: "c", Function: testFunction}})
	testsupport.Await(t, w.Arrivals(), "the attempt")
	cancel()
	if ended := testsupport.Await(t, h.dispatcher.outcomes, "the outcome"); ended.Result != dispatch.Cancelled {
		t.Errorf("%+v", ended)
	}
	if r := testsupport.Await(t, cancellations, "the cancellation"); r.ID != strings.Repeat("a", 16) {
		t.Errorf("cancelled %q", r.ID)
	}
	if final := testsupport.Await(t, h.submit(15*time.Second), "the answer to the second"); string(final.Attempt.Body) != "second" {
		t.Errorf("%q", final.Attempt.Body)
	}
}

// TestLoadsAndHealthChecks checks that load commands and health checks reach the worker and report its responses.
func TestLoadsAndHealthChecks(t *testing.T) {
	w := &fakeplatform.Worker{ID: "w"}
	h := newHarness(t, nil, &scriptedDispatcher{
		attemptWorkers: []string{"w"}, loadWorker: "w", healthCheckWorker: "w",
	}, w)
	testsupport.Await(t, h.submit(15*time.Second), "the answer")
	if result := testsupport.Await(t, h.dispatcher.loadResults,
		"the load result"); result.Result != dispatch.OK || result.Copies != 2 || result.Function != testFunction {
		t.Errorf("%+v", result)
	}
	if result := testsupport.Await(t, h.dispatcher.healthResults,
		"the health check result"); result.Result != dispatch.OK || result.LoadReport.InFlight != 1 {
		t.Errorf("%+v", result)
	}
	for _, r := range w.Received() {
		if r.Command == "ensure" && (r.Fields["item"] != testFunction || r.Fields["slots_up"] != "2") {
			t.Errorf("%+v", r)
		}
	}
}
