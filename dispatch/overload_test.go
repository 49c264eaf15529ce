package dispatch

import (
	"fmt"
	"testing"
	"time"
)

const (
	overloadRouters  = 60
	overloadWorkers  = 20
	calmInterval     = 60 * time.Millisecond // between requests of one router; the fleet can serve one per 30 ms
	overloadInterval = 10 * time.Millisecond
	overloadTick     = 5 * time.Millisecond

	queueingConcurrency = 10 // requests that a worker runs at a time
	queueingCapacity    = 24 // requests that it holds, running or queued, before it rejects
	queueingRunTime     = 100 * time.Millisecond
)

// Retries must not multiply an overload, and service must recover after it. In issue 10, 186 routers made 9.8 attempts
// per request in a burst of 2.7 times the usual load, because the concurrency limits did not count attempts at copies
// not known to be loaded, and each rejection was retried at once.
func TestOverloadIsNotMultipliedByRetriesAndEnds(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss, s.MaxRetryAfter, s.MaxAttempts, s.HedgingAllowed = true, time.Second, 5, false
	s.LoadRateWindow, s.LoadRateBurst, s.LoadRateRatio = 5*time.Second, 4, 0.1
	f := newQueueingFleet(t, s)

	f.run(8*time.Second, calmInterval)
	f.run(2*time.Second, calmInterval)
	attemptsPerRequest := float64(f.started) / float64(f.offered)
	if f.inTime < f.offered*98/100 || len(f.retryAfters) > f.offered/100 {
		t.Errorf("before the overload: %d of %d requests in time, %d rejected: want nearly all served", f.inTime, f.offered,
			len(f.retryAfters))
	}

	f.run(3*time.Second, overloadInterval) // three times what the fleet can serve
	t.Logf("overload: %d requests, %d attempts, %d in time, %d rejected", f.offered, f.started, f.inTime,
		len(f.retryAfters))
	if most := f.offered + f.offered/3 + overloadRouters*int(retryBudgetBurst); f.started > most {
		t.Errorf("overload: %d attempts for %d requests, want at most %d", f.started, f.offered, most)
	}
	if f.inTime < 3*1000 {
		t.Errorf("overload: %d responses in time, want half of what the fleet can serve", f.inTime)
	}
	checkRetryAfters(t, f.retryAfters, s.MaxRetryAfter)

	f.run(3*time.Second, calmInterval)
	f.run(2*time.Second, calmInterval)
	if f.inTime < f.offered*95/100 || float64(f.started) > 1.1*attemptsPerRequest*float64(f.offered) {
		t.Errorf("after the overload: %d of %d requests in time with %d attempts, want service as before", f.inTime,
			f.offered, f.started)
	}
}

// checkRetryAfters checks that clients which are rejected together do not all return together.
func checkRetryAfters(t *testing.T, retryAfters []time.Duration, longest time.Duration) {
	t.Helper()
	distinct := map[time.Duration]bool{}
	for _, retryAfter := range retryAfters {
		distinct[retryAfter] = true
		if retryAfter <= 0 || retryAfter > longest {
			t.Fatalf("Retry-After %v, want at most %v", retryAfter, longest)
		}
	}
	if len(distinct) < len(retryAfters)/2 {
		t.Errorf("%d rejections with only %d different Retry-After", len(retryAfters), len(distinct))
	}
}

// queueingFleet simulates workers that run a few requests at a time, queue some and reject the others. All routers
// share one clock.
type queueingFleet struct {
	*routerGroup
	queues   map[string][]queuedAttempt // by worker, in the order of arrival
	attempts map[string]int             // by router and request
	events   [][]Event                  // by router, passed to it at the next tick

	// Counts since the start of the last run.
	offered, started, inTime int
	retryAfters              []time.Duration // of the rejected requests
}

