package httprouter

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// hedgingDispatcher starts two attempts of each request at once, and nothing after them: a request of which both have
// ended without an answer is failed.
type hedgingDispatcher struct {
	workers []dispatch.Endpoint
	ended   map[dispatch.RequestID]int
}

func (d *hedgingDispatcher) Step(_ time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events { // an update may come behind the first request, in the same Step
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

// attemptPairs pairs the attempts of a request, which come to different workers, and has a function act on both once
// the second has come.
type attemptPairs struct {
	act func(first, second fakeplatform.Request)

	mu     sync.Mutex
	firsts map[string]fakeplatform.Request // by id
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
		p.act(first, r)
	}
}

func (p *attemptPairs) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pairs
}

// failBoth ends the connections of two attempts, at the same instant as nearly as can be.
func failBoth(fault fakeplatform.ConnFault) func(first, second fakeplatform.Request) {
	return func(first, second fakeplatform.Request) {
		var together sync.WaitGroup
		for _, r := range []fakeplatform.Request{first, second} {
			together.Go(func() { r.Conn.Fail(fault) })
		}
		together.Wait()
	}
}

// respondBoth answers two attempts with statuses, at the same instant as nearly as can be.
func respondBoth(firstStatus, secondStatus string) func(first, second fakeplatform.Request) {
	return func(first, second fakeplatform.Request) {
		var together sync.WaitGroup
		together.Go(func() { first.Conn.WriteMessage(first.ID, firstStatus, "-", "done "+first.Body) })
		together.Go(func() { second.Conn.WriteMessage(second.ID, secondStatus, "-", "done "+second.Body) })
		together.Wait()
	}
}

// TestBothAttemptsEndAtOnce has both attempts of a hedged request end at the same instant: each client gets one answer.
func TestBothAttemptsEndAtOnce(t *testing.T) {
	t.Parallel()
	const calls = 60
	for name, c := range map[string]struct {
		act    func(first, second fakeplatform.Request)
		status int
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
			pairs := &attemptPairs{act: c.act, firsts: map[string]fakeplatform.Request{}}
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

// TestSecondAttemptsFailWithFirstOnes has a worker leave a class unanswered until the real dispatcher starts second
// attempts elsewhere, and then ends the connections of both attempts at once. Each call gets its answer in time.
func TestSecondAttemptsFailWithFirstOnes(t *testing.T) {
	t.Parallel()
	const maxRounds = 40
	pairs := &attemptPairs{act: failBoth(fakeplatform.ResetConn), firsts: map[string]fakeplatform.Request{}}
	h := startHarness(t, harnessOptions{handle: func(w *fakeplatform.Worker, r fakeplatform.Request) {
		if isAttempt(r) && r.Fields["cls"] == "safe" {
			pairs.add(r)
			return
		}
		go w.HandleHealthy(r)
	}})
	for round := 0; round < maxRounds && pairs.count() == 0; round++ {
		h.callsWithin(12, 500*time.Millisecond)
	}
	if pairs.count() == 0 {
		t.Error("no second attempt is started")
	}
	h.requireInvariants()
}

// TestRetriesFailAtOnce has every attempt fail at once, for a while, in each way there is. Each call gets its answer in
// time, and calls are served afterwards.
func TestRetriesFailAtOnce(t *testing.T) {
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
			if served := h.callsWithin(failing, time.Second); served > 0 {
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

// requireRecovery makes rounds of calls until all of a round are served.
func (h *harness) requireRecovery(maxRounds int, deadline time.Duration) {
	h.t.Helper()
	const callsPerClass = 6
	for range maxRounds {
		if h.callsWithin(callsPerClass, deadline) == 3*callsPerClass {
			return
		}
	}
	h.t.Error("calls fail after the faults are over")
}

// TestShortDeadlines makes calls with very little time left, of which workers say nothing. Each gets its answer in time,
// and no worker is told of more time than its client has.
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
			var limits []string // of attempts
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
			h.calls(callsPerClass) // functions are loaded and connections open
			mu.Lock()
			dropping = true
			mu.Unlock()
			attempts := func() int {
				mu.Lock()
				defer mu.Unlock()
				return len(limits)
			}
			for round := 0; round < maxRounds && attempts() < callsPerClass; round++ {
				h.callsWithin(callsPerClass, deadline)
			}
			if attempts() == 0 {
				t.Error("no attempt came to a worker")
			}
			mu.Lock()
			defer mu.Unlock()
			for _, limit := range limits {
				if ms, err := strconv.Atoi(limit); err != nil || ms > int(deadline.Milliseconds()) {
					t.Errorf("a worker was told of %s ms", limit)
				}
			}
			h.requireInvariants()
		})
	}
}

// TestShortDeadlinesBeforeLoads makes calls with very little time left of functions that no worker holds, while workers
// answer neither load commands, health checks nor attempts. Each gets its answer in time.
func TestShortDeadlinesBeforeLoads(t *testing.T) {
	t.Parallel()
	h := startHarness(t, harnessOptions{handle: func(*fakeplatform.Worker, fakeplatform.Request) {}})
	const callsPerClass = 5
	for _, deadline := range []time.Duration{50 * time.Millisecond, 20 * time.Millisecond, 5 * time.Millisecond} {
		if served := h.callsWithin(callsPerClass, deadline); served > 0 {
			t.Errorf("%d served", served)
		}
	}
	h.requireInvariants()
}
