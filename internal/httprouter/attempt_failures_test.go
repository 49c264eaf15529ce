package httprouter

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// hedgingDispatcher starts two attempts of each request at the same time and never retries. It fails a request when
// both attempts have ended without a final answer.
type hedgingDispatcher struct {
	workers []dispatch.Endpoint
	ended   map[dispatch.RequestID]int
}

func (d *hedgingDispatcher) Step(_ time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events { // an update may follow the first request in the same Step
		if update, ok := event.(dispatch.EndpointUpdate); ok {
			d.workers = update.Endpoints
		}
	}
	for _, event := range events {
		switch event := event.(type) {
		case dispatch.Request:
			for _, w := range d.workers[:2] {
				actions = append(actions, dispatch.StartAttempt{ID: event.ID, Worker: w.ID})
			}
		case dispatch.AttemptEnded:
			if d.ended[event.ID]++; d.ended[event.ID] == 2 && !event.Final {
				actions = append(actions, dispatch.FailRequest{ID: event.ID})
			}
		}
	}
	return actions
}

// attemptPairs matches the two attempts of a request, which arrive at different workers, and calls endBoth when the
// second arrives.
type attemptPairs struct {
	endBoth func(first, second fakeplatform.Request)

	mu     sync.Mutex
	firsts map[string]fakeplatform.Request // first attempts by request ID
	pairs  int
}

func (p *attemptPairs) add(r fakeplatform.Request) {
	p.mu.Lock()
	first, paired := p.firsts[r.ID]
	if !paired {
		p.firsts[r.ID] = r
	} else {
		p.pairs++
	}
	p.mu.Unlock()
	if paired {
		p.endBoth(first, r)
	}
}

func (p *attemptPairs) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pairs
}

// failBoth ends the connections of both attempts as nearly at the same time as possible.
func failBoth(fault fakeplatform.ConnFault) func(first, second fakeplatform.Request) {
	return func(first, second fakeplatform.Request) {
		var together sync.WaitGroup
		for _, r := range []fakeplatform.Request{first, second} {
			together.Go(func() { r.Conn.Fail(fault) })
		}
		together.Wait()
	}
}

// respondBoth responds to both attempts with the given statuses, as nearly at the same time as possible.
func respondBoth(firstStatus, secondStatus string) func(first, second fakeplatform.Request) {
	return func(first, second fakeplatform.Request) {
		var together sync.WaitGroup
		together.Go(func() { first.Conn.WriteMessage(first.ID, firstStatus, "-", "done "+first.Body) })
		together.Go(func() { second.Conn.WriteMessage(second.ID, secondStatus, "-", "done "+second.Body) })
		together.Wait()
	}
}

// TestHedgedAttemptsEndTogether guards against a request that gets no final answer, or two, when both of its hedged
// attempts end at the same time.
func TestHedgedAttemptsEndTogether(t *testing.T) {
	t.Parallel()
	const calls = 60
	for name, c := range map[string]struct {
		endBoth func(first, second fakeplatform.Request)
		status  int
	}{
		"both are reset":       {failBoth(fakeplatform.ResetConn), 502},
		"both are closed":      {failBoth(fakeplatform.CloseConn), 502},
		"both are served":      {respondBoth("ok", "ok"), 200},
		"one fails":            {respondBoth("error", "ok"), 200},
		"both are rejected":    {respondBoth("refused", "refused"), 502},
		"both come to no time": {respondBoth("stale", "stale"), 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pairs := &attemptPairs{endBoth: c.endBoth, firsts: map[string]fakeplatform.Request{}}
			h := startHarness(t, harnessOptions{
				dispatcher: fixedDispatcher(&hedgingDispatcher{ended: map[dispatch.RequestID]int{}}),
				handle: func(_ *fakeplatform.Worker, r fakeplatform.Request) {
					if isAttempt(r) {
						pairs.add(r)
					}
				},
			})
			for range calls {
				if status := h.call("safe"); status != c.status {
					t.Fatalf("status %d, want %d", status, c.status)
				}
			}
			h.requireInvariants()
		})
	}
}

// TestHedgedAttemptsAreResetTogether guards against calls without an answer in time when the real dispatcher hedges a
// request and both attempts fail. Workers don't answer the attempts of one class until the dispatcher starts a second
// attempt at another worker; then the connections of both attempts are reset.
func TestHedgedAttemptsAreResetTogether(t *testing.T) {
	t.Parallel()
	const maxRounds = 40
	pairs := &attemptPairs{endBoth: failBoth(fakeplatform.ResetConn), firsts: map[string]fakeplatform.Request{}}
	h := startHarness(t, harnessOptions{handle: func(w *fakeplatform.Worker, r fakeplatform.Request) {
		if isAttempt(r) && r.Fields["cls"] == "safe" {
			pairs.add(r)
			return
		}
		go w.HandleHealthy(r)
	}})
	for round := 0; round < maxRounds && pairs.count() == 0; round++ {
		h.makeCallsWithin(12, 500*time.Millisecond)
	}
	if pairs.count() == 0 {
		t.Error("the dispatcher started no second attempt")
	}
	h.requireInvariants()
}