// queuedAttempt is an attempt that a worker runs or queues.
type queuedAttempt struct {
	router    int
	arrivedAt time.Duration
	runSince  time.Duration // 0 means that it does not run yet
	outcome   AttemptEnded
}

func newQueueingFleet(t *testing.T, s Settings) *queueingFleet {
	t.Helper()
	return &queueingFleet{routerGroup: newRouterGroup(t, overloadRouters, s, overloadWorkers),
		queues: map[string][]queuedAttempt{}, attempts: map[string]int{}, events: make([][]Event, overloadRouters)}
}

// run sends each router one request per interval, each router with a different phase.
func (f *queueingFleet) run(span, interval time.Duration) {
	f.offered, f.started, f.inTime, f.retryAfters = 0, 0, 0, nil
	for end := f.routers[0].now + span; f.routers[0].now < end; {
		for i, h := range f.routers {
			h.now += overloadTick
			events := append([]Event{TimerFired{}}, f.events[i]...)
			f.events[i] = nil
			phase := interval * time.Duration(i) / time.Duration(len(f.routers))
			if (h.now+phase)%interval < overloadTick {
				events = append(events, f.newRequest(h))
			}
			f.executeActions(i, h.step(events...))
		}
		f.serve(f.routers[0].now)
	}
}

func (f *queueingFleet) newRequest(h *harness) Request {
	f.offered++
	r := h.newRequest("", classIdempotent)
	r.Function = fmt.Sprintf("f%d", int(r.ID)%40)
	r.ConcurrencyPerInstance, r.LoadTime = 8, time.Second
	return r
}

// executeActions executes the actions of a router.
func (f *queueingFleet) executeActions(router int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			f.enqueue(router, a)
		case RejectRequest:
			f.retryAfters = append(f.retryAfters, a.RetryAfter)
		case LoadFunction:
			loaded := FunctionLoaded{Worker: a.Worker, Function: a.Function, Copies: 1}
			f.events[router] = append(f.events[router], loaded)
		case CheckHealth:
			checked := HealthChecked{Worker: a.Worker, LoadReport: f.loadReport(a.Worker)}
			f.events[router] = append(f.events[router], checked)
		}
	}
}

func (f *queueingFleet) loadReport(worker string) LoadReport {
	return inFlightReport(float64(len(f.queues[worker])))
}

// enqueue queues an attempt at its worker, or rejects it if the worker is full.
func (f *queueingFleet) enqueue(router int, a StartAttempt) {
	key := fmt.Sprint(router, "/", a.ID)
	outcome := AttemptEnded{ID: a.ID, Worker: a.Worker, Attempt: f.attempts[key], FunctionInFlight: -1,
		LoadReport: f.loadReport(a.Worker)}
	f.attempts[key]++
	f.started++
	if len(f.queues[a.Worker]) >= queueingCapacity {
		outcome.Result, outcome.Duration = Rejected, 2*time.Millisecond
		f.events[router] = append(f.events[router], outcome)
		return
	}
	queued := queuedAttempt{router: router, arrivedAt: f.routers[router].now, outcome: outcome}
	f.queues[a.Worker] = append(f.queues[a.Worker], queued)
}

// serve ends the attempts that have run for queueingRunTime and starts the first queued ones.
func (f *queueingFleet) serve(now time.Duration) {
	for _, endpoint := range f.endpoints {
		remaining := f.queues[endpoint.ID][:0]
		for i, queued := range f.queues[endpoint.ID] {
			if i < queueingConcurrency && queued.runSince == 0 {
				queued.runSince = now
			}
			if queued.runSince == 0 || now-queued.runSince < queueingRunTime {
				remaining = append(remaining, queued)
				continue
			}
			queued.outcome.Duration, queued.outcome.Final = now-queued.arrivedAt, true
			if queued.outcome.Duration < time.Second {
				f.inTime++
			}
			f.events[queued.router] = append(f.events[queued.router], queued.outcome)
		}
		f.queues[endpoint.ID] = remaining
	}
}