// TestEveryAttemptFails guards against calls without an answer, and against a router that doesn't recover, when all
// attempts fail immediately for a while. It covers each way in which an attempt can fail.
func TestEveryAttemptFails(t *testing.T) {
	t.Parallel()
	const failing = 8 // calls of each class
	for name, fail := range map[string]func(r fakeplatform.Request){
		"reset":        func(r fakeplatform.Request) { r.Conn.Fail(fakeplatform.ResetConn) },
		"closed":       func(r fakeplatform.Request) { r.Conn.Fail(fakeplatform.CloseConn) },
		"rejected":     func(r fakeplatform.Request) { r.Conn.WriteMessage(r.ID, "refused", "-", "") },
		"not resident": func(r fakeplatform.Request) { r.Conn.WriteMessage(r.ID, "nothing", "-", "") },
		"no time left": func(r fakeplatform.Request) { r.Conn.WriteMessage(r.ID, "stale", "-", "") },
		"errors":       func(r fakeplatform.Request) { r.Conn.WriteMessage(r.ID, "error", "-", "") },
		"malformed":    func(r fakeplatform.Request) { r.Conn.WriteRaw("*1\r\n$1\r\nx\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			faulty := true
			h := startHarness(t, harnessOptions{handle: func(w *fakeplatform.Worker, r fakeplatform.Request) {
				mu.Lock()
				failNow := faulty && isAttempt(r)
				mu.Unlock()
				if failNow {
					fail(r)
					return
				}
				go w.HandleHealthy(r)
			}})
			if served := h.makeCallsWithin(failing, time.Second); served > 0 {
				t.Errorf("%d served", served)
			}
			mu.Lock()
			faulty = false
			mu.Unlock()
			h.requireRecovery(40, time.Second)
			h.requireInvariants()
		})
	}
}

// requireRecovery makes rounds of calls until all calls of one round are served.
func (h *harness) requireRecovery(maxRounds int, deadline time.Duration) {
	h.t.Helper()
	const callsPerClass = 6
	for range maxRounds {
		if h.makeCallsWithin(callsPerClass, deadline) == 3*callsPerClass {
			return
		}
	}
	h.t.Error("calls still fail after the end of the faults")
}

// TestShortDeadlines makes calls with very short deadlines that workers never answer. It guards against late answers,
// and against attempts that state more time to a worker than the client has left.
func TestShortDeadlines(t *testing.T) {
	t.Parallel()
	const (
		callsPerClass = 5
		maxRounds     = 100
	)
	for _, deadline := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var limits []string // remaining deadlines of the attempts in ms
			dropping := false
			h := startHarness(t, harnessOptions{handle: func(w *fakeplatform.Worker, r fakeplatform.Request) {
				mu.Lock()
				drop := dropping && isAttempt(r)
				if drop {
					limits = append(limits, r.Fields["limit"])
				}
				mu.Unlock()
				if !drop {
					go w.HandleHealthy(r)
				}
			}})
			h.makeCalls(callsPerClass) // loads the functions and opens connections
			mu.Lock()
			dropping = true
			mu.Unlock()
			attempts := func() int {
				mu.Lock()
				defer mu.Unlock()
				return len(limits)
			}
			for round := 0; round < maxRounds && attempts() < callsPerClass; round++ {
				h.makeCallsWithin(callsPerClass, deadline)
			}
			if attempts() == 0 {
				t.Error("no attempt reached a worker")
			}
			mu.Lock()
			defer mu.Unlock()
			for _, limit := range limits {
				if ms, err := strconv.Atoi(limit); err != nil || ms > int(deadline.Milliseconds()) {
					t.Errorf("an attempt states a remaining deadline of %s ms", limit)
				}
			}
			h.requireInvariants()
		})
	}
}

// TestShortDeadlinesOfUnloadedFunctions makes calls with very short deadlines to functions that no worker has loaded,
// while workers answer no load commands, health checks or attempts. Each call must get its answer in time.
func TestShortDeadlinesOfUnloadedFunctions(t *testing.T) {
	t.Parallel()
	h := startHarness(t, harnessOptions{handle: func(*fakeplatform.Worker, fakeplatform.Request) {}})
	const callsPerClass = 5
	for _, deadline := range []time.Duration{50 * time.Millisecond, 20 * time.Millisecond, 5 * time.Millisecond} {
		if served := h.makeCallsWithin(callsPerClass, deadline); served > 0 {
			t.Errorf("%d served", served)
		}
	}
	h.requireInvariants()
}
